#pragma once

#include "berylwing/core/clock.hpp"
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace berylwing {

/** @brief Limits of the retries that all hosts together send to one service within a time window. */
struct FleetRetryLimits {
    /** Retries allowed for each request. */
    double ratio = 0.1;
    /** Retries allowed within a window regardless of the number of requests. */
    double minimum = 10;
    Duration window { 10'000 };
};

/**
 * @brief Budgets this host's share of the retries that the fleet may send.
 *
 * Hosts do not coordinate: the ratio applies to the requests of each host, and the minimum is divided by the number of
 * hosts.
 */
class FleetRetryBudget {
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void removeExpired(Usage& usage) const;

public:
    /** @brief Returns the number of hosts of the fleet. */
    using HostCounter = std::function<std::size_t()>;

    /**
     * @brief Creates a full budget.
     * @param hostClock Clock of the host.
     * @param fleetLimits Limits of the whole fleet.
     * @param fleetSize Returns the number of hosts that share the minimum.
     */
    FleetRetryBudget(const Clock& hostClock, const FleetRetryLimits& fleetLimits, HostCounter fleetSize);

    /** @brief Changes the limits of the whole fleet. @param fleetLimits Limits. */
    void setLimits(const FleetRetryLimits& fleetLimits) { this->limits = fleetLimits; }

    /** @brief Counts a caller's request, which earns part of a retry. @param service Service that receives it. */
    void recordRequest(const std::string& service);

    /** @brief Takes a retry from the budget. @param service Service. @return False if the budget is spent. */
    [[nodiscard]] bool tryAcquire(const std::string& service);

private:
    const Clock& clock;
    FleetRetryLimits limits;
    HostCounter hostCount;
    std::map<std::string, Usage, std::less<>> usages;
};

} // namespace berylwing
