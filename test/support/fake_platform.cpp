#include "support/fake_platform.hpp"

#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kLatency { 2 };
constexpr Duration kSlowLatency { 800 };
constexpr Duration kLostAnswerTime { 200 };
constexpr Duration kWriteDelay { 400 };
constexpr Duration kWatchPoll { 10 };

bool isWrite(const PlatformCall& call)
{
    return call.operation == PlatformOperation::Put || call.operation == PlatformOperation::Remove;
}

[[noreturn]] void refuse() { throw PlatformError { PlatformFault::Unavailable, "connection refused" }; }

} // namespace

PlatformClient::Transport FakePlatform::exchangeOf(std::string host, Clock& clock)
{
    return [this, host = std::move(host), &clock](const PlatformCall& call) { return this->carry(host, clock, call); };
}

void FakePlatform::advanceTo(TimePoint now)
{
    for (auto& write : this->delayed) {
        if (write.at <= now)
            static_cast<void>(this->store.apply(write.call));
    }
    std::erase_if(this->delayed, [now](const DelayedWrite& write) { return write.at <= now; });
}

bool FakePlatform::isUnreachable(const std::string& host) const
{
    return this->trouble == PlatformTrouble::Down || this->cutOff.contains(host);
}

Task<PlatformReply> FakePlatform::carry(std::string host, Clock& clock, PlatformCall call)
{
    const auto begun = clock.now();
    const bool isSlow = this->trouble == PlatformTrouble::Slow || this->slowed.contains(host);
    co_await clock.sleepFor(isSlow ? kSlowLatency : kLatency);
    if (this->isUnreachable(host))
        refuse();
    if (call.operation == PlatformOperation::Watch) {
        const auto until = clock.now() + call.wait;
        while (!this->store.hasChangesAfter(call.after) && clock.now() < until) {
            co_await clock.sleepFor(kWatchPoll);
            if (this->isUnreachable(host))
                refuse();
        }
    }
    if (call.operation == PlatformOperation::WatchKind) {
        const auto until = clock.now() + call.wait;
        while (!this->silenced.contains(host) && call.after >= this->store.historyFrom
            && !this->store.hasChangesAfter(call.kind, call.after) && clock.now() < until) {
            co_await clock.sleepFor(kWatchPoll);
            if (this->isUnreachable(host))
                refuse();
        }
    }
    if (this->silenced.contains(host)) {
        co_await clock.sleepFor(begun + call.timeout - clock.now());
        throw PlatformError { PlatformFault::OutcomeUnknown, "timed out" };
    }
    if (isWrite(call) && this->trouble == PlatformTrouble::WritesDelayed) {
        this->delayed.push_back({ clock.now() + kWriteDelay, call });
        co_await clock.sleepFor(kLostAnswerTime);
        throw PlatformError { PlatformFault::OutcomeUnknown, "no answer" };
    }
    auto& source = this->lagging.contains(host) && !isWrite(call) ? this->oldStore : this->store;
    auto reply = source.apply(call);
    if (isWrite(call) && this->trouble == PlatformTrouble::AnswersLost) {
        co_await clock.sleepFor(kLostAnswerTime);
        throw PlatformError { PlatformFault::OutcomeUnknown, "no answer" };
    }
    co_await clock.sleepFor(kLatency);
    co_return reply;
}

} // namespace berylwing::test
