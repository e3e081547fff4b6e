#pragma once

#include <chrono>
#include <cstdint>

namespace berylwing {

/** @brief Returns the system time, which can jump when it is adjusted. @return Milliseconds since 1970. */
[[nodiscard]] inline std::int64_t wallTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace berylwing
