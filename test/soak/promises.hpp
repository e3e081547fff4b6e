#pragma once

#include "soak/soak_record.hpp"
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Describes a guarantee of the fleet that was violated. */
struct BrokenPromise {
    std::string promise;
    std::string what;
};

/**
 * @brief Checks the guarantees that hold at any time, regardless of the load on the machine.
 * @param record Observations of the soak.
 * @param bounds Guaranteed bounds.
 * @return Violated guarantees.
 */
[[nodiscard]] std::vector<BrokenPromise> checkSafety(const SoakRecord& record, const SoakBounds& bounds);

/**
 * @brief Checks the guarantees that have a time bound.
 * @param record Observations of the soak.
 * @param bounds Guaranteed bounds.
 * @return Violated guarantees.
 */
[[nodiscard]] std::vector<BrokenPromise> checkTiming(const SoakRecord& record, const SoakBounds& bounds);

} // namespace berylwing::test
