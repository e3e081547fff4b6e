#pragma once

#include "berylwing/core/clock.hpp"
#include <cstddef>

namespace berylwing {

/** @brief Shards of the ledger of one failure domain. */
inline constexpr std::size_t kShardsPerDomain = 16;

/** @brief Time after which a claim is forgotten; keys that are older are refused. */
inline constexpr Duration kClaimTtl = std::chrono::hours { 24 };

/** @brief Time before the end of the retention at which keys begin to be refused; covers differences of wall clocks. */
inline constexpr Duration kMaxClockSkew = std::chrono::minutes { 10 };

/** @brief Longest body of an answer that is kept, in bytes. */
inline constexpr std::size_t kMaxStoredBodyBytes = 2048;

/** @brief Pause before a write is tried again. */
inline constexpr Duration kCommitRetryDelay { 100 };

/** @brief Longest time for which a request waits for its claim. */
inline constexpr Duration kClaimTimeout { 2500 };

/** @brief Time for which the owner read from the platform is believed. */
inline constexpr Duration kOwnerCacheTtl { 2000 };

/** @brief Interval at which a ledger owner tells the entry host that an order is in progress. */
inline constexpr Duration kOrderProgressInterval { 500 };

/** @brief Silence after which an entry host asks another ledger owner. */
inline constexpr Duration kOrderProgressTimeout { 1800 };

/** @brief Pause before a ledger owner is asked again. */
inline constexpr Duration kOrderRetryDelay { 150 };

/** @brief Most claims that a shard holds, so that its object stays below a megabyte. */
inline constexpr std::size_t kMaxClaimsPerShard = 4000;

} // namespace berylwing
