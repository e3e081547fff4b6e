#pragma once

#include <chrono>
#include <cstdint>

namespace berylwing {

/** @brief Reads the time of day, which may step. @return Milliseconds since 1970. */
[[nodiscard]] inline std::int64_t wallTimeMs()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace berylwing
