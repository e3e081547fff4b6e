#include "berylwing/gateway/fleet_exchange.hpp"

#include "berylwing/gateway/compression.hpp"
#include "berylwing/gateway/gateway_rollouts.hpp"
#include "berylwing/gateway/version_exchange.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <limits>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Shortest interval between digests; even a busy host sends only one or two requests to an endpoint in it. */
constexpr Duration kDigestInterval { 200 };
/** Longest interval between the news of a watcher, whose digests can be rarer because of their size. */
constexpr Duration kNewsInterval { 400 };
/** Shortest interval between summaries for other groups, whose loads matter less than those of the own group. */
constexpr Duration kSummaryInterval { 400 };
/** Maximum bytes per millisecond that a host sends in digests: the control traffic allowed at the target fleet size. */
constexpr Duration::rep kMaxHostBytesPerMs = 12;
/** The same for a delegate, of which a group has two: a tenth of the slowest network link of the users' hosts. */
constexpr Duration::rep kMaxDelegateBytesPerMs = 125;
/** Part of it that summaries may take. */
constexpr Duration::rep kMaxSummaryBytesPerMs = 42;
/** Time after a request for missing news in which its reply can still arrive. */
constexpr Duration kRequestRepeatInterval { 150 };
/** Maximum bytes per millisecond that a watcher sends in replies: four tenths of the slowest link. */
constexpr Duration::rep kMaxReplyBytesPerMs = 500;
/** Time that the replies to requests that arrive together may take; hosts without a reply ask again. */
constexpr Duration kMaxReplyBacklog { 400 };
/** Maximum bytes of a message, which has to fit into a datagram. */
constexpr std::size_t kMaxDatagramBytes = 60 * 1024;
/** Bytes that are sent at once; more are spread over time, since a full link drops datagrams. */
constexpr std::size_t kMaxBurstBytes = 32 * 1024;
/** Maximum bytes per millisecond of digests beyond that. */
constexpr Duration::rep kMaxBurstBytesPerMs = 500;
/** Bytes of the Ethernet, IP and UDP headers of a datagram. */
constexpr std::size_t kDatagramOverhead = 42;
/** Time without a summary after which a host no longer counts as a delegate of its group. */
constexpr Duration kSummarySenderTimeout { 3000 };
/** Longest interval between news for which a host waits instead of calling the store. */
constexpr std::uint64_t kMaxNewsIntervalMs = 1000;
/** Time in which a host that has introduced itself writes its entry and the others read it. */
constexpr Duration kIntroductionTimeout { 5000 };

/** Adds a request for the changes that a feed has missed, if there are any. */
void addRequest(const StoreFeed& feed, google::protobuf::RepeatedPtrField<wire::NewsRequest>& requests)
{
    if (feed.missingAfter())
        *requests.Add() = feed.makeRequest();
}

Duration sendTime(std::size_t bytes, Duration::rep bytesPerMs)
{
    return Duration { static_cast<Duration::rep>(bytes) / bytesPerMs };
}

} // namespace

FleetExchange::FleetExchange(FleetExchangeDependencies exchangeDependencies)
    : dependencies { std::move(exchangeDependencies) }
    , usesForOtherGroups { this->dependencies.clock }
    , usesForOwnGroup { this->dependencies.clock }
    , loggedInterval { kDigestInterval }
    , summaryInterval { kSummaryInterval }
{
}

Task<void> FleetExchange::run()
{
    while (true) {
        const bool isStoreReachable = std::all_of(this->dependencies.feeds.begin(), this->dependencies.feeds.end(),
            [](const StoreFeed* feed) { return feed->isStoreReachable(); });
        this->dependencies.fleet.setStoreReachable(isStoreReachable);
        auto digest = this->makeDigest();
        const bool isDelegate = digest.is_delegate();
        this->logRoleChange(digest);
        digest.set_interval_ms(static_cast<std::uint64_t>(this->digestInterval.count()));
        const auto startedAt = this->dependencies.clock.now();
        const auto sent = co_await this->sendDigest(std::move(digest));
        this->dependencies.metrics.addControlBytes(sent);
        const auto rate = isDelegate ? kMaxDelegateBytesPerMs - this->summaryBytesPerMs : kMaxHostBytesPerMs;
        this->digestInterval = std::max(kDigestInterval, sendTime(sent, rate));
        this->logIntervalChange(sent);
        co_await this->sendNewsUntil(startedAt + this->digestInterval);
    }
}

Task<void> FleetExchange::sendNewsUntil(TimePoint nextDigestAt)
{
    const auto& clock = this->dependencies.clock;
    while (clock.now() < nextDigestAt) {
        co_await this->dependencies.clock.sleepFor(std::min(nextDigestAt - clock.now(), kNewsInterval));
        // A host may have become the watcher since its last digest.
        if (clock.now() >= nextDigestAt || !this->dependencies.fleet.isWatcher())
            continue;
        auto update = this->dependencies.fleet.makeNewsUpdate();
        update.set_interval_ms(static_cast<std::uint64_t>(kNewsInterval.count()));
        this->appendNews(update);
        for (const auto& peer : this->dependencies.roster.groupMembers()) {
            *update.mutable_echo() = this->dependencies.fleet.makeEcho(peer.name);
            wire::FleetMessage message;
            *message.mutable_news_update() = update;
            this->send(peer, message);
        }
    }
}

void FleetExchange::logIntervalChange(std::size_t sent)
{
    const auto logged = this->loggedInterval;
    if (this->digestInterval < 2 * logged && 2 * this->digestInterval > logged)
        return;
    LogLine line { LogEvent::DigestIntervalChanged };
    line.add("interval_ms", this->digestInterval).add("bytes", static_cast<std::int64_t>(sent));
    this->dependencies.log.write(line);
    this->loggedInterval = this->digestInterval;
}

Task<void> FleetExchange::runSummaries()
{
    while (true) {
        // A host that starts takes itself for a delegate until it has heard the others of its group.
        co_await this->dependencies.clock.sleepFor(this->summaryInterval);
        const auto sent = this->dependencies.fleet.isDelegate() ? this->sendSummaries() : 0;
        this->dependencies.metrics.addControlBytes(sent);
        this->summaryInterval = std::max(kSummaryInterval, sendTime(sent, kMaxSummaryBytesPerMs));
        this->summaryBytesPerMs = static_cast<Duration::rep>(sent) / this->summaryInterval.count();
    }
}

void FleetExchange::logRoleChange(const wire::Digest& digest)
{
    const bool wasDelegate = std::exchange(this->isDelegate, digest.is_delegate());
    const bool wasWatcher = std::exchange(this->isWatcher, digest.is_watcher());
    if (wasDelegate == this->isDelegate && wasWatcher == this->isWatcher)
        return;
    LogLine line { LogEvent::RolesChanged };
    line.add("delegate", std::int64_t { this->isDelegate }).add("watcher", std::int64_t { this->isWatcher });
    this->dependencies.log.write(line);
}

wire::Digest FleetExchange::makeDigest()
{
    auto digest = this->dependencies.fleet.makeDigest();
    this->dependencies.holders.appendTo(*digest.mutable_uses());
    const auto scope = digest.is_delegate() ? CrashQuarantine::Scope::All : CrashQuarantine::Scope::Own;
    if (!this->dependencies.crashes.isEmpty())
        this->dependencies.crashes.appendTo(*digest.mutable_crash_report(), scope);
    this->dependencies.rateLimits.appendTo(*digest.mutable_limit_report(), digest.is_delegate());
    this->dependencies.announcedStops.appendTo(*digest.mutable_stop_report(), digest.is_delegate());
    this->dependencies.demand.appendTo(digest);
    if (this->dependencies.brittleEndpoints != nullptr)
        this->dependencies.brittleEndpoints->appendTo(digest);
    if (this->dependencies.reach != nullptr) {
        for (const auto& service : this->dependencies.reach->lostServices())
            digest.add_lost_services(RelayHosts::hashService(service));
    }
    if (digest.is_delegate())
        this->usesForOwnGroup.appendTo(*digest.mutable_uses());
    if (this->dependencies.rollouts != nullptr)
        this->dependencies.rollouts->appendTo(digest);
    this->appendNews(digest);
    for (const auto* feed : this->dependencies.feeds) {
        if (this->dependencies.clock.now() >= this->newsRequestedAt + kRequestRepeatInterval)
            addRequest(*feed, *digest.mutable_requests());
    }
    return digest;
}

void FleetExchange::appendNews(wire::Digest& digest)
{
    digest.set_store_era(this->dependencies.storeEra.current());
    digest.set_plan_version(this->dependencies.planVersion());
    for (auto* feed : this->dependencies.feeds) {
        if (digest.is_watcher() && feed->isCurrent())
            *digest.add_news() = feed->makeRecentNews();
    }
}

void FleetExchange::requestMissingNews(const HostEntry& watcher)
{
    wire::FleetMessage message;
    for (const auto* feed : this->dependencies.feeds)
        addRequest(*feed, *message.mutable_requests());
    if (message.requests_size() == 0)
        return;
    this->newsRequestedAt = this->dependencies.clock.now();
    this->dependencies.metrics.addControlBytes(this->send(watcher, message.SerializeAsString()));
}

Task<std::size_t> FleetExchange::sendDigest(wire::Digest digest)
{
    wire::FleetMessage message;
    *message.mutable_digest() = std::move(digest);
    const auto common = message.SerializeAsString();
    // All echoes are as old as the digest, by which the recipients compute the age of what it tells.
    std::vector<std::pair<HostEntry, std::string>> messages;
    for (auto& peer : this->dependencies.roster.groupMembers()) {
        // Protobuf merges concatenated messages, so only the echo has to be serialized for each peer.
        wire::FleetMessage own;
        *own.mutable_digest()->mutable_echo() = this->dependencies.fleet.makeEcho(peer.name);
        if (this->dependencies.isJoining() && !this->dependencies.fleet.isKnownTo(peer.name)) {
            own.mutable_digest()->set_domain(this->dependencies.domain);
            own.mutable_digest()->set_port(this->dependencies.port);
        }
        messages.emplace_back(std::move(peer), common + own.SerializeAsString());
    }
    std::size_t sent = 0;
    std::size_t burst = 0;
    for (const auto& [peer, bytes] : messages) {
        if (burst + bytes.size() > kMaxBurstBytes) {
            co_await this->dependencies.clock.sleepFor(sendTime(burst, kMaxBurstBytesPerMs));
            burst = 0;
        }
        const auto size = this->send(peer, bytes);
        sent += size;
        burst += size;
    }
    co_return sent;
}

std::size_t FleetExchange::send(const HostEntry& host, const std::string& bytes) const
{
    this->dependencies.send(host.address, bytes);
    return bytes.size() + kDatagramOverhead;
}

void FleetExchange::send(const HostEntry& host, const wire::FleetMessage& message)
{
    this->dependencies.metrics.addControlBytes(this->send(host, message.SerializeAsString()));
}

std::vector<HostEntry> FleetExchange::findDelegates(const std::vector<HostEntry>& members) const
{
    const auto oldest = this->dependencies.clock.now() - kSummarySenderTimeout;
    std::vector<HostEntry> delegates;
    for (const auto& member : members) {
        const auto found = this->summarySenders.find(member.name);
        const bool isKnown = found != this->summarySenders.end() && found->second > oldest;
        if (isKnown || delegates.size() < kDelegateCount)
            delegates.push_back(member);
    }
    return delegates;
}

std::size_t FleetExchange::sendSummaries()
{
    const auto groups = this->dependencies.roster.otherGroups();
    if (groups.empty())
        return 0;
    wire::FleetMessage message;
    auto& summary = *message.mutable_summary();
    summary.set_group(this->dependencies.roster.ownGroup());
    summary.set_domain(this->dependencies.domain);
    summary.set_interval_ms(static_cast<std::uint64_t>(this->summaryInterval.count()));
    summary.set_host(this->dependencies.host);
    *summary.mutable_loads() = this->dependencies.fleet.makeGroupLoads();
    summary.set_loads_age_ms(static_cast<std::uint64_t>(this->dependencies.fleet.groupLoadAge().count()));
    summary.set_plan_version(this->dependencies.planVersion());
    this->usesForOtherGroups.appendTo(*summary.mutable_uses());
    this->dependencies.holders.appendTo(*summary.mutable_uses());
    if (!this->dependencies.crashes.isEmpty())
        this->dependencies.crashes.appendTo(*summary.mutable_crash_report(), CrashQuarantine::Scope::All);
    this->dependencies.rateLimits.appendTo(*summary.mutable_limit_report(), true);
    this->dependencies.announcedStops.appendTo(*summary.mutable_stop_report(), true);
    this->dependencies.demand.appendTo(summary);
    if (this->dependencies.rollouts != nullptr)
        this->dependencies.rollouts->appendTo(summary);
    const auto bytes = message.SerializeAsString();
    std::vector<std::vector<HostEntry>> recipients;
    std::size_t recipientCount = 0;
    for (const auto& [group, members] : groups) {
        recipients.push_back(this->findDelegates(members));
        recipientCount += recipients.back().size();
    }
    // If there are too many groups, each summary goes to one delegate of a group. The delegates of this group take
    // turns, so that each of the others hears one of them.
    const bool isTurned = sendTime(recipientCount * bytes.size(), kMaxSummaryBytesPerMs) > kSummaryInterval;
    const std::size_t turn = this->summaryTurn++ + (this->isWatcher ? 0 : 1);
    std::size_t sent = 0;
    for (const auto& delegates : recipients) {
        if (isTurned) {
            sent += this->send(delegates.at(turn % delegates.size()), bytes);
            continue;
        }
        for (const auto& delegate : delegates)
            sent += this->send(delegate, bytes);
    }
    return sent;
}

void FleetExchange::introduceSender(const std::string& address, const wire::Digest& digest)
{
    constexpr std::uint32_t kMaxPort = std::numeric_limits<std::uint16_t>::max();
    if (digest.domain().empty() || digest.port() == 0 || digest.port() > kMaxPort)
        return;
    const SocketAddress source { address, static_cast<std::uint16_t>(digest.port()) };
    this->dependencies.roster.introduce(
        { digest.host(), digest.domain(), source }, this->dependencies.clock.now() + kIntroductionTimeout);
}

void FleetExchange::receive(const std::string& address, std::string_view bytes)
{
    wire::FleetMessage message;
    const bool isReadable = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
    if (isReadable && message.has_digest())
        this->introduceSender(address, message.digest());
    const auto* known = this->dependencies.roster.findByAddress(address);
    if (known == nullptr || !isReadable) {
        spdlog::debug(
            "ignored a message of {} bytes from {}: unknown sender or invalid encoding", bytes.size(), address);
        return;
    }
    // News can change the roster.
    const auto sender = *known;
    if (message.has_digest() && message.digest().host() == sender.name) {
        this->handleNewsRequests(sender, message.digest().requests());
        const bool hasNews = message.digest().news_size() > 0;
        const auto plan = message.digest().plan_version();
        this->handleDigest(std::move(*message.mutable_digest()));
        if (hasNews)
            this->requestMissingNews(sender);
        this->requestNewerPlan(sender, plan);
    }
    if (message.has_news_update() && message.news_update().host() == sender.name) {
        this->handleNewsUpdate(message.news_update());
        this->requestMissingNews(sender);
        this->requestNewerPlan(sender, message.news_update().plan_version());
    }
    this->handleNewsRequests(sender, message.requests());
    if (!message.compressed_news().empty())
        this->handleReply(message.compressed_news());
    if (message.has_summary() && message.summary().host() == sender.name) {
        this->handleSummary(message.summary());
        this->requestNewerPlan(sender, message.summary().plan_version());
    }
    this->dependencies.streams.receive(sender, message);
    if (this->dependencies.versions != nullptr)
        this->dependencies.versions->receive(sender, message);
    if (this->dependencies.rollouts != nullptr)
        this->dependencies.rollouts->receive(message);
}

void FleetExchange::handleDigest(wire::Digest digest)
{
    const auto uses = this->dependencies.holders.merge(digest.uses());
    this->dependencies.crashes.merge(digest.crash_report(), digest.host());
    this->dependencies.rateLimits.merge(digest.limit_report(), digest.host());
    this->dependencies.announcedStops.merge(digest.stop_report(), digest.host());
    this->dependencies.demand.apply(digest);
    if (this->dependencies.brittleEndpoints != nullptr)
        this->dependencies.brittleEndpoints->merge(digest);
    if (this->dependencies.relayHosts != nullptr)
        this->dependencies.relayHosts->recordDigest(digest.host(), digest.lost_services());
    if (this->dependencies.rollouts != nullptr)
        this->dependencies.rollouts->merge(digest);
    if (this->isDelegate && !digest.is_delegate())
        this->usesForOtherGroups.push(uses);
    this->receiveNews(digest);
    const auto isNew = this->dependencies.fleet.applyDigest(std::move(digest));
    if (isNew && *isNew)
        this->dependencies.holders.repeatAnnouncements();
}

void FleetExchange::handleNewsUpdate(const wire::Digest& update)
{
    if (this->dependencies.fleet.applyNewsUpdate(update))
        this->receiveNews(update);
}

void FleetExchange::receiveNews(const wire::Digest& digest)
{
    const auto sentAt = this->dependencies.fleet.earliestSendTime(digest);
    this->dependencies.storeEra.observe(digest.store_era(), digest.host());
    if (!digest.reaches_store())
        return;
    const auto interval = std::min(digest.interval_ms(), kMaxNewsIntervalMs);
    for (const auto& news : digest.news())
        this->handleNews(news, sentAt, Duration { static_cast<Duration::rep>(interval) });
}

StoreFeed* FleetExchange::findFeed(std::uint32_t kind) const
{
    const auto found = std::find_if(this->dependencies.feeds.begin(), this->dependencies.feeds.end(),
        [kind](const StoreFeed* feed) { return static_cast<std::uint32_t>(feed->objectKind()) == kind; });
    return found == this->dependencies.feeds.end() ? nullptr : *found;
}

void FleetExchange::handleNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt, Duration interval)
{
    if (auto* feed = this->findFeed(news.kind()))
        feed->receiveNews(news, sentAt, interval);
}

bool FleetExchange::reserveReply(std::size_t bytes)
{
    const auto now = this->dependencies.clock.now();
    if (this->repliesDoneAt > now + kMaxReplyBacklog)
        return false;
    this->repliesDoneAt = std::max(this->repliesDoneAt, now) + sendTime(bytes, kMaxReplyBytesPerMs);
    return true;
}

void FleetExchange::requestNewerPlan(const HostEntry& sender, std::uint64_t version)
{
    const auto now = this->dependencies.clock.now();
    const auto* feed = this->findFeed(static_cast<std::uint32_t>(ObjectKind::RoutingPlan));
    if (version <= this->dependencies.planVersion() || feed == nullptr || !feed->isCurrent()
        || now < this->planRequestedAt + kRequestRepeatInterval)
        return;
    this->planRequestedAt = now;
    wire::FleetMessage message;
    *message.add_requests() = feed->makeRequest();
    this->send(sender, message);
}

void FleetExchange::handleNewsRequests(const HostEntry& sender, const NewsRequests& requests)
{
    for (const auto& request : requests) {
        auto* feed = this->findFeed(request.kind());
        const auto* bytes = feed == nullptr ? nullptr : this->findReply(*feed, request);
        if (bytes == nullptr)
            continue;
        if (this->reserveReply(bytes->size()))
            this->dependencies.metrics.addControlBytes(this->send(sender, *bytes));
        else
            this->dependencies.metrics.add(Incident::NewsReplyDeferred);
    }
}

const std::string* FleetExchange::findReply(StoreFeed& feed, const wire::NewsRequest& request)
{
    const auto news = feed.makeNewsAfter(request.era(), request.after(), request.fingerprint());
    // Only a watcher also tells that there is nothing new.
    if (!news || (!this->isWatcher && news->patches().empty() && news->changes().empty()))
        return nullptr;
    // The hosts of a group mostly request the same changes at the same time.
    auto& reply = this->replies[request.kind()];
    if (reply.era != request.era() || reply.after != request.after() || reply.fingerprint != request.fingerprint()
        || reply.through != news->through()) {
        wire::FleetMessage message;
        message.set_compressed_news(compressText(news->SerializeAsString()));
        reply = { request.era(), request.after(), request.fingerprint(), news->through(), message.SerializeAsString() };
    }
    return reply.bytes.size() <= kMaxDatagramBytes ? &reply.bytes : nullptr;
}

void FleetExchange::handleReply(const std::string& compressed)
{
    const auto text = decompressText(compressed);
    wire::StoreNews news;
    if (text && news.ParseFromString(*text))
        this->handleNews(news, std::nullopt, {});
    else
        spdlog::warn("ignored a reply with {} bytes of damaged news", compressed.size());
}

void FleetExchange::handleSummary(const wire::GroupSummary& summary)
{
    this->summarySenders.insert_or_assign(summary.host(), this->dependencies.clock.now());
    this->usesForOwnGroup.push(this->dependencies.holders.merge(summary.uses()));
    this->dependencies.crashes.merge(summary.crash_report(), summary.host());
    this->dependencies.rateLimits.merge(summary.limit_report(), summary.host());
    this->dependencies.announcedStops.merge(summary.stop_report(), summary.host());
    this->dependencies.demand.apply(summary);
    if (this->dependencies.rollouts != nullptr)
        this->dependencies.rollouts->merge(summary);
    this->dependencies.fleet.applySummary(summary);
}

} // namespace berylwing
