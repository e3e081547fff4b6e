#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/**
 * @brief Tells of which services this host reaches no endpoint.
 *
 * A service is lost once none of its endpoints can be connected to, and regained once most of them can, so that those
 * that answer first do not get all requests.
 */
class EndpointReach {
    /** Available endpoints of a service, and those of them that wait for a probe that connects. */
    struct Count {
        std::size_t available = 0;
        std::size_t unreachable = 0;
    };

    /** Endpoint to which a new connection failed. */
    struct Failure {
        std::string domain;
        TimePoint at {};
    };

    [[nodiscard]] static bool isMostlyUnreachable(const Count& count);
    /** Checks if connections failed to several endpoints in a way that one of them, or one domain, cannot explain. */
    [[nodiscard]] bool isSuspicious() const;
    void log(LogEvent event, const std::string& service, const Count& count);

public:
    /**
     * @brief Creates the object; update() has to be called regularly.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, with their health.
     * @param probeAll Called to probe all endpoints, since this host may be cut off from them.
     * @param hostLog Log of the host.
     */
    EndpointReach(const Clock& hostClock, const EndpointDirectory& endpointDirectory, std::function<void()> probeAll,
        DecisionLog& hostLog)
        : clock { hostClock }
        , directory { endpointDirectory }
        , probe { std::move(probeAll) }
        , decisionLog { hostLog }
    {
    }

    /**
     * @brief Takes note of a new connection to an endpoint. Connections that were open before tell nothing, as they may
     * live on while new ones are refused.
     * @param endpoint Endpoint. @param isConnected Whether it was established.
     */
    void recordConnection(const GatewayEndpoint& endpoint, bool isConnected);

    /** @brief Counts the endpoints that can be connected to. */
    void update();

    /** @brief Checks if a service is lost. @param service Service. @return True if another host has to serve it. */
    [[nodiscard]] bool hasLost(std::string_view service) const { return this->lost.contains(service); }

    /** @brief Checks if at least half of the endpoints of a service are unreachable. @param service Service. */
    [[nodiscard]] bool isImpaired(std::string_view service) const;

    /** @brief Returns the lost services. @return Names. */
    [[nodiscard]] const std::set<std::string, std::less<>>& lostServices() const noexcept { return this->lost; }

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    std::function<void()> probe;
    DecisionLog& decisionLog;
    std::set<std::string, std::less<>> lost;
    /** Services all of whose endpoints were unreachable at the last update. */
    std::set<std::string, std::less<>> unreachable;
    /** Failures since the last connection that was established, by the id of the endpoint. */
    std::map<std::string, Failure, std::less<>> failures;
    TimePoint probedAt = TimePoint::min();
};

} // namespace berylwing
