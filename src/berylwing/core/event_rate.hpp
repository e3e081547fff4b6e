#pragma once

#include "berylwing/core/clock.hpp"
#include <cmath>

namespace berylwing {

/** @brief Rate of events, averaged with weights that decrease exponentially with the age of the events. */
class EventRate {
public:
    /** @brief Creates a rate of zero. @param averagingTime Age at which an event has 1/e of its first weight. */
    explicit EventRate(Duration averagingTime) noexcept
        : decayMs { static_cast<double>(averagingTime.count()) }
    {
    }

    /** @brief Counts an event. @param now Current time. @param amount What the event adds to the sum of all events. */
    void record(TimePoint now, double amount = 1)
    {
        this->perMsAtUpdate = this->perMs(now) + amount / this->decayMs;
        this->updatedAt = now;
    }

    /** @brief Returns the rate. @param now Current time. @return Events per millisecond. */
    [[nodiscard]] double perMs(TimePoint now) const
    {
        return this->perMsAtUpdate * std::exp(-static_cast<double>((now - this->updatedAt).count()) / this->decayMs);
    }

private:
    double decayMs;
    double perMsAtUpdate = 0;
    TimePoint updatedAt {};
};

} // namespace berylwing
