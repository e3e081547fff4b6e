#pragma once

#include "soak/soak_record.hpp"
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Promise that did not hold. */
struct BrokenPromise {
    std::string promise;
    std::string what;
};

/**
 * @brief Checks what a soak saw against what the pages promise at any time, whatever the machine's load.
 * @param record What was seen.
 * @param bounds Promised figures.
 * @return Promises that did not hold.
 */
[[nodiscard]] std::vector<BrokenPromise> checkSafety(const SoakRecord& record, const SoakBounds& bounds);

/**
 * @brief Checks the promises that have a bound in time.
 * @param record What was seen.
 * @param bounds Promised figures.
 * @return Promises that did not hold.
 */
[[nodiscard]] std::vector<BrokenPromise> checkTiming(const SoakRecord& record, const SoakBounds& bounds);

} // namespace berylwing::test
