#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <functional>
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief Limits the rate of requests that the whole fleet sends to an endpoint that is still warming up.
 *
 * Hosts do not coordinate. Each host derives from the list of hosts which of them may send to the endpoint (the first
 * ones in its rendezvous order), and each of those limits itself to an equal share of the rate.
 */
class ColdRateLimit {
    /** Checks if this host is among the first senders of the endpoint's rendezvous order. */
    [[nodiscard]] bool isSender(const GatewayEndpoint& endpoint, std::size_t senderCount) const;

public:
    /** @brief Returns the names of all hosts of the fleet, including this one. */
    using HostNames = std::function<const std::vector<std::string>&()>;

    /** @brief Creates a limit. @param ownName Name of this host. @param hostNames Returns the names of all hosts. */
    ColdRateLimit(std::string ownName, HostNames hostNames);

    /**
     * @brief Checks if this host may send another request to a cold endpoint now.
     * @param endpoint Cold endpoint.
     * @param service Properties of its service, among them the rate for cold endpoints.
     * @param now Current time.
     * @return True if the request keeps within this host's share of the rate.
     */
    [[nodiscard]] bool canSend(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const;

private:
    std::string ownName;
    HostNames hostNames;
};

} // namespace berylwing
