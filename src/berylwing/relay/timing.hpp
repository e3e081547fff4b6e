#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>

namespace berylwing {

/** @brief Time without a message on an attempt after which its owner sends an empty chunk. */
inline constexpr Duration kKeepAliveInterval { 500 };

/** @brief Time without any message after which an attempt is given up by its entry host. */
inline constexpr Duration kAttemptSilenceTimeout { 1800 };

/** @brief Time after its deadline for which an attempt is still recognised as a duplicate. */
inline constexpr Duration kDuplicateDetectionTtl { 60'000 };

/** @brief Time within which an owner has to have been heard for a request that is run again. */
inline constexpr Duration kOwnerHeardTimeout { 1000 };

/** @brief Bytes that an owner may send ahead of the caller. */
inline constexpr std::uint32_t kWindowBytes = 256 * 1024;

/** @brief Bytes after which an entry host allows its owner to send more. */
inline constexpr std::uint32_t kCreditThresholdBytes = kWindowBytes / 4;

/** @brief Additional attempts after failures of endpoints that a host may make before its first success. */
inline constexpr double kInitialEndpointRetries = 2;

/** @brief Additional attempts after silent links that a host may make before its first success. */
inline constexpr double kInitialLinkRetries = 10;

/** @brief Longest time for which a returning chat waits at the engine that holds its prefix. */
inline constexpr Duration kPreferredEngineTimeout { 250 };

/** @brief Pause after all candidates have refused. */
inline constexpr Duration kCandidateRetryDelay { 40 };

/** @brief Candidates that are asked before the walk begins anew. */
inline constexpr std::size_t kMaxCandidates = 8;

/** @brief Hosts that are asked for one endpoint. */
inline constexpr std::size_t kMaxOwners = 3;

/** @brief Time after which a caller may try again when nothing better is known. */
inline constexpr Duration kDefaultRetryDelay { 1000 };

} // namespace berylwing
