#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event_rate.hpp"
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Estimates the requests of other hosts that the known loads of endpoints do not include yet.
 *
 * Hosts learn of each other's requests late, and until then they choose by the same loads. The balancer spreads callers
 * over the hosts, so the others are expected to send as many requests as this one.
 */
class UnseenRequests {
public:
    /** @brief Returns the number of hosts of the fleet. */
    using HostCounter = std::function<std::size_t()>;
    /** @brief Returns the mean age of what this host knows of the other hosts' requests. */
    using LoadAge = std::function<Duration()>;

    /**
     * @brief Creates an estimate without requests.
     * @param hostClock Clock of the host.
     * @param fleetSize Returns the number of hosts.
     * @param loadAge Returns the age of the known loads.
     */
    UnseenRequests(const Clock& hostClock, HostCounter fleetSize, LoadAge loadAge);

    /** @brief Counts a request of this host. @param service Service that receives it. */
    void recordRequest(const std::string& service);

    /** @brief Estimates the unseen requests to a service. @param service Service. @return Requests. */
    [[nodiscard]] double estimate(std::string_view service) const;

    /** @brief Estimates the unseen requests of some kind. @param ownRate Rate of this host's. @return Requests. */
    [[nodiscard]] double estimate(const EventRate& ownRate) const;

private:
    const Clock& clock;
    HostCounter hostCount;
    LoadAge age;
    std::map<std::string, EventRate, std::less<>> rates;
};

} // namespace berylwing
