#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>
#include <optional>

namespace berylwing {

/** @brief Times of a graceful stop: which requests are taken, when they have to end and when the process exits. */
class StopSchedule {
    /** Time after which the balancer, which checks once a second, has seen two unready answers and sends no connection.
     */
    static constexpr Duration kBalancerDelay { 2600 };
    /** Part of the grace period that is reserved for the exit of the process. */
    static constexpr Duration kExitMargin { 300 };
    /** Time before the exit in which the requests that are still running are answered. */
    static constexpr Duration kAnswerMargin { 500 };

public:
    /** @brief Creates the schedule of a stop that has not begun. @param stopGrace Grace period. */
    explicit StopSchedule(Duration stopGrace)
        : grace { stopGrace }
    {
    }

    /** @brief Changes the grace period of a later stop. @param stopGrace Grace period. */
    void setGrace(Duration stopGrace)
    {
        // The platform counts the grace of a stop that has begun from its signal, by the settings of that time.
        if (!this->begunAt)
            this->grace = stopGrace;
    }

    /** @brief Begins the stop; later calls have no effect. @param now Current time. */
    void begin(TimePoint now)
    {
        if (!this->begunAt)
            this->begunAt = now;
    }

    /** @brief Checks if the stop has begun. @return True after begin(). */
    [[nodiscard]] bool hasBegun() const noexcept { return this->begunAt.has_value(); }

    /** @brief Returns the time of the exit. @return Time; the end of the clock before the stop has begun. */
    [[nodiscard]] TimePoint exitAt() const { return this->after(this->grace - kExitMargin); }

    /** @brief Returns the time at which running requests are ended. @return Time; the end of the clock before the stop.
     */
    [[nodiscard]] TimePoint requestsEndAt() const { return this->after(this->grace - kExitMargin - kAnswerMargin); }

    /**
     * @brief Checks if a request can end before the exit.
     * @param now Current time.
     * @param answerTime Time until the end of its answer.
     * @return True if it can be taken.
     */
    [[nodiscard]] bool canEnd(TimePoint now, Duration answerTime) const
    {
        return !this->hasBegun() || now + answerTime <= this->requestsEndAt();
    }

    /** @brief Checks if all new requests are refused. @param now Current time. @return True late in a stop. */
    [[nodiscard]] bool isRefusingAll(TimePoint now) const
    {
        return now >= std::min(this->after(kBalancerDelay), this->requestsEndAt());
    }

private:
    [[nodiscard]] TimePoint after(Duration length) const
    {
        return this->begunAt ? *this->begunAt + std::max(length, Duration {}) : TimePoint::max();
    }

    Duration grace;
    std::optional<TimePoint> begunAt;
};

} // namespace berylwing
