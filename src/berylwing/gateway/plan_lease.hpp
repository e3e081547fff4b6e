#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>

namespace berylwing {

/**
 * @brief Time until which the routing plan of this host may be trusted to hold no key that was taken away.
 *
 * It is counted from the latest moment at which the platform is known to have had no newer plan.
 */
class PlanLease {
public:
    /**
     * @brief Creates a lease that has run out.
     * @param hostClock Clock of the host.
     * @param leaseLength Time for which a confirmation holds.
     */
    PlanLease(const Clock& hostClock, Duration leaseLength)
        : clock { hostClock }
        , length { leaseLength }
    {
    }

    /** @brief Changes the time for which a confirmation holds. @param leaseLength Time. */
    void setLength(Duration leaseLength) noexcept { this->length = leaseLength; }

    /** @brief Takes note that the plan was current. @param when Moment at which it surely was. */
    void confirm(TimePoint when) noexcept { this->confirmedAt = std::max(this->confirmedAt, when); }

    /** @brief Tells how old the last confirmation is. @return Age in milliseconds. */
    [[nodiscard]] Duration age() const { return this->clock.now() - this->confirmedAt; }

    /** @brief Tells whether the plan may be trusted. @return False if a key may have been taken away since. */
    [[nodiscard]] bool isValid() const { return this->age() < this->length; }

private:
    const Clock& clock;
    Duration length;
    TimePoint confirmedAt {};
};

} // namespace berylwing
