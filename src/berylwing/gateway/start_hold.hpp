#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"

namespace berylwing {

/**
 * @brief Holds requests that arrive while a host that has just started confirms its routing plan.
 *
 * After a loss of power callers return to all hosts at once. A plan is confirmed some 300 ms after the start, sooner
 * than refused callers would return.
 */
class StartHold {
    /** Time after the start for which requests are held at most. */
    static constexpr Duration kMaxHold { 800 };

public:
    /** @brief Creates a hold that is not active. @param hostClock Clock of the host. */
    explicit StartHold(Clock& hostClock)
        : clock { hostClock }
        , ended { hostClock }
    {
    }

    /** @brief Begins to hold requests. */
    void begin() { this->holdUntil = this->clock.now() + kMaxHold; }

    /** @brief Lets requests go on, because the plan is confirmed or cannot be confirmed soon. */
    void end()
    {
        this->holdUntil = {};
        this->ended.notifyAll();
    }

    /** @brief Checks if requests are held. @return True from begin() until end(), or until the longest hold is over. */
    [[nodiscard]] bool isActive() const { return this->clock.now() < this->holdUntil; }

    /** @brief Waits until requests are no longer held. @return Awaitable. */
    [[nodiscard]] Task<void> wait()
    {
        while (this->isActive())
            co_await this->ended.waitUntil(this->holdUntil);
    }

private:
    Clock& clock;
    Event ended;
    TimePoint holdUntil {};
};

} // namespace berylwing
