#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/** @brief Longest time that recent requests of each route took until the end of their answer. */
class AnswerTimes {
    /** Length of one window; the longest time is that of the current window and the one before. */
    static constexpr Duration kWindow { 30'000 };

    using Times = std::map<std::string, Duration, std::less<>>;

    static void raise(std::optional<Duration>& longest, const Times& times, std::string_view route)
    {
        if (const auto found = times.find(route); found != times.end())
            longest = std::max(longest.value_or(Duration {}), found->second);
    }

public:
    /** @brief Creates an empty record. @param hostClock Clock that delimits the windows. */
    explicit AnswerTimes(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Records a request that ran. @param route Name of its route. @param took Time until its end. */
    void record(std::string_view route, Duration took)
    {
        const auto now = this->clock.now();
        if (now >= this->windowStart + kWindow) {
            this->previous = std::exchange(this->current, {});
            this->windowStart = now;
        }
        auto found = this->current.find(route);
        if (found == this->current.end())
            found = this->current.emplace(route, Duration {}).first;
        found->second = std::max(found->second, took);
    }

    /** @brief Returns the longest recent time. @param route Name of a route. @return Time; nothing without requests. */
    [[nodiscard]] std::optional<Duration> longest(std::string_view route) const
    {
        std::optional<Duration> longest;
        raise(longest, this->previous, route);
        raise(longest, this->current, route);
        return longest;
    }

private:
    const Clock& clock;
    Times previous;
    Times current;
    TimePoint windowStart {};
};

} // namespace berylwing
