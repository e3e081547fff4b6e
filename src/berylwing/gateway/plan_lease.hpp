#pragma once

#include "berylwing/core/clock.hpp"
#include <algorithm>

namespace berylwing {

/**
 * @brief Limits the time for which this host's routing plan is trusted.
 *
 * Until a first bound the plan proves that a route or key does not exist: a newer plan that has it need not be in force
 * yet. Until a second one, the lease itself, the plan contains no key that had to be out of use.
 * The lease starts at the latest time at which the plan is known to have been the newest one in the store.
 */
class PlanLease {
public:
    /**
     * @brief Creates an expired lease.
     * @param hostClock Clock of the host.
     * @param leaseDuration Time for which a confirmation is valid.
     * @param planDeadline Time in which a new plan has to be in force.
     */
    PlanLease(const Clock& hostClock, Duration leaseDuration, Duration planDeadline)
        : clock { hostClock }
        , duration { leaseDuration }
        , deadline { planDeadline }
    {
    }

    /** @brief Sets the bounds. @param leaseDuration As in the constructor. @param planDeadline As there. */
    void setBounds(Duration leaseDuration, Duration planDeadline) noexcept
    {
        this->duration = leaseDuration;
        this->deadline = planDeadline;
    }

    /** @brief Confirms that the plan was current. @param when Time at which it was the newest plan. */
    void confirm(TimePoint when) noexcept { this->confirmedAt = std::max(this->confirmedAt, when); }

    /** @brief Returns the age of the last confirmation. @return Age in milliseconds. */
    [[nodiscard]] Duration age() const { return this->clock.now() - this->confirmedAt; }

    /** @brief Checks if the lease is valid. @return False if a key in the plan may have been revoked. */
    [[nodiscard]] bool isValid() const { return this->age() < this->duration; }

    /** @brief Checks if the plan is complete. @return False if it may lack a route or key that has to be in force. */
    [[nodiscard]] bool isComplete() const { return this->isValid() && this->age() < this->deadline; }

private:
    const Clock& clock;
    Duration duration;
    Duration deadline;
    TimePoint confirmedAt {};
};

} // namespace berylwing
