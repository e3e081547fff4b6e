#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/reasons.hpp"
#include <optional>

namespace berylwing {

/** @brief States of execution: whether a refused request ran at an endpoint. */
enum class Execution {
    NotRun,
    Unknown,
    Ran,
};

/** @brief Names of the states of execution in responses. */
inline constexpr EnumNames<Execution, 3> kExecutionNames { {
    "not_run",
    "unknown",
    "ran",
} };

/**
 * @brief Checks if a status promises a caller that its request has not run and will not run.
 *
 * An endpoint may use the same status for a request that it ran, so that it proves nothing without a further statement.
 * @param status Status of an HTTP response.
 * @return True if only a request that did not run may be answered with it.
 */
[[nodiscard]] constexpr bool promisesNotRun(unsigned status) noexcept
{
    constexpr unsigned kRequestTimeout = 408;
    constexpr unsigned kMisdirectedRequest = 421;
    constexpr unsigned kTooManyRequests = 429;
    constexpr unsigned kServiceUnavailable = 503;
    return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests
        || status == kServiceUnavailable;
}

/** @brief Refusal of a request of which no byte has reached an endpoint, so that it is safe to repeat. */
struct NotRun {
    Refusal reason;
    /** Time after which the caller may retry; zero if none is suggested. */
    Duration retryAfter {};
};

/** @brief Refusal of a request that an endpoint may have executed. */
struct OutcomeUnknown {
    Refusal reason;
};

/** @brief Refusal of a request that was executed, but whose response is not available. */
struct RanWithoutAnswer {
    Refusal reason;
};

/** @brief Result of a request for its caller: a complete response, or a refusal. */
struct Outcome {
    /** @brief Creates the outcome of a complete response. */
    Outcome() = default;

    /** @brief Creates the outcome of a refusal. @param refusal Refusal. */
    Outcome(const NotRun& refusal)
        : reason { refusal.reason }
        , execution { Execution::NotRun }
        , retryAfter { refusal.retryAfter }
    {
    }

    /** @brief Creates the outcome of a refusal. @param refusal Refusal. */
    Outcome(const OutcomeUnknown& refusal)
        : reason { refusal.reason }
        , execution { Execution::Unknown }
    {
    }

    /** @brief Creates the outcome of a refusal. @param refusal Refusal. */
    Outcome(const RanWithoutAnswer& refusal)
        : reason { refusal.reason }
        , execution { Execution::Ran }
    {
    }

    /** @brief Checks if the caller has received the complete response. @return True if so. */
    [[nodiscard]] bool isComplete() const noexcept { return !this->reason; }

    /** Reason of the refusal; nothing for a complete response. */
    std::optional<Refusal> reason;
    Execution execution = Execution::Ran;
    /** Time after which the caller may retry; zero if none is suggested. */
    Duration retryAfter {};
};

} // namespace berylwing
