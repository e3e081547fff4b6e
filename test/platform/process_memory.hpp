#pragma once

#include <catch2/catch.hpp>
#include <cstddef>
#include <fstream>
#include <string>
#include <sys/types.h>

namespace berylwing::test {

/** @brief Returns the largest resident memory that a process has had so far. @param id Process. @return Megabytes. */
inline std::size_t peakMegabytes(pid_t id)
{
    constexpr std::size_t kKilobytesPerMegabyte = 1024;
    std::ifstream status { "/proc/" + std::to_string(id) + "/status" };
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word && word != "VmHWM:") { }
    status >> kilobytes;
    REQUIRE(kilobytes > 0);
    return kilobytes / kKilobytesPerMegabyte;
}

} // namespace berylwing::test
