#pragma once

#include "berylwing/core/task.hpp"
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/set.hpp>
#include <chrono>
#include <functional>

namespace berylwing {

/** @brief Length of time; all intervals of the project are in milliseconds. */
using Duration = std::chrono::milliseconds;

/** @brief Point on the runtime's monotonic clock, which goes on while the host is suspended. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/**
 * @brief Clock of one host's runtime.
 *
 * Every wait of a host goes through its clock. Given a source of time other than the system's, the clock stands still
 * until fireDue() is called, which is how tests pause and advance it.
 */
class Clock {
public:
    /** @brief Function that reads the current time. */
    using Source = std::function<TimePoint()>;

    /** @brief Wait of one coroutine in the clock's ordered list of deadlines. */
    struct Waiter : boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        Waiter(const Executor& executor, TimePoint when);
        bool operator<(const Waiter& other) const noexcept { return this->due < other.due; }

        TimePoint due;
        boost::asio::steady_timer timer;
    };

private:
    using Waiters = boost::intrusive::multiset<Waiter, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] Task<void> runTimer();
    void scheduleTimer();

public:
    /**
     * @brief Creates a clock on the system's monotonic time, counted from its start.
     * @param executor Executor of the host.
     */
    explicit Clock(const Executor& executor);

    /**
     * @brief Creates a clock that is advanced by its owner.
     * @param executor Executor of the host.
     * @param source Source of the current time.
     */
    Clock(const Executor& executor, Source source);

    ~Clock();
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;

    /** @brief Reads the current time. @return Current point on the monotonic clock. */
    [[nodiscard]] TimePoint now() const;

    /** @brief Reads the executor of the host. @return Executor on which all waits complete. */
    [[nodiscard]] const Executor& executor() const noexcept { return this->hostExecutor; }

    /**
     * @brief Waits for a length of time.
     * @param length Time to wait in milliseconds.
     * @return Awaitable that completes when the time is over.
     */
    [[nodiscard]] Task<void> sleepFor(Duration length);

    /**
     * @brief Waits on a timer until it is cancelled or the deadline passes.
     * @param waiter Registered wait, cancelled by whoever wants to end it early.
     * @return Awaitable that completes at the earlier of the two.
     */
    [[nodiscard]] Task<void> wait(Waiter& waiter);

    /** @brief Completes every wait whose deadline has passed. */
    void fireDue();

private:
    Executor hostExecutor;
    Source source;
    Waiters waiters;
    boost::asio::steady_timer wakeTimer;
    TimePoint wakeTimerDue {};
    bool isTimerDriven;
    bool isTimerRunning = false;
};

} // namespace berylwing
