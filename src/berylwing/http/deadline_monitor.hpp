#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace berylwing {

/** @brief Time until which a deadline has to show a sign of life. */
struct CallDeadline : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** Time at which the deadline is taken for dead. */
    TimePoint expiresAt = TimePoint::max();
    /** Ends the deadline. */
    std::function<void()> onExpire;
};

/** @brief Ends deadlines that gave no sign of life; one task for all deadlines needs no timer for each read. */
class DeadlineMonitor : public std::enable_shared_from_this<DeadlineMonitor> {
    [[nodiscard]] Task<void> run();

public:
    /** @brief Creates a list without deadlines. @param hostClock Clock of the host. */
    explicit DeadlineMonitor(Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Watches a deadline until it is destroyed. @param deadline Call. */
    void add(CallDeadline& deadline);

private:
    using Deadlines = boost::intrusive::list<CallDeadline, boost::intrusive::constant_time_size<false>>;

    Clock& clock;
    Deadlines deadlines;
    bool isRunning = false;
};

} // namespace berylwing
