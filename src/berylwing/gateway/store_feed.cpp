#include "berylwing/gateway/store_feed.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/json_text.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Wait of the first watch after a failure; it shows quickly whether the store is reachable again. */
constexpr Duration kProbeTimeout { 1 };
/** Shortest retry delay; after a single reset connection the next call usually succeeds. */
constexpr Duration kMinRetryDelay { 60 };
/** Longest retry delay; the end of an outage is noticed well within the time for which API keys remain valid. */
constexpr Duration kMaxRetryDelay { 500 };
/** Time for which other hosts can request a change; a host that has missed older ones fetches them from the store. */
constexpr Duration kRecentChangeTtl { 10'000 };
constexpr std::size_t kMaxRecentChanges = 1000;
/** Interval at which the feed checks whether it can still rely on the news. */
constexpr Duration kNewsCheckInterval { 100 };
/** Size from which the answer of a call is logged. */
constexpr std::size_t kLargeAnswerBytes = 32 * 1024;

/** Time after a failed refresh in which callers do not wait for another one. */
constexpr Duration kRefreshRetryDelay { 500 };

/** Text of a document that could not be read; other hosts cannot read it either. */
constexpr std::string_view kUnreadableDocument = "unreadable";

/** Scope in which a flag tells that something is in progress. */
class PendingFlag {
public:
    PendingFlag(bool& pendingFlag, bool isPending)
        : flag { pendingFlag }
    {
        this->flag = isPending;
    }

    ~PendingFlag() { this->flag = false; }
    PendingFlag(const PendingFlag&) = delete;
    PendingFlag& operator=(const PendingFlag&) = delete;

private:
    bool& flag;
};

std::string textOf(const nlohmann::json& document)
{
    if (document.is_discarded())
        return std::string { kUnreadableDocument };
    return document.is_null() ? std::string {} : document.dump();
}

} // namespace

StoreFeed::StoreFeed(Clock& hostClock, PlatformClient& storeClient, ObjectKind objectKind,
    const StoreFeedTiming& feedTiming, StoreFeedHooks feedHooks, StoreEra& storeEra, DecisionLog& decisionLog)
    : clock { hostClock }
    , client { storeClient }
    , kind { objectKind }
    , timing { feedTiming }
    , hooks { std::move(feedHooks) }
    , era { storeEra }
    , log { decisionLog }
    , random { static_cast<unsigned>(hostClock.now().time_since_epoch().count()) }
    , newsArrived { hostClock }
    , watchEnded { hostClock }
    , refreshEnded { hostClock }
    , history { hostClock }
{
}

void StoreFeed::reportChange(const VersionedObject& change)
{
    try {
        this->hooks.change(change);
    } catch (const std::exception& error) {
        LogLine line { LogEvent::ObjectRejected };
        line.add("kind", kObjectKindNames[this->kind]).add("object", change.name);
        this->log.write(line.add("error", error.what()));
    }
}

void StoreFeed::applyChange(const VersionedObject& change, std::uint64_t through, std::string document)
{
    this->reportChange(change);
    // A host that has missed earlier changes of the object needs only the last one.
    std::erase_if(this->recentChanges, [&change](const RecentChange& recent) { return recent.name == change.name; });
    this->setVersion(change.name, document.empty() ? 0 : change.version);
    this->recentChanges.push_back({ change.name, std::move(document), through, this->clock.now(), change.version });
}

void StoreFeed::setVersion(const std::string& name, std::uint64_t version)
{
    auto& known = this->versions[name];
    for (const auto changed : { known, version })
        this->fingerprint ^= changed == 0 ? 0 : hashText(name, changed);
    known = version;
    if (version == 0)
        this->versions.erase(name);
}

void StoreFeed::pruneRecentChanges()
{
    const auto oldest = this->clock.now() - kRecentChangeTtl;
    while (!this->recentChanges.empty()
        && (this->recentChanges.front().at < oldest || this->recentChanges.size() > kMaxRecentChanges)) {
        this->recentChangesAfter = std::max(this->recentChangesAfter, this->recentChanges.front().through);
        this->recentChanges.pop_front();
    }
}

PlatformCallReason StoreFeed::callReason() const
{
    if (this->failures > 0)
        return PlatformCallReason::Retry;
    if (this->isListRequired)
        return this->hasList ? this->listReason : PlatformCallReason::Start;
    if (this->missingSince)
        return PlatformCallReason::MissedNews;
    if (!this->hooks.isWatcher())
        return this->hooks.isWatchedByPeer() ? PlatformCallReason::NoNews : PlatformCallReason::NoWatcher;
    return this->isConfirmationRequired ? PlatformCallReason::Confirmation : PlatformCallReason::Watch;
}

void StoreFeed::logCall(PlatformOperation operation, PlatformCallReason reason)
{
    LogLine line { LogEvent::StoreCalled };
    line.add("kind", kObjectKindNames[this->kind]).add("operation", kPlatformOperationNames[operation]);
    this->log.write(line.add("reason", kPlatformCallReasonNames[reason]));
}

void StoreFeed::logAnswer(PlatformCallReason reason, const WatchBatch& batch, TimePoint calledAt)
{
    if (batch.bytes < kLargeAnswerBytes)
        return;
    LogLine line { LogEvent::StoreAnswered };
    line.add("kind", kObjectKindNames[this->kind]).add("reason", kPlatformCallReasonNames[reason]);
    line.add("bytes", static_cast<std::int64_t>(batch.bytes)).add("took_ms", this->clock.now() - calledAt);
    this->log.write(line);
}

void StoreFeed::logFailure(PlatformCallReason reason, const PlatformError& error, TimePoint calledAt)
{
    LogLine line { LogEvent::StoreAnswered };
    line.add("kind", kObjectKindNames[this->kind]).add("reason", kPlatformCallReasonNames[reason]);
    line.add("error", error.what()).add("took_ms", this->clock.now() - calledAt);
    this->log.write(line);
}

Task<void> StoreFeed::listObjects()
{
    const auto sentAt = this->clock.now();
    const auto reason = this->callReason();
    this->logCall(PlatformOperation::List, reason);
    const auto all = co_await this->client.listAll(this->kind, false, reason);
    this->logAnswer(reason, all, sentAt);
    this->era.observe(all.era, {});
    if (all.era < this->era.current())
        throw PlatformError { PlatformFault::Unavailable, "the list is from before a restore of the store" };
    const bool isRestored = this->hasList && all.era != this->listEra;
    this->listEra = all.era;
    this->revision = all.through;
    this->recentChanges.clear();
    this->recentChangesAfter = this->revision;
    this->versions.clear();
    this->fingerprint = kEmptyFingerprint;
    for (const auto& object : all.changes)
        this->setVersion(object.name, object.version);
    this->history.clear();
    for (const auto& object : all.changes) {
        if (this->timing.hasLargeDocuments)
            this->history.recordListed(object.name, textOf(object.value));
    }
    this->isListRequired = false;
    this->hasList = true;
    this->forgetMissing();
    if (isRestored)
        this->hooks.reportRestore();
    this->hooks.replaceAll(all.changes);
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
    this->hooks.confirm(sentAt);
}

Task<bool> StoreFeed::watchChanges()
{
    const auto sentAt = this->clock.now();
    const bool isShort = this->failures > 0 || this->isConfirmationRequired || this->missingSince;
    const auto length = isShort ? kProbeTimeout : this->timing.watchTimeout;
    const PendingFlag pending { this->isShortWatchPending, isShort };
    const auto batch = co_await this->watchUntilRestored(length);
    if (!batch)
        co_return false;
    this->applyBatch(*batch);
    const bool hasChanges = !batch->changes.empty();
    // The store responds to a watch without changes only at the end of its wait, so the response covers that time.
    const auto when = hasChanges ? sentAt : std::min(sentAt + length, this->clock.now());
    this->confirmedAt = std::max(this->confirmedAt, when);
    this->hooks.confirm(when);
    // The response may have been sent any time since the call, so a short watch confirms the state at once.
    this->isConfirmationRequired = hasChanges && this->timing.hasConfirmationWatch;
    if (hasChanges && this->timing.batchingDelay > Duration {})
        co_await this->clock.sleepFor(this->timing.batchingDelay);
    co_return true;
}

void StoreFeed::applyBatch(const WatchBatch& batch)
{
    if (batch.through >= this->revision) {
        for (const auto& change : batch.changes)
            this->applyWhole(change, batch.through);
        this->revision = batch.through;
    }
    this->forgetMissing();
}

Task<bool> StoreFeed::refresh(PlatformCallReason reason)
{
    const auto calledAt = this->clock.now();
    // A call that is on its way may have been answered before.
    while (this->isRefreshing)
        co_await this->refreshEnded.waitUntil(TimePoint::max());
    const bool isRequired = this->refreshedUntil < calledAt && this->clock.now() >= this->nextRefreshAt;
    if (isRequired && this->isCurrent()) {
        this->isRefreshing = true;
        spawn(this->clock.executor(), "store refresh", this->completeRefresh(reason));
        while (this->isRefreshing)
            co_await this->refreshEnded.waitUntil(TimePoint::max());
    }
    co_return this->refreshedUntil >= calledAt;
}

Task<void> StoreFeed::completeRefresh(PlatformCallReason reason)
{
    const auto sentAt = this->clock.now();
    try {
        this->logCall(PlatformOperation::WatchKind, reason);
        const auto batch = co_await this->client.watchKind(this->kind, this->revision, kProbeTimeout, reason);
        this->logAnswer(reason, batch, sentAt);
        this->era.observe(batch.era, {});
        if (this->isCurrent() && batch.era == this->listEra) {
            this->applyBatch(batch);
            this->confirmedAt = std::max(this->confirmedAt, sentAt);
            this->hooks.confirm(sentAt);
            this->refreshedUntil = sentAt;
            this->isRefreshAnswered = true;
        }
    } catch (const PlatformError& error) {
        this->era.observe(error.era(), {});
        LogLine line { LogEvent::RefreshFailed };
        line.add("kind", kObjectKindNames[this->kind]).add("took_ms", this->clock.now() - sentAt);
        this->log.write(line.add("error", error.what()));
        this->nextRefreshAt = this->clock.now() + kRefreshRetryDelay;
        if (error.fault() == PlatformFault::HistoryGone) {
            this->isListRequired = true;
            this->listReason = PlatformCallReason::HistoryLost;
            this->isRefreshAnswered = true;
            this->watchEnded.notifyAll();
        }
    }
    this->isRefreshing = false;
    this->refreshEnded.notifyAll();
}

Task<void> StoreFeed::completeWatch(std::uint64_t after, Duration length, std::shared_ptr<PendingWatch> pending)
{
    const auto calledAt = this->clock.now();
    const auto reason = this->callReason();
    try {
        this->logCall(PlatformOperation::WatchKind, reason);
        auto batch = co_await this->client.watchKind(this->kind, after, length, reason);
        this->logAnswer(reason, batch, calledAt);
        this->era.observe(batch.era, {});
        pending->batch = std::move(batch);
    } catch (const PlatformError& error) {
        this->era.observe(error.era(), {});
        this->logFailure(reason, error, calledAt);
        pending->failure = std::current_exception();
    } catch (...) {
        pending->failure = std::current_exception();
    }
    this->watchEnded.notifyAll();
}

Task<std::optional<WatchBatch>> StoreFeed::watchUntilRestored(Duration length)
{
    const auto pending = std::make_shared<PendingWatch>();
    spawn(this->clock.executor(), "store watch", this->completeWatch(this->revision, length, pending));
    // A store that was restored need not answer the watches from before, which wait for up to several seconds.
    while (!this->isListRequired && !pending->batch && !pending->failure)
        co_await this->watchEnded.waitUntil(TimePoint::max());
    // Whatever the abandoned watch returns says nothing of the restored store.
    if (this->isListRequired)
        co_return std::nullopt;
    if (pending->failure)
        std::rethrow_exception(pending->failure);
    if (pending->batch->era != this->listEra)
        throw PlatformError { PlatformFault::HistoryGone, "the store answered in another era" };
    co_return std::move(pending->batch);
}

void StoreFeed::requireList()
{
    this->isListRequired = true;
    this->listReason = PlatformCallReason::Restore;
    // Neither the news nor the failed calls of before tell anything about the restored store.
    this->newsValidUntil = {};
    this->watcherConfirmedAt = {};
    this->lastAttemptAt = {};
    this->forgetMissing();
    this->newsArrived.notifyAll();
    this->watchEnded.notifyAll();
}

void StoreFeed::forgetMissing()
{
    this->missingSince.reset();
    this->missingUntil = 0;
}

void StoreFeed::applyWhole(const VersionedObject& change, std::uint64_t through)
{
    auto document = textOf(change.value);
    if (this->timing.hasLargeDocuments) {
        wire::StoreChange recorded;
        recorded.set_name(change.name);
        recorded.set_revision(through);
        recorded.set_version(change.version);
        recorded.set_value(document);
        this->history.recordChange(recorded, this->fingerprint);
    }
    this->applyChange(change, through, std::move(document));
}

bool StoreFeed::canPostponeCall() const
{
    if (!this->hasList)
        return false;
    const auto now = this->clock.now();
    const bool isWatched = this->hooks.isWatchedByPeer();
    if (isWatched && this->missingSince && !this->isListRequired)
        return this->isRefreshing || now < *this->missingSince + this->timing.fetchDelay + this->hooks.fetchTurn();
    if (this->failures > 0)
        return !this->isRefreshAnswered && this->hooks.isProbedByPeer(this->lastAttemptAt);
    if (this->isListRequired)
        return false;
    return this->hooks.isWatcherAwaited() || (isWatched && now < this->newsValidUntil);
}

Duration StoreFeed::nextRetryDelay()
{
    const auto longest = std::min(kMaxRetryDelay, kMinRetryDelay * (1U << std::min(this->failures, 4U)));
    std::uniform_int_distribution<Duration::rep> jitter { longest.count() / 2, longest.count() };
    return Duration { jitter(this->random) };
}

void StoreFeed::logPosition(LogLine line)
{
    line.add("revision", static_cast<std::int64_t>(this->revision));
    this->log.write(line.add("era", static_cast<std::int64_t>(this->listEra)));
}

void StoreFeed::recordSuccess()
{
    if (this->failures == 0)
        return;
    LogLine line { LogEvent::DependencyRegained };
    line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
    this->log.write(line.add("failures", std::int64_t { this->failures }));
    this->failures = 0;
    this->outageEndedAt = this->clock.now();
}

void StoreFeed::recordFailure(const PlatformError& error)
{
    if (this->failures == 0) {
        this->lostAt = this->clock.now();
        LogLine line { LogEvent::DependencyLost };
        line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
        this->logPosition(std::move(line.add("error", error.what())));
    }
    ++this->failures;
    this->hooks.reportFailure();
}

Task<void> StoreFeed::run()
{
    while (true) {
        if (this->canPostponeCall()) {
            co_await this->newsArrived.waitUntil(this->clock.now() + kNewsCheckInterval);
            // Once this feed calls the store again, relayed confirmations are old and peers may need a new one at once.
            this->isConfirmationRequired = true;
            continue;
        }
        std::optional<Duration> retryDelay;
        this->lastAttemptAt = this->clock.now();
        this->isRefreshAnswered = false;
        try {
            bool isAnswered = true;
            if (this->isListRequired)
                co_await this->listObjects();
            else
                isAnswered = co_await this->watchChanges();
            if (isAnswered)
                this->recordSuccess();
        } catch (const PlatformError& error) {
            this->era.observe(error.era(), {});
            if (error.fault() == PlatformFault::HistoryGone) {
                this->recordSuccess();
                LogLine line { LogEvent::HistoryLost };
                line.add("kind", kObjectKindNames[this->kind]);
                this->logPosition(std::move(line));
                this->isListRequired = true;
                this->listReason = PlatformCallReason::HistoryLost;
                continue;
            }
            this->recordFailure(error);
            retryDelay = this->nextRetryDelay();
        } catch (const std::exception& error) {
            LogLine line { LogEvent::ObjectRejected };
            this->log.write(line.add("kind", kObjectKindNames[this->kind]).add("error", error.what()));
            // Some of the objects may not have been applied.
            this->isListRequired = true;
            this->listReason = PlatformCallReason::ListRejected;
            retryDelay = kMaxRetryDelay;
        }
        if (retryDelay)
            co_await this->clock.sleepFor(*retryDelay);
    }
}

} // namespace berylwing
