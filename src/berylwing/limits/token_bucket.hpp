#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief Limits a rate; what was not used in the last second may be used at once. */
class TokenBucket {
    void refill(TimePoint now);

public:
    /**
     * @brief Creates a full bucket.
     * @param tokensPerSecond Rate.
     * @param now Current time.
     */
    TokenBucket(double tokensPerSecond, TimePoint now);

    /**
     * @brief Takes tokens if there are enough.
     * @param count Tokens to take.
     * @param now Current time.
     * @return False if there are too few.
     */
    [[nodiscard]] bool tryConsume(double count, TimePoint now);

    /** @brief Takes tokens even if there are too few, so that later ones have to wait. @param count Tokens. @param now
     * Time. */
    void consume(double count, TimePoint now);

    /** @brief Tells when tokens will be there. @param count Tokens. @param now Current time. @return Time to wait. */
    [[nodiscard]] Duration timeUntilAvailable(double count, TimePoint now);

    /** @brief Changes the rate. @param tokensPerSecond Rate. @param now Current time. */
    void setRate(double tokensPerSecond, TimePoint now);

private:
    double rate;
    double available;
    TimePoint refilledAt;
};

} // namespace berylwing
