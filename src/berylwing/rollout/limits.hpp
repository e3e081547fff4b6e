#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief Bounds of the roll-outs of a deployment. */
struct RolloutLimits {
    /** Part of a service's requests that a version may get before the verdict. */
    double share = 0;
    /** Requests of the whole fleet that it may get besides. */
    double tolerance = 0;
    /** Time in which all hosts must have stopped a bad version. */
    Duration rollback {};
};

} // namespace berylwing
