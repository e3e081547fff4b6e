#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace berylwing {

/** @brief Deadline of an operation; it is removed from its monitor when it is destroyed. */
struct CallDeadline : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** Time at which the operation counts as timed out. */
    TimePoint expiresAt = TimePoint::max();
    /** Whether time for which this host did not run is not counted, as it is no silence of the peer. */
    bool isExtendedByStalls = false;
    /** Aborts the operation. */
    std::function<void()> onExpire;
};

/**
 * @brief Aborts operations whose deadline has passed.
 *
 * One coroutine checks all deadlines every 100 ms, which saves a timer for each read. A check that comes late shows for
 * how long the host did not run.
 */
class DeadlineMonitor : public std::enable_shared_from_this<DeadlineMonitor> {
    [[nodiscard]] Task<void> run();
    void extend(Duration stall);

public:
    /** @brief Creates a monitor without deadlines. @param hostClock Clock of the host. */
    explicit DeadlineMonitor(Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Monitors a deadline until it is destroyed. @param deadline Deadline. */
    void add(CallDeadline& deadline);

private:
    using Deadlines = boost::intrusive::list<CallDeadline, boost::intrusive::constant_time_size<false>>;

    Clock& clock;
    Deadlines deadlines;
    bool isRunning = false;
};

} // namespace berylwing
