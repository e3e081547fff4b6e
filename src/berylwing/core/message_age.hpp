#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>
#include <cstdint>

namespace berylwing {

/**
 * @brief Time that a message between hosts may be late.
 *
 * Clocks of hosts differ, so messages hold ages, and what a host learns looks newer by the time that the message took.
 * What hosts repeat to each other would look newer at each hop; a report counts as newer only if it is so by more than
 * this.
 */
inline constexpr Duration kMaxMessageDelay { 1000 };

/** @brief Converts a time to an age in a message. @param now Time of sending. @param at Time. @return Milliseconds. */
[[nodiscard]] inline std::uint32_t toMessageAge(TimePoint now, TimePoint at)
{
    return static_cast<std::uint32_t>(std::max(now - at, Duration {}).count());
}

/** @brief Converts an age in a message to a time. @param now Time of arrival. @param age Milliseconds. @return Time. */
[[nodiscard]] inline TimePoint fromMessageAge(TimePoint now, std::uint32_t age) { return now - Duration { age }; }

} // namespace berylwing
