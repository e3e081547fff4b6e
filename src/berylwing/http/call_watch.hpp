#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/intrusive/list.hpp>
#include <functional>
#include <memory>

namespace berylwing {

/** @brief Time until which a call has to show a sign of life. */
struct CallWatch : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** Time at which the call is taken for dead. */
    TimePoint silentAt = TimePoint::max();
    /** Ends the call. */
    std::function<void()> expire;
};

/** @brief Ends calls that gave no sign of life; one task for all calls needs no timer for each read. */
class CallWatches : public std::enable_shared_from_this<CallWatches> {
    [[nodiscard]] Task<void> run();

public:
    /** @brief Creates a list without calls. @param hostClock Clock of the host. */
    explicit CallWatches(Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Watches a call until it is destroyed. @param call Call. */
    void add(CallWatch& call);

private:
    using Calls = boost::intrusive::list<CallWatch, boost::intrusive::constant_time_size<false>>;

    Clock& clock;
    Calls calls;
    bool isRunning = false;
};

} // namespace berylwing
