#pragma once

#include "berylwing/admission/admission_control.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/host_roster.hpp"

namespace berylwing {

/** @brief Passes the demand for services on between hosts, in digests and summaries. */
class DemandExchange {
public:
    /** @brief Creates an exchange. @param hostAdmission Admission, which measures and uses the demand.
     * @param hostRoster Hosts. */
    DemandExchange(AdmissionControl& hostAdmission, const HostRoster& hostRoster)
        : admission { hostAdmission }
        , roster { hostRoster }
    {
    }

    /** @brief Adds the demand of this host, and as a delegate that of other groups. @param digest Digest to send. */
    void appendTo(wire::Digest& digest);

    /** @brief Adds the demand of this host's group. @param summary Summary to send. */
    void appendTo(wire::GroupSummary& summary) const;

    /** @brief Applies the demand in a digest of another host. @param digest Digest. */
    void apply(const wire::Digest& digest);

    /** @brief Applies the demand in a summary of another group. @param summary Summary. */
    void apply(const wire::GroupSummary& summary);

private:
    AdmissionControl& admission;
    const HostRoster& roster;
};

} // namespace berylwing
