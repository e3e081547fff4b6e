#include "berylwing/core/clock.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <ctime>
#include <utility>

namespace berylwing {

namespace {

/** Reads a monotonic clock that includes suspended time, so that deadlines also expire while the host is suspended. */
TimePoint readBootTime()
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot = std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec };
    return TimePoint { std::chrono::duration_cast<Duration>(sinceBoot) };
}

} // namespace

Clock::Waiter::Waiter(const Executor& executor, TimePoint when)
    : due { when }
    , timer { executor, boost::asio::steady_timer::time_point::max() }
{
}

Clock::Clock(const Executor& executor)
    : hostExecutor { executor }
    , source { readBootTime }
    , wakeTimer { executor }
    , isTimerDriven { true }
{
}

Clock::Clock(const Executor& executor, Source timeSource)
    : hostExecutor { executor }
    , source { std::move(timeSource) }
    , wakeTimer { executor }
    , isTimerDriven { false }
{
}

Clock::~Clock() { this->waiters.clear(); }

TimePoint Clock::now() const { return this->source(); }

Task<void> Clock::sleepFor(Duration length)
{
    Waiter waiter { this->hostExecutor, this->now() + length };
    co_await this->wait(waiter);
}

Task<void> Clock::wait(Waiter& waiter)
{
    this->waiters.insert(waiter);
    this->scheduleTimer();
    boost::system::error_code ignored;
    co_await waiter.timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    if (waiter.is_linked())
        waiter.unlink();
}

void Clock::fireDue()
{
    const auto current = this->now();
    while (!this->waiters.empty() && this->waiters.begin()->due <= current) {
        auto& waiter = *this->waiters.begin();
        waiter.unlink();
        waiter.timer.cancel();
    }
}

Task<void> Clock::runTimer()
{
    while (!this->waiters.empty()) {
        this->wakeTimerDue = this->waiters.begin()->due;
        // One extra millisecond, because now() rounds down and the timer must not fire before the deadline.
        this->wakeTimer.expires_after(std::max(this->wakeTimerDue - this->now(), Duration {}) + Duration { 1 });
        boost::system::error_code ignored;
        co_await this->wakeTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        this->fireDue();
    }
    this->isTimerRunning = false;
}

void Clock::scheduleTimer()
{
    if (!this->isTimerDriven)
        return;
    if (this->isTimerRunning) {
        if (this->waiters.begin()->due < this->wakeTimerDue)
            this->wakeTimer.cancel();
        return;
    }
    this->isTimerRunning = true;
    spawn(this->hostExecutor, "clock", this->runTimer());
}

} // namespace berylwing
