#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>
#include <cmath>

namespace berylwing {

/** @brief Returns the factor by which a weight shrinks over time. @param age Time. @param decay Time to 1/e. */
[[nodiscard]] inline double decayOf(Duration age, Duration decay)
{
    return std::exp(-static_cast<double>(std::max(age, Duration {}).count()) / static_cast<double>(decay.count()));
}

/** @brief Mean and variance of values, with weights that decrease exponentially with their age. */
class DecayedMoments {
public:
    /**
     * @brief Creates moments without values.
     * @param averagingTime Age at which a value has 1/e of its first weight.
     * @param maxValues Weight of all values together, so that many values in a short time do not outlast a change.
     */
    DecayedMoments(Duration averagingTime, double maxValues) noexcept
        : decay { averagingTime }
        , maxWeight { maxValues }
    {
    }

    /** @brief Adds a value. @param value Value. @param now Current time. */
    void record(double value, TimePoint now)
    {
        const auto kept = std::min(this->weight(now), this->maxWeight - 1);
        this->total = kept + 1;
        const auto difference = value - this->average;
        this->average += difference / this->total;
        this->spread = (kept * this->spread + difference * (value - this->average)) / this->total;
        this->updatedAt = now;
    }

    /** @brief Returns the weight of all values, in values that have just been added. @param now Current time. */
    [[nodiscard]] double weight(TimePoint now) const
    {
        return this->total * decayOf(now - this->updatedAt, this->decay);
    }

    /** @brief Returns the mean; zero without values. */
    [[nodiscard]] double mean() const noexcept { return this->average; }

    /** @brief Returns the variance; zero without values. */
    [[nodiscard]] double variance() const noexcept { return this->spread; }

private:
    Duration decay;
    double maxWeight;
    double total = 0;
    double average = 0;
    double spread = 0;
    TimePoint updatedAt {};
};

/** @brief Straight line through pairs of values, with weights that decrease exponentially with their age. */
class DecayedLine {
public:
    /** @brief Creates a line without pairs. The parameters are those of DecayedMoments. */
    DecayedLine(Duration averagingTime, double maxPairs) noexcept
        : decay { averagingTime }
        , maxWeight { maxPairs }
    {
    }

    /** @brief Adds a pair. @param x Cause. @param y Effect. @param now Current time. */
    void record(double x, double y, TimePoint now)
    {
        const auto kept = std::min(this->weight(now), this->maxWeight - 1);
        this->total = kept + 1;
        const auto differenceX = x - this->meanX;
        this->meanX += differenceX / this->total;
        this->meanY += (y - this->meanY) / this->total;
        this->varianceX = (kept * this->varianceX + differenceX * (x - this->meanX)) / this->total;
        this->covariance = (kept * this->covariance + differenceX * (y - this->meanY)) / this->total;
        this->updatedAt = now;
    }

    /** @brief Returns the weight of all pairs, in pairs that have just been added. @param now Current time. */
    [[nodiscard]] double weight(TimePoint now) const
    {
        return this->total * decayOf(now - this->updatedAt, this->decay);
    }

    /** @brief Returns by how much y grows with x; never negative, since more work takes no less time. */
    [[nodiscard]] double slope() const noexcept
    {
        return this->varianceX > 0 ? std::max(this->covariance / this->varianceX, 0.0) : 0;
    }

    /** @brief Returns the expected y of an x; never negative. @param x Cause. */
    [[nodiscard]] double at(double x) const noexcept
    {
        return std::max(this->meanY + this->slope() * (x - this->meanX), 0.0);
    }

private:
    Duration decay;
    double maxWeight;
    double total = 0;
    double meanX = 0;
    double meanY = 0;
    double varianceX = 0;
    double covariance = 0;
    TimePoint updatedAt {};
};

} // namespace berylwing
