#pragma once

#include <algorithm>

namespace berylwing {

/** @brief Allows additional attempts only as a share of recent successes. */
class RetryBudget {
public:
    /** @brief Creates a budget. @param initialTokens Attempts that may be made before the first success. */
    explicit RetryBudget(double initialTokens) noexcept
        : tokens { initialTokens }
    {
    }

    /** @brief Takes note of a request that was answered whole. */
    void recordSuccess() noexcept { this->tokens = std::min(kMaxTokens, this->tokens + kTokensPerSuccess); }

    /** @brief Takes one additional attempt. @return False if the budget is spent. */
    [[nodiscard]] bool tryConsume() noexcept
    {
        if (this->tokens < 1)
            return false;
        this->tokens -= 1;
        return true;
    }

private:
    /** Attempts have to stay within 1.1 times the requests; the rest is for what is spent before the first success. */
    static constexpr double kTokensPerSuccess = 0.08;
    static constexpr double kMaxTokens = 10;

    double tokens;
};

} // namespace berylwing
