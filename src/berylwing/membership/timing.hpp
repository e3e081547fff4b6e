#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief Time between two beats to the same peer. */
inline constexpr Duration kHeartbeatInterval { 400 };

/** @brief Time for which a peer's echo of a beat confirms its sender's authority. */
inline constexpr Duration kLeaseTtl { 1300 };

/** @brief Time beyond the grant after which a silent peer may be followed; covers differences of clock rates. */
inline constexpr Duration kLeaseTakeoverDelay { 50 };

/** @brief Silence after which a member that the platform no longer lists is removed from the roster. */
inline constexpr Duration kMemberRemovalTimeout { 3000 };

/** @brief Time for which the platform's list of hosts may not yet show a new host. */
inline constexpr Duration kHostListDelay { 10'000 };

/** @brief Interval of the platform's maintenance: host list and roster. */
inline constexpr Duration kRegistrarInterval { 1000 };

/** @brief Longest time for which a watch waits. */
inline constexpr Duration kWatchTimeout { 30000 };

/** @brief Pause after a failed call to the platform; the actual pause varies by up to the same time. */
inline constexpr Duration kPlatformRetryDelay { 250 };

/** @brief Number of hosts of a failure domain that watch the platform for the others. */
inline constexpr std::size_t kWatchersPerDomain = 2;

} // namespace berylwing
