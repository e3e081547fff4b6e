#pragma once

#include "berylwing/core/clock.hpp"
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace berylwing {

/** @brief Bounds on the additional sends of all hosts together to one service. */
struct RetryBounds {
    /** Additional sends for each request. */
    double ratio = 0.1;
    /** Additional sends in a window that are allowed without any request. */
    double minimum = 10;
    Duration window { 10'000 };
};

/** @brief This host's part of the additional sends that the fleet may make. */
class RetryAllowance {
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void dropOld(Usage& usage) const;

public:
    /** @brief Function that counts the hosts of the fleet. */
    using HostCount = std::function<std::size_t()>;

    /**
     * @brief Creates an allowance.
     * @param hostClock Clock of the host.
     * @param fleetBounds Bounds of the whole fleet.
     * @param fleetSize Counts the hosts between which the minimum is divided.
     */
    RetryAllowance(const Clock& hostClock, const RetryBounds& fleetBounds, HostCount fleetSize);

    /** @brief Changes the bounds of the whole fleet. @param fleetBounds Bounds. */
    void setBounds(const RetryBounds& fleetBounds) { this->bounds = fleetBounds; }

    /** @brief Counts a request of a caller. @param service Service of its route. */
    void recordRequest(const std::string& service);

    /** @brief Takes one additional send. @param service Service. @return False if none is left. */
    [[nodiscard]] bool take(const std::string& service);

private:
    const Clock& clock;
    RetryBounds bounds;
    HostCount hostCount;
    std::map<std::string, Usage, std::less<>> usages;
};

} // namespace berylwing
