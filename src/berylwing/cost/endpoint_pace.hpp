#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/cost/decayed_moments.hpp"

namespace berylwing {

/** @brief How long work takes at an endpoint, in multiples of the usual, and how many answers say so. */
struct PaceReport {
    double slowness = 1;
    /** Weight, in answers that have just been seen; zero if nothing is known. */
    double answers = 0;
};

/**
 * @brief Learns how long work takes at an endpoint compared with the others of its service.
 *
 * Two averages of the endpoint's answers, over seconds and over a minute, tell an endpoint that is slow now from one
 * that is slow for good; one that has just started counts as usual. The figure that the endpoint tells is true only for
 * tens of milliseconds, so that it loses its weight as fast; the mean of these figures stands in for answers as long
 * as there are few of them. Figures that answers contradict have little influence.
 */
class EndpointPace {
public:
    /** @brief Creates the pace of an endpoint that has just started. */
    EndpointPace() noexcept;

    /**
     * @brief Learns from an answer or a part of it.
     * @param ratio Time that it took over the expected time.
     * @param now Current time.
     */
    void recordAnswer(double ratio, TimePoint now);

    /**
     * @brief Learns from the figure that the endpoint tells.
     * @param slowness Time that work takes there now, in multiples of the usual.
     * @param now Current time.
     */
    void recordTold(double slowness, TimePoint now);

    /** @brief Sets what other hosts have learned. @param report Joint report; replaces the one before. */
    void setRemote(const PaceReport& report) noexcept
    {
        this->remote = report;
        this->computedAt = TimePoint::min();
    }

    /** @brief Returns what this host has learned in the last seconds. @param now Current time. @return Report. */
    [[nodiscard]] PaceReport report(TimePoint now) const;

    /** @brief Estimates how long work takes at the endpoint. @param now Current time. @return Multiple of the usual. */
    [[nodiscard]] double slowness(TimePoint now) const;

private:
    [[nodiscard]] double computeSlowness(TimePoint now) const;

    /** Logarithms of the ratios. */
    DecayedMoments recent;
    DecayedMoments lasting;
    /** Logarithms of the told figures. */
    DecayedMoments toldMean;
    double lastTold = 0;
    TimePoint toldAt = TimePoint::min();
    PaceReport remote;
    /** Last result and its time: a host asks many times at once. */
    mutable TimePoint computedAt = TimePoint::min();
    mutable double computed = 1;
};

} // namespace berylwing
