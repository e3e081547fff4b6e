#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>

namespace berylwing {

/**
 * @brief Returns the delay after which a refused caller may send its request again.
 *
 * The delay differs between requests, so that refused callers do not retry at the same time.
 * @param requestHash Hash of the request's attempt id.
 * @return Delay; by its end an ejection has ended or a cold endpoint accepts another request.
 */
[[nodiscard]] constexpr Duration retryAfterOf(std::uint64_t requestHash)
{
    constexpr Duration kMinRetryAfter { 300 };
    constexpr std::uint64_t kRetryJitterMs = 300;
    return kMinRetryAfter + Duration { static_cast<Duration::rep>(requestHash % kRetryJitterMs) };
}

} // namespace berylwing
