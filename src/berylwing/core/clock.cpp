#include "berylwing/core/clock.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace berylwing {

namespace {

TimePoint systemTime() { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); }

} // namespace

Clock::Waiter::Waiter(const Executor& executor, TimePoint when)
    : due { when }
    , timer { executor, boost::asio::steady_timer::time_point::max() }
{
}

Clock::Clock(const Executor& executor)
    : hostExecutor { executor }
    , source { systemTime }
    , pumpTimer { executor }
    , selfDriven { true }
{
}

Clock::Clock(const Executor& executor, Source timeSource)
    : hostExecutor { executor }
    , source { std::move(timeSource) }
    , pumpTimer { executor }
    , selfDriven { false }
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
    this->wakePump();
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

Task<void> Clock::pump()
{
    while (!this->waiters.empty()) {
        this->pumpTimer.expires_at(this->waiters.begin()->due);
        boost::system::error_code ignored;
        co_await this->pumpTimer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        this->fireDue();
    }
    this->pumpRunning = false;
}

void Clock::wakePump()
{
    if (!this->selfDriven)
        return;
    if (this->pumpRunning) {
        if (this->waiters.begin()->due < this->pumpTimer.expiry())
            this->pumpTimer.cancel();
        return;
    }
    this->pumpRunning = true;
    spawn(this->hostExecutor, "clock", this->pump());
}

} // namespace berylwing
