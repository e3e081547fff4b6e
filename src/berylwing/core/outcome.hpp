#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/reasons.hpp"
#include <optional>

namespace berylwing {

/** @brief Whether a refused request ran at an endpoint. */
enum class Execution {
    NotRun,
    Unknown,
    Ran,
};

/** @brief Names of the executions, as they stand in answers. */
inline constexpr EnumNames<Execution, 3> kExecutionNames { {
    "not_run",
    "unknown",
    "ran",
} };

/** @brief Refusal of a request at a point at which no byte of it can have reached an endpoint. */
struct NotRun {
    Refusal reason;
    Duration retryAfter {};
};

/** @brief Refusal of a request that may have reached an endpoint. */
struct OutcomeUnknown {
    Refusal reason;
};

/** @brief Refusal of a request that surely ran, but whose answer cannot be given. */
struct RanWithoutAnswer {
    Refusal reason;
};

/** @brief How a request ended for its caller. */
struct Outcome {
    /** @brief Creates the outcome of a whole answer. */
    Outcome() = default;

    /** @brief Creates an outcome. @param refusal Refusal. */
    Outcome(const NotRun& refusal)
        : reason { refusal.reason }
        , execution { Execution::NotRun }
        , retryAfter { refusal.retryAfter }
    {
    }

    /** @brief Creates an outcome. @param refusal Refusal. */
    Outcome(const OutcomeUnknown& refusal)
        : reason { refusal.reason }
        , execution { Execution::Unknown }
    {
    }

    /** @brief Creates an outcome. @param refusal Refusal. */
    Outcome(const RanWithoutAnswer& refusal)
        : reason { refusal.reason }
        , execution { Execution::Ran }
    {
    }

    /** @brief Tells whether the caller has the whole answer. @return True if it has. */
    [[nodiscard]] bool isWhole() const noexcept { return !this->reason; }

    /** Reason of the refusal; none for a whole answer. */
    std::optional<Refusal> reason;
    Execution execution = Execution::Ran;
    Duration retryAfter {};
};

} // namespace berylwing
