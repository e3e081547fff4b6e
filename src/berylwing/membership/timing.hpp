#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief Interval between two heartbeats to the same peer. */
inline constexpr Duration kHeartbeatInterval { 400 };

/**
 * @brief Lifetime of the lease that a peer grants by echoing a heartbeat, counted from the time the heartbeat was sent.
 */
inline constexpr Duration kLeaseTtl { 1300 };

/**
 * @brief Delay after the end of a lease before another host may take over; covers clocks that run at different rates.
 */
inline constexpr Duration kLeaseTakeoverDelay { 50 };

/** @brief Time without a heartbeat after which a member that the platform no longer lists is removed. */
inline constexpr Duration kMemberRemovalTimeout { 3000 };

/** @brief Longest time until the platform's list of hosts shows a new host. */
inline constexpr Duration kHostListDelay { 10'000 };

/** @brief Interval at which a host checks and updates the roster in the platform. */
inline constexpr Duration kRegistrarInterval { 1000 };

/** @brief Longest time that one watch request to the platform waits for a change. */
inline constexpr Duration kWatchTimeout { 30000 };

/** @brief Minimum delay before a failed call to the platform is retried; jitter adds up to the same time again. */
inline constexpr Duration kPlatformRetryDelay { 250 };

/** @brief Number of hosts of a failure domain that watch the platform on behalf of the others. */
inline constexpr std::size_t kWatchersPerDomain = 2;

} // namespace berylwing
