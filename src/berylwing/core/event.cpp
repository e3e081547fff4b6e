#include "berylwing/core/event.hpp"

namespace berylwing {

Task<void> Event::waitUntil(TimePoint deadline)
{
    if (this->clock.now() >= deadline)
        co_return;
    WaitEntry entry { this->clock.executor(), deadline };
    this->waitList.push_back(entry);
    co_await this->clock.wait(entry.waiter);
}

void Event::notifyAll()
{
    while (!this->waitList.empty()) {
        auto& entry = this->waitList.front();
        entry.unlink();
        entry.waiter.timer.cancel();
    }
}

} // namespace berylwing
