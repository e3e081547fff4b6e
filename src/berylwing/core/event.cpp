#include "berylwing/core/event.hpp"

namespace berylwing {

Task<void> Event::waitUntil(TimePoint deadline)
{
    if (this->clock.now() >= deadline)
        co_return;
    Waiting waiting { this->clock.executor(), deadline };
    this->waitingList.push_back(waiting);
    co_await this->clock.wait(waiting.waiter);
}

void Event::notifyAll()
{
    while (!this->waitingList.empty()) {
        auto& waiting = this->waitingList.front();
        waiting.unlink();
        waiting.waiter.timer.cancel();
    }
}

} // namespace berylwing
