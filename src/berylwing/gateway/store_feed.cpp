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
/** Time for which each message repeats a change, so that one of them may be lost; whoever has missed more asks. */
constexpr Duration kNewsRepeat { 500 };
/** Largest document that is passed on in messages between hosts; larger ones are fetched from the store. */
constexpr std::size_t kMostNewsBytes = 1000;
/** Changes in one message, which has to fit into a datagram. */
constexpr int kMostNewsChanges = 40;
/** Time for which changes can be asked for; a host that has missed more fetches them from the store. */
constexpr Duration kChangesKept { 10'000 };
/** Changes that are kept at the most. */
constexpr std::size_t kMostChangesKept = 100;
/** Bytes of documents in the answer to a request for news; with its frame it has to fit into a datagram. */
constexpr std::size_t kMostAnswerBytes = 56 * 1024;
/** Time after which news have to be confirmed by others; a few messages may be lost in it. */
constexpr Duration kNewsLife { 1200 };
/** Time between two looks at whether the news are still fresh. */
constexpr Duration kRestCheck { 100 };
/** Time for which other hosts are told of an outage, longer than entries that lapsed in it are waited for. */
constexpr Duration kOutageTold { 4000 };

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
    , newsArrived { hostClock }
{
}

void StoreFeed::apply(const VersionedObject& change, std::uint64_t through)
{
    this->hooks.change(change);
    // Whoever has missed an earlier change of the object is helped by the last one alone.
    std::erase_if(this->recentChanges, [&change](const RecentChange& recent) { return recent.name == change.name; });
    auto document = change.value.is_null() ? std::string {} : change.value.dump();
    this->recentChanges.push_back({ change.name, std::move(document), through, this->clock.now() });
}

void StoreFeed::dropOldChanges()
{
    const auto oldest = this->clock.now() - kChangesKept;
    while (!this->recentChanges.empty()
        && (this->recentChanges.front().at < oldest || this->recentChanges.size() > kMostChangesKept)) {
        this->recentAfter = std::max(this->recentAfter, this->recentChanges.front().through);
        this->recentChanges.pop_front();
    }
}

Task<void> StoreFeed::list()
{
    const auto sentAt = this->clock.now();
    const auto all = co_await this->client.listAll(this->kind, false);
    this->revision = all.through;
    this->recentChanges.clear();
    this->recentAfter = this->revision;
    this->mustList = false;
    this->hasList = true;
    this->missesSince.reset();
    this->hooks.replaceAll(all.changes);
    this->confirmedAt = std::max(this->confirmedAt, sentAt);
    this->hooks.confirm(sentAt);
}

Task<void> StoreFeed::watch()
{
    const auto sentAt = this->clock.now();
    const bool isShort = this->failures > 0 || this->mustConfirm || this->missesSince;
    const auto length = isShort ? kProbeWait : this->pace.wait;
    const auto batch = co_await this->client.watchKind(this->kind, this->revision, length);
    for (const auto& change : batch.changes)
        this->apply(change, batch.through);
    this->revision = std::max(this->revision, batch.through);
    this->missesSince.reset();
    const bool hasChanges = !batch.changes.empty();
    // A watch without a change was answered at the end of its wait, not before.
    const auto when = hasChanges ? sentAt : std::min(sentAt + length, this->clock.now());
    this->confirmedAt = std::max(this->confirmedAt, when);
    this->hooks.confirm(when);
    // An answer with changes may have been given long ago, so the next call asks again at once.
    this->mustConfirm = hasChanges && this->pace.confirmsChanges;
    if (hasChanges && this->pace.pauseAfterChange > Duration {})
        co_await this->clock.sleepFor(this->pace.pauseAfterChange);
}

wire::StoreNews StoreFeed::makeNews() const
{
    const auto now = this->clock.now();
    wire::StoreNews news;
    news.set_kind(static_cast<std::uint32_t>(this->kind));
    news.set_after(this->recentAfter);
    news.set_through(this->revision);
    news.set_confirmed_age_ms(static_cast<std::uint64_t>((now - this->confirmedAt).count()));
    if (this->outageEndedAt && now < *this->outageEndedAt + kOutageTold)
        news.set_outage_ended_age_ms(static_cast<std::uint64_t>((now - *this->outageEndedAt).count()));
    return news;
}

void StoreFeed::addChange(wire::StoreNews& news, const RecentChange& recent)
{
    auto& change = *news.add_changes();
    change.set_name(recent.name);
    change.set_revision(recent.through);
    change.set_value(recent.document);
}

wire::StoreNews StoreFeed::describeNews()
{
    this->dropOldChanges();
    auto news = this->makeNews();
    const auto oldest = this->clock.now() - kNewsRepeat;
    for (const auto& recent : this->recentChanges) {
        const bool isTooLarge = recent.document.size() > kMostNewsBytes || news.changes_size() == kMostNewsChanges;
        if (recent.at < oldest || isTooLarge) {
            // Whoever is behind has to ask for the document, and with it for all that came before.
            news.clear_changes();
            news.set_after(recent.through);
            continue;
        }
        addChange(news, recent);
    }
    return news;
}

std::optional<std::uint64_t> StoreFeed::missesAfter() const
{
    if (!this->missesSince || this->mustList)
        return std::nullopt;
    return this->revision;
}

std::optional<wire::StoreNews> StoreFeed::newsAfter(std::uint64_t after)
{
    this->dropOldChanges();
    if (after < this->recentAfter)
        return std::nullopt;
    auto news = this->makeNews();
    news.set_after(after);
    std::size_t bytes = 0;
    for (const auto& recent : this->recentChanges) {
        if (recent.through <= after)
            continue;
        bytes += recent.document.size();
        if (bytes > kMostAnswerBytes)
            return std::nullopt;
        addChange(news, recent);
    }
    return news;
}

bool StoreFeed::applyNews(const wire::StoreNews& news)
{
    for (const auto& change : news.changes()) {
        if (change.revision() <= this->revision)
            continue;
        nlohmann::json value;
        if (!change.value().empty())
            value = nlohmann::json::parse(change.value(), nullptr, false);
        if (value.is_discarded())
            return false;
        this->apply({ this->kind, change.name(), change.revision(), std::move(value) }, change.revision());
    }
    return true;
}

void StoreFeed::takeNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt)
{
    // A feed that has no list yet, or has to list again, does not know what the changes are changes of.
    if (!this->hasList || this->mustList)
        return;
    const auto now = this->clock.now();
    this->newsAt = now;
    if (news.has_outage_ended_age_ms())
        this->hooks.noteOutage(now - Duration { static_cast<Duration::rep>(news.outage_ended_age_ms()) });
    std::optional<TimePoint> confirmed;
    if (sentAt) {
        confirmed = *sentAt - Duration { static_cast<Duration::rep>(news.confirmed_age_ms()) };
        this->watcherConfirmedAt = std::max(this->watcherConfirmedAt, *confirmed);
    }
    if (this->revision < news.after() || !this->applyNews(news)) {
        if (!this->missesSince)
            this->missesSince = now;
        this->newsArrived.notifyAll();
        return;
    }
    this->revision = std::max(this->revision, news.through());
    this->missesSince.reset();
    if (!confirmed)
        return;
    this->confirmedAt = std::max(this->confirmedAt, *confirmed);
    this->hooks.confirm(*confirmed);
}

bool StoreFeed::mayRest() const
{
    if (!this->hasList)
        return false;
    const auto now = this->clock.now();
    const bool isWatched = this->hooks.isWatchedElsewhere();
    if (isWatched && this->missesSince && !this->mustList)
        return now < *this->missesSince + this->pace.pauseBeforeFetch;
    if (this->failures > 0)
        return this->hooks.isProbedElsewhere(this->triedAt);
    return isWatched && !this->mustList && now < this->newsAt + kNewsLife;
}

Duration StoreFeed::nextPause()
{
    const auto longest = std::min(kLongestPause, kFirstPause * (1U << std::min(this->failures, 4U)));
    std::uniform_int_distribution<Duration::rep> spread { longest.count() / 2, longest.count() };
    return Duration { spread(this->random) };
}

void StoreFeed::noteSuccess()
{
    if (this->failures == 0)
        return;
    LogLine line { LogEvent::DependencyRegained };
    line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
    this->log.write(line.add("failures", std::int64_t { this->failures }));
    this->failures = 0;
    this->outageEndedAt = this->clock.now();
}

void StoreFeed::noteFailure(const PlatformError& error)
{
    if (this->failures == 0) {
        LogLine line { LogEvent::DependencyLost };
        line.add("dependency", "store").add("kind", kObjectKindNames[this->kind]);
        this->log.write(line.add("revision", static_cast<std::int64_t>(this->revision)).add("error", error.what()));
    }
    ++this->failures;
    this->hooks.lose();
}

Task<void> StoreFeed::run()
{
    while (true) {
        if (this->mayRest()) {
            co_await this->newsArrived.waitUntil(this->clock.now() + kRestCheck);
            // What others told is old by now, and hosts that rely on this one wait for its first confirmation.
            this->mustConfirm = true;
            continue;
        }
        bool hasFailed = false;
        this->triedAt = this->clock.now();
        try {
            if (this->mustList)
                co_await this->list();
            else
                co_await this->watch();
            this->noteSuccess();
        } catch (const PlatformError& error) {
            if (error.fault() == PlatformFault::HistoryGone) {
                this->noteSuccess();
                LogLine line { LogEvent::HistoryLost };
                line.add("kind", kObjectKindNames[this->kind]);
                this->log.write(line.add("revision", static_cast<std::int64_t>(this->revision)));
                this->mustList = true;
                continue;
            }
            hasFailed = true;
            this->noteFailure(error);
        }
        if (hasFailed)
            co_await this->clock.sleepFor(this->nextPause());
    }
}

} // namespace berylwing
