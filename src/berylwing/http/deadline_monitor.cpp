#include "berylwing/http/deadline_monitor.hpp"

#include <utility>

namespace berylwing {

namespace {

/** Interval at which deadlines are checked, and so their granularity. */
constexpr Duration kCheckInterval { 100 };

} // namespace

void DeadlineMonitor::add(CallDeadline& deadline)
{
    this->deadlines.push_back(deadline);
    if (std::exchange(this->isRunning, true))
        return;
    spawn(this->clock.executor(), "deadline monitor",
        [](std::shared_ptr<DeadlineMonitor> deadlineMonitor) -> Task<void> { co_await deadlineMonitor->run(); }(
                                                                 this->shared_from_this()));
}

Task<void> DeadlineMonitor::run()
{
    auto expectedAt = this->clock.now();
    while (!this->deadlines.empty()) {
        const auto now = this->clock.now();
        if (now - expectedAt >= kCheckInterval)
            this->extend(now - expectedAt);
        for (auto deadline = this->deadlines.begin(); deadline != this->deadlines.end();) {
            auto& current = *deadline++;
            if (now >= current.expiresAt)
                current.onExpire();
        }
        expectedAt = this->clock.now() + kCheckInterval;
        co_await this->clock.sleepFor(kCheckInterval);
    }
    this->isRunning = false;
}

void DeadlineMonitor::extend(Duration stall)
{
    for (auto& deadline : this->deadlines) {
        if (deadline.isExtendedByStalls && deadline.expiresAt != TimePoint::max())
            deadline.expiresAt += stall;
    }
}

} // namespace berylwing
