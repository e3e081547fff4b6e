#pragma once

#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"

namespace berylwing {

/**
 * @brief Judges whether this host can serve nothing because it is cut off, so that callers are better off elsewhere.
 *
 * It answers a failure domain that is partitioned from the others while its own endpoints are withdrawn or down. All
 * endpoints out of reach is not enough: when they fail for every host, callers would find no host at all.
 */
class DomainIsolation {
    [[nodiscard]] bool isAnyEndpointReachable() const;
    [[nodiscard]] bool isAnyOtherDomainHeard() const;

public:
    /**
     * @brief Creates the judge.
     * @param endpointDirectory Endpoints.
     * @param hostRoster Hosts.
     * @param fleetView What other hosts have told lately.
     * @param ownDomain Failure domain of this host.
     */
    DomainIsolation(const EndpointDirectory& endpointDirectory, const HostRoster& hostRoster,
        const FleetView& fleetView, std::string ownDomain);

    /** @brief Tells whether this host can serve nothing. @return False as long as other domains or endpoints answer. */
    [[nodiscard]] bool isCutOff() const;

private:
    const EndpointDirectory& directory;
    const HostRoster& roster;
    const FleetView& fleet;
    std::string domain;
};

} // namespace berylwing
