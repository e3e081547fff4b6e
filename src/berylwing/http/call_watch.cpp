#include "berylwing/http/call_watch.hpp"

#include <utility>

namespace berylwing {

namespace {

/** Granularity of the deadlines of calls. */
constexpr Duration kWatchInterval { 100 };

} // namespace

void CallWatches::add(CallWatch& call)
{
    this->calls.push_back(call);
    if (std::exchange(this->isRunning, true))
        return;
    spawn(this->clock.executor(), "call watch",
        [](std::shared_ptr<CallWatches> watches) -> Task<void> { co_await watches->run(); }(this->shared_from_this()));
}

Task<void> CallWatches::run()
{
    while (!this->calls.empty()) {
        const auto now = this->clock.now();
        for (auto call = this->calls.begin(); call != this->calls.end();) {
            auto& current = *call++;
            if (now >= current.silentAt)
                current.expire();
        }
        co_await this->clock.sleepFor(kWatchInterval);
    }
    this->isRunning = false;
}

} // namespace berylwing
