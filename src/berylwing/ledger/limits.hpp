#pragma once

#include "berylwing/core/clock.hpp"
#include <cstddef>

namespace berylwing {

/** @brief Number of ledger shards of one failure domain. */
inline constexpr std::size_t kShardsPerDomain = 16;

/** @brief Age of the idempotency key at which its claim is dropped; requests with older keys are rejected. */
inline constexpr Duration kClaimTtl = std::chrono::hours { 24 };

/**
 * @brief Largest difference between wall clocks that the ledger tolerates.
 *
 * A key is rejected this long before its claim can be dropped by a host with a fast clock, and if its time lies further
 * than this in the future.
 */
inline constexpr Duration kMaxClockSkew = std::chrono::minutes { 10 };

/** @brief Maximum size of an answer body that is stored with its claim, in bytes. */
inline constexpr std::size_t kMaxStoredBodyBytes = 2048;

/** @brief Delay before a ledger write is retried. */
inline constexpr Duration kCommitRetryDelay { 100 };

/** @brief Maximum time that a request waits until its claim is written. */
inline constexpr Duration kClaimTimeout { 2500 };

/** @brief Time for which the owner of a shard, as read from the platform, is cached. */
inline constexpr Duration kOwnerCacheTtl { 2000 };

/** @brief Interval at which a ledger owner tells the entry host that an order is still in progress. */
inline constexpr Duration kOrderProgressInterval { 500 };

/** @brief Time without an answer or progress message after which an entry host asks another ledger owner. */
inline constexpr Duration kOrderProgressTimeout { 1800 };

/** @brief Delay before the ledger owners are asked again after none of them answered. */
inline constexpr Duration kOrderRetryDelay { 150 };

/** @brief Maximum size of an answer body; a longer answer is given up, as it is collected before it is delivered. */
inline constexpr std::size_t kMaxOrderBodyBytes = 1024 * 1024;

/** @brief Maximum number of claims of a shard, which keeps its platform object below a megabyte. */
inline constexpr std::size_t kMaxClaimsPerShard = 4000;

} // namespace berylwing
