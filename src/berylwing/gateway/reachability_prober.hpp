#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <map>
#include <string>

namespace berylwing {

/**
 * @brief Probes by opening a connection which endpoints are reachable, so that no request has to find it out.
 *
 * This handles a partitioned failure domain: when two of its endpoints do not respond, all others of the domain are
 * probed, and an unreachable endpoint gets requests again only after a connection to it has been established.
 */
class ReachabilityProber {
    struct LastSilence {
        std::string endpointId;
        TimePoint at {};
    };

    void suspectDomain(const std::string& domain, TimePoint now);
    [[nodiscard]] Task<void> probe(GatewayEndpointPtr endpoint);

public:
    /**
     * @brief Creates a prober.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints.
     * @param openSession Opens connections.
     * @param decisionLog Log of the host.
     */
    ReachabilityProber(
        Clock& hostClock, EndpointDirectory& endpointDirectory, SessionFactory openSession, DecisionLog& decisionLog);

    /**
     * @brief Records that an endpoint did not respond.
     *
     * Aborts its silent calls. On the second such endpoint of a failure domain the whole domain is probed.
     * @param endpoint Endpoint.
     */
    void recordSilence(GatewayEndpoint& endpoint);

    /** @brief Probes all endpoints, as this host may be cut off from them. */
    void suspectAll();

    /** @brief Starts the due probes. */
    void startDueProbes();

private:
    Clock& clock;
    EndpointDirectory& directory;
    SessionFactory open;
    DecisionLog& log;
    /** Last endpoint of each failure domain that did not respond. */
    std::map<std::string, LastSilence, std::less<>> lastSilences;
};

} // namespace berylwing
