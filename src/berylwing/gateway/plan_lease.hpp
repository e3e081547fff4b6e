#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>

namespace berylwing {

/**
 * @brief Limits the time for which this host's routing plan is trusted to contain no revoked API key.
 *
 * The lease starts at the latest time at which the plan is known to have been the newest one in the store.
 */
class PlanLease {
public:
    /**
     * @brief Creates an expired lease.
     * @param hostClock Clock of the host.
     * @param leaseDuration Time for which a confirmation is valid.
     */
    PlanLease(const Clock& hostClock, Duration leaseDuration)
        : clock { hostClock }
        , duration { leaseDuration }
    {
    }

    /** @brief Sets the time for which a confirmation is valid. @param leaseDuration Time. */
    void setDuration(Duration leaseDuration) noexcept { this->duration = leaseDuration; }

    /** @brief Confirms that the plan was current. @param when Time at which it was the newest plan. */
    void confirm(TimePoint when) noexcept { this->confirmedAt = std::max(this->confirmedAt, when); }

    /** @brief Returns the age of the last confirmation. @return Age in milliseconds. */
    [[nodiscard]] Duration age() const { return this->clock.now() - this->confirmedAt; }

    /** @brief Checks if the lease is valid. @return False if a key in the plan may have been revoked. */
    [[nodiscard]] bool isValid() const { return this->age() < this->duration; }

private:
    const Clock& clock;
    Duration duration;
    TimePoint confirmedAt {};
};

} // namespace berylwing
