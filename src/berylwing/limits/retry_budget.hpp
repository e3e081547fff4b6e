#pragma once

#include <algorithm>

namespace berylwing {

/** @brief Limits retries to a fraction of the successful requests, so that an outage does not multiply the load. */
class RetryBudget {
public:
    /** @brief Creates a budget. @param initialTokens Number of retries allowed before the first success. */
    explicit RetryBudget(double initialTokens) noexcept
        : tokens { initialTokens }
    {
    }

    /** @brief Records a request with a complete response. */
    void recordSuccess() noexcept { this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerSuccess); }

    /** @brief Consumes one retry if there is one left. @return False if the budget is exhausted. */
    [[nodiscard]] bool tryConsume() noexcept
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    /**
     * Attempts have to stay within 1.1 times the requests. The remaining 0.02 per request covers the retries before the
     * first success.
     */
    static constexpr double kTokensPerSuccess = 0.08;
    static constexpr double kMaxTokens = 10;

    double tokens;
};

} // namespace berylwing
