#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>

namespace berylwing {

/** @brief Time without a message on an attempt after which the serving host sends an empty chunk. */
inline constexpr Duration kKeepAliveInterval { 500 };

/** @brief Time without any message after which the entry host abandons an attempt. */
inline constexpr Duration kAttemptSilenceTimeout { 1800 };

/** @brief Time after its deadline for which an attempt is still recognised as a duplicate. */
inline constexpr Duration kDuplicateDetectionTtl { 60'000 };

/** @brief Maximum time since an owner was last heard for a rerun to prefer its endpoints. */
inline constexpr Duration kOwnerHeardTimeout { 1000 };

/** @brief Number of body bytes that a serving host may send before the entry host grants credit. */
inline constexpr std::uint32_t kWindowBytes = 256 * 1024;

/** @brief Number of delivered bytes after which the entry host grants credit for them. */
inline constexpr std::uint32_t kCreditThresholdBytes = kWindowBytes / 4;

/** @brief Retries after endpoint failures that a host may make before its first success. */
inline constexpr double kInitialEndpointRetries = 2;

/** @brief Retries after silent links that a host may make before its first success. */
inline constexpr double kInitialLinkRetries = 10;

/** @brief Maximum time that a known chat waits for a slot at the engine that caches its prefix. */
inline constexpr Duration kPreferredEngineTimeout { 250 };

/** @brief Delay before the next round after all candidates have refused. */
inline constexpr Duration kCandidateRetryDelay { 40 };

/** @brief Maximum number of candidates tried in one round. */
inline constexpr std::size_t kMaxCandidates = 8;

/** @brief Maximum number of hosts tried for one endpoint. */
inline constexpr std::size_t kMaxOwners = 3;

/** @brief Retry delay that a caller is told when no better value is known. */
inline constexpr Duration kDefaultRetryDelay { 1000 };

} // namespace berylwing
