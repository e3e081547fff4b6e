#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief Token bucket with a capacity of one second of its rate, at least one token. */
class TokenBucket {
    void refill(TimePoint now);

public:
    /**
     * @brief Creates a full bucket.
     * @param tokensPerSecond Refill rate.
     * @param now Current time.
     */
    TokenBucket(double tokensPerSecond, TimePoint now);

    /**
     * @brief Consumes tokens if enough are available.
     * @param count Number of tokens.
     * @param now Current time.
     * @return False if too few are available; none is consumed then.
     */
    [[nodiscard]] bool tryConsume(double count, TimePoint now);

    /**
     * @brief Consumes tokens even if too few are available; the balance becomes negative until they are refilled.
     * @param count Number of tokens.
     * @param now Current time.
     */
    void consume(double count, TimePoint now);

    /**
     * @brief Returns the time until enough tokens are available.
     * @param count Number of tokens.
     * @param now Current time.
     * @return Time to wait, rounded up to the next millisecond.
     */
    [[nodiscard]] Duration timeUntilAvailable(double count, TimePoint now);

    /** @brief Sets the refill rate. @param tokensPerSecond Rate. @param now Current time. */
    void setRate(double tokensPerSecond, TimePoint now);

private:
    double rate;
    double available;
    TimePoint refilledAt;
};

} // namespace berylwing
