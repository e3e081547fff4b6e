#include "berylwing/gateway/store_feed.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Wait of the first watch after a failure, which shows quickly whether the store is back. */
constexpr Duration kProbeWait { 1 };
/** First pause after a failure; a single cut connection is made good at once. */
constexpr Duration kFirstPause { 60 };
/** Longest pause, so that a returned store is noticed well within the time that keys stay valid. */
constexpr Duration kLongestPause { 500 };

} // namespace

StoreFeed::StoreFeed(Clock& hostClock, PlatformClient& storeClient, ObjectKind objectKind,
    const StoreFeedPace& feedPace, StoreFeedHooks feedHooks, DecisionLog& decisionLog)
    : clock { hostClock }
    , client { storeClient }
    , kind { objectKind }
    , pace { feedPace }
    , hooks { std::move(feedHooks) }
    , log { decisionLog }
    , random { static_cast<unsigned>(hostClock.now().time_since_epoch().count()) }
{
}

Task<void> StoreFeed::list()
{
    const auto sentAt = this->clock.now();
    const auto all = co_await this->client.listAll(this->kind, false);
    this->revision = all.through;
    this->mustList = false;
    this->hasList = true;
    this->hooks.replaceAll(all.changes);
    this->hooks.confirm(sentAt);
}

Task<void> StoreFeed::watch()
{
    const auto sentAt = this->clock.now();
    const auto length = this->failures > 0 || this->mustConfirm ? kProbeWait : this->pace.wait;
    const auto batch = co_await this->client.watchKind(this->kind, this->revision, length);
    for (const auto& change : batch.changes)
        this->hooks.change(change);
    this->revision = std::max(this->revision, batch.through);
    const bool hasChanges = !batch.changes.empty();
    // A watch without a change was answered at the end of its wait, not before.
    this->hooks.confirm(hasChanges ? sentAt : std::min(sentAt + length, this->clock.now()));
    // An answer with changes may have been given long ago, so the next call asks again at once.
    this->mustConfirm = hasChanges && this->pace.confirmsChanges;
    if (hasChanges && this->pace.pauseAfterChange > Duration {})
        co_await this->clock.sleepFor(this->pace.pauseAfterChange);
}

Duration StoreFeed::nextPause()
{
    const auto longest = std::min(kLongestPause, kFirstPause * (1U << std::min(this->failures, 4U)));
    std::uniform_int_distribution<Duration::rep> spread { longest.count() / 2, longest.count() };
    return Duration { spread(this->random) };
}

Task<void> StoreFeed::run()
{
    while (true) {
        bool hasFailed = false;
        try {
            if (this->mustList)
                co_await this->list();
            else
                co_await this->watch();
            if (this->failures > 0) {
                LogLine line { LogEvent::DependencyRegained };
                line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
                this->log.write(line.add("failures", std::int64_t { this->failures }));
            }
            this->failures = 0;
        } catch (const PlatformError& error) {
            hasFailed = error.fault() != PlatformFault::HistoryGone;
            this->mustList = this->mustList || !hasFailed;
            LogLine line { LogEvent::DependencyLost };
            line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
            line.add("revision", static_cast<std::int64_t>(this->revision)).add("error", error.what());
            if (this->failures == 0)
                this->log.write(line);
        }
        if (!hasFailed)
            continue;
        ++this->failures;
        this->hooks.lose();
        co_await this->clock.sleepFor(this->nextPause());
    }
}

} // namespace berylwing
