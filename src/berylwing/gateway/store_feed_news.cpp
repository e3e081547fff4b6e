#include "berylwing/gateway/store_feed.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Time for which digests repeat a change, each at least once; hosts that missed more ask. */
constexpr Duration kNewsRepeatTtl { 500 };
/** Number of intervals for which the news of a sender with longer ones remain valid. */
constexpr int kMissedIntervals = 3;
/** Time for which news report an outage; longer than the grace period of entries that expired during it. */
constexpr Duration kOutageTtl { 4000 };

} // namespace

wire::StoreNews StoreFeed::makeNewsHeader() const
{
    const auto now = this->clock.now();
    wire::StoreNews news;
    news.set_kind(static_cast<std::uint32_t>(this->kind));
    news.set_era(this->listEra);
    news.set_after(this->recentChangesAfter);
    news.set_through(this->revision);
    news.set_fingerprint(this->fingerprint);
    news.set_confirmed_age_ms(static_cast<std::uint64_t>((now - this->confirmedAt).count()));
    if (this->outageEndedAt && now < *this->outageEndedAt + kOutageTtl)
        news.set_outage_ended_age_ms(static_cast<std::uint64_t>((now - *this->outageEndedAt).count()));
    return news;
}

void StoreFeed::addChange(wire::StoreNews& news, const RecentChange& recent)
{
    auto& change = *news.add_changes();
    change.set_name(recent.name);
    change.set_revision(recent.through);
    change.set_version(recent.version);
    change.set_value(recent.document);
}

wire::StoreNews StoreFeed::makeRecentNews()
{
    this->pruneRecentChanges();
    auto news = this->makeNewsHeader();
    const auto oldest = this->clock.now() - kNewsRepeatTtl;
    std::size_t bytes = 0;
    for (auto& recent : this->recentChanges) {
        const bool isRepeated = std::exchange(recent.isSent, true);
        bytes += recent.document.size();
        if ((isRepeated && recent.at < oldest) || bytes > kMaxNewsDocumentBytes) {
            // Hosts that are behind have to request this document and all changes before it.
            news.clear_changes();
            news.set_after(recent.through);
            bytes = 0;
            continue;
        }
        addChange(news, recent);
    }
    this->history.appendRecent(news);
    return news;
}

std::optional<std::uint64_t> StoreFeed::missingAfter() const
{
    if (!this->missingSince || this->isListRequired)
        return std::nullopt;
    return this->revision;
}

wire::NewsRequest StoreFeed::makeRequest() const
{
    wire::NewsRequest request;
    request.set_kind(static_cast<std::uint32_t>(this->kind));
    request.set_after(this->revision);
    request.set_era(this->listEra);
    request.set_fingerprint(this->fingerprint);
    return request;
}

std::optional<wire::StoreNews> StoreFeed::makeNewsAfter(
    std::uint64_t newsEra, std::uint64_t after, std::uint64_t knownFingerprint)
{
    this->pruneRecentChanges();
    if (!this->isCurrent() || newsEra != this->listEra)
        return std::nullopt;
    auto news = this->makeNewsHeader();
    if (this->history.appendFrom(news, knownFingerprint))
        after = news.patches().rbegin()->revision();
    else if (after < this->recentChangesAfter)
        return std::nullopt;
    news.set_after(after);
    for (const auto& recent : this->recentChanges) {
        if (recent.through > after)
            addChange(news, recent);
    }
    return news;
}

void StoreFeed::applyChanges(const wire::StoreNews& news)
{
    for (const auto& change : news.changes()) {
        if (change.revision() <= this->revision)
            continue;
        nlohmann::json value;
        if (!change.value().empty())
            value = this->hooks.readDocument(this->kind, change.name(), change.value());
        const auto version = change.version() == 0 ? change.revision() : change.version();
        this->applyWhole({ this->kind, change.name(), version, std::move(value) }, change.revision());
    }
}

bool StoreFeed::applyPatches(const wire::StoreNews& news)
{
    const auto patched = this->history.apply(news, this->fingerprint);
    if (!patched)
        return false;
    for (const auto& document : *patched) {
        auto value = this->hooks.readDocument(this->kind, document.name, document.text);
        this->applyChange(
            { this->kind, document.name, document.version, std::move(value) }, document.through, document.text);
    }
    return true;
}

void StoreFeed::receiveNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt, Duration interval)
{
    // Changes can be applied only to a list of the same era.
    if (!this->isCurrent() || news.era() != this->listEra)
        return;
    const auto now = this->clock.now();
    this->newsValidUntil = now + std::max(this->hooks.newsTtl(), kMissedIntervals * interval);
    if (news.has_outage_ended_age_ms())
        this->hooks.reportOutageEnd(now - Duration { static_cast<Duration::rep>(news.outage_ended_age_ms()) });
    std::optional<TimePoint> confirmed;
    if (sentAt) {
        confirmed = *sentAt - Duration { static_cast<Duration::rep>(news.confirmed_age_ms()) };
        this->watcherConfirmedAt = std::max(this->watcherConfirmedAt, *confirmed);
    }
    // Lists of the same objects can have different revisions, because other kinds have changed in between.
    const bool hasSameObjects = news.fingerprint() == this->fingerprint;
    if (this->revision < news.after() && !hasSameObjects && !this->applyPatches(news)) {
        if (!this->missingSince)
            this->missingSince = now;
        this->missingUntil = std::max(this->missingUntil, news.after());
        this->newsArrived.notifyAll();
        return;
    }
    this->applyChanges(news);
    this->revision = std::max(this->revision, news.through());
    // A late reply, or another watcher, may tell less than what is missing.
    if (this->revision >= this->missingUntil)
        this->forgetMissing();
    if (!confirmed)
        return;
    this->confirmedAt = std::max(this->confirmedAt, *confirmed);
    this->hooks.confirm(*confirmed);
}

} // namespace berylwing
