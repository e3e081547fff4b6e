#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/intrusive/list.hpp>

namespace berylwing {

/** @brief Notification that wakes the waiting coroutines, like a condition variable. */
class Event {
    struct WaitEntry : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        WaitEntry(const Executor& executor, TimePoint due)
            : waiter { executor, due }
        {
        }

        Clock::Waiter waiter;
    };

    using WaitList = boost::intrusive::list<WaitEntry, boost::intrusive::constant_time_size<false>>;

public:
    /**
     * @brief Creates an event without waiters.
     * @param hostClock Clock of the host.
     */
    explicit Event(Clock& hostClock)
        : clock { hostClock }
    {
    }

    Event(const Event&) = delete;
    Event& operator=(const Event&) = delete;
    ~Event() { this->waitList.clear(); }

    /**
     * @brief Waits for the next notification.
     * @param deadline Time at which the wait ends without a notification.
     * @return Awaitable that completes on a notification or at the deadline.
     */
    [[nodiscard]] Task<void> waitUntil(TimePoint deadline);

    /** @brief Wakes all coroutines that are waiting. */
    void notifyAll();

private:
    Clock& clock;
    WaitList waitList;
};

} // namespace berylwing
