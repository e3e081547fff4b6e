#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <map>
#include <string>

namespace berylwing {

/**
 * @brief Finds out by bare connections which endpoints can be reached, so that no request has to.
 *
 * It answers a failure domain that is cut off: two of its endpoints that gave no sign of life make all others suspect,
 * and an endpoint that was out of reach gets requests again only after a connection to it was made.
 */
class ReachProber {
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
    ReachProber(
        Clock& hostClock, EndpointDirectory& endpointDirectory, OpenSession openSession, DecisionLog& decisionLog);

    /** @brief Takes note that an endpoint gave no sign of life. @param endpoint Endpoint. */
    void noteSilence(GatewayEndpoint& endpoint);

    /** @brief Starts the probes that are due. */
    void probeDue();

private:
    Clock& clock;
    EndpointDirectory& directory;
    OpenSession open;
    DecisionLog& log;
    std::map<std::string, LastSilence, std::less<>> silences;
};

} // namespace berylwing
