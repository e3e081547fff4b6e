#pragma once

#include "berylwing/core/task.hpp"
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/set.hpp>
#include <chrono>
#include <functional>

namespace berylwing {

/** @brief Length of time; the project measures all intervals in milliseconds. */
using Duration = std::chrono::milliseconds;

/** @brief Point on the runtime's monotonic clock, which includes the time for which the host is suspended. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/**
 * @brief Clock of a host's runtime, through which all of its timed waits go.
 *
 * With its default source the clock completes waits by a timer. With a custom source, as in tests, waits complete only
 * when the owner calls fireDue().
 */
class Clock {
public:
    /** @brief Function that reads the current time. */
    using Source = std::function<TimePoint()>;

    /** @brief Entry for a waiting coroutine in the clock's set of waits, which is ordered by deadline. */
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
     * @brief Creates a clock on the system's monotonic time since boot.
     * @param executor Executor of the host.
     */
    explicit Clock(const Executor& executor);

    /**
     * @brief Creates a clock whose owner advances the time and calls fireDue().
     * @param executor Executor of the host.
     * @param source Source of the current time.
     */
    Clock(const Executor& executor, Source source);

    ~Clock();
    Clock(const Clock&) = delete;
    Clock& operator=(const Clock&) = delete;

    /** @brief Returns the current time. @return Current point on the monotonic clock. */
    [[nodiscard]] TimePoint now() const;

    /** @brief Returns the executor of the host. @return Executor on which all waits complete. */
    [[nodiscard]] const Executor& executor() const noexcept { return this->hostExecutor; }

    /**
     * @brief Waits for a length of time.
     * @param length Time to wait.
     * @return Awaitable that completes after that time.
     */
    [[nodiscard]] Task<void> sleepFor(Duration length);

    /**
     * @brief Waits until the deadline of a wait passes or its timer is cancelled.
     * @param waiter Wait to register; cancelling its timer ends the wait early.
     * @return Awaitable that completes at the deadline or the cancellation.
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
