#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/**
 * @brief Times of an order, counted from it.
 *
 * The trial takes as long as the deadline allows, since a version can turn bad late. What is left is for moving the
 * requests, for the answers that the other versions still owe, and for the write of the verdict.
 */
struct RolloutSchedule {
    /**
     * @brief Divides the time of an order.
     * @param duration Time from the order to its deadline.
     * @param longestAnswer Longest time for which a request of the service may last.
     */
    RolloutSchedule(Duration duration, Duration longestAnswer);

    /** Time at which the trial ends. */
    Duration trialEnd {};
    /** Time at which a doubtful version is given up. */
    Duration doubtEnd {};
    /** Time that the move of all requests to the version takes. */
    Duration shiftLength {};
    /** Time at which the verdict is written at the latest. */
    Duration verdictAt {};
};

} // namespace berylwing
