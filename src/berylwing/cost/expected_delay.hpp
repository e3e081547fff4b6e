#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/cost/fwd.hpp"
#include <cstdint>
#include <string_view>

namespace berylwing {

/**
 * @brief Compares the endpoints of a service by how long work takes there.
 *
 * It is meant for services some of whose endpoints are much slower than others. Among endpoints of about the same pace
 * it makes no difference, so that requests stay where their prompts are cached.
 */
class RelativePaces {
public:
    /** @brief Adds an endpoint. @param slowness Time that work takes there, in multiples of the usual. */
    void add(double slowness) noexcept;

    /**
     * @brief Returns how much a request at an endpoint weighs.
     * @param slowness Time that work takes there, in multiples of the usual.
     * @return Time that work takes there over that at an endpoint of the mean capacity; exactly one if it is similar.
     */
    [[nodiscard]] double weightOf(double slowness) const noexcept;

private:
    double totalCapacity = 0;
    double count = 0;
};

/** @brief Expects when endpoints begin to answer a request, and whether that is within what its route promises. */
class ExpectedDelay {
public:
    /**
     * @brief Creates an expectation.
     * @param costModel Costs of the service.
     * @param requestService Service.
     * @param latencyTarget Time in which the first event should arrive; zero if there is no such target.
     */
    ExpectedDelay(const CostModel& costModel, std::string_view requestService, Duration latencyTarget) noexcept
        : costs { costModel }
        , service { requestService }
        , target { latencyTarget }
    {
    }

    /**
     * @brief Checks if an endpoint is slow and therefore expected to begin too late.
     * @param paceWeight Weight of the endpoint's pace, as told by RelativePaces.
     * @param pendingTokens Prompt tokens that it has to process before.
     * @return False also if the costs of the service are not known.
     */
    [[nodiscard]] bool isTooLate(double paceWeight, double pendingTokens) const;

private:
    const CostModel& costs;
    std::string_view service;
    Duration target;
};

} // namespace berylwing
