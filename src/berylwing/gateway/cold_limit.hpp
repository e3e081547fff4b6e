#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <functional>
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief Keeps what all hosts together send to a cold endpoint within the rate that it bears.
 *
 * Without a word between them, only the first hosts in the endpoint's rendezvous order may send, and each of them
 * keeps its share of the rate.
 */
class ColdLimit {
    [[nodiscard]] bool isChosen(const GatewayEndpoint& endpoint, std::size_t senders) const;

public:
    /** @brief Names of all hosts that may send. */
    using HostNames = std::function<const std::vector<std::string>&()>;

    /** @brief Creates a limit. @param ownName Name of this host. @param hostNames Names of all hosts. */
    ColdLimit(std::string ownName, HostNames hostNames);

    /**
     * @brief Tells whether a cold endpoint may be given one more request of this host now.
     * @param endpoint Endpoint.
     * @param service Properties of its service.
     * @param now Current time.
     * @return True if it may.
     */
    [[nodiscard]] bool allows(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const;

private:
    std::string ownName;
    HostNames hostNames;
};

} // namespace berylwing
