#include "berylwing/gateway/fleet_exchange.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Interval between digests; even a busy host sends only one or two requests to an endpoint in it. */
constexpr Duration kDigestInterval { 200 };
/** Interval between summaries for other groups, whose loads matter less than those of the own group. */
constexpr Duration kSummaryInterval { 400 };
/** Maximum bytes per millisecond that a host sends in digests: the control traffic allowed at the target fleet size. */
constexpr Duration::rep kMaxHostBytesPerMs = 12;
/** The same for a delegate, of which a group has two: a tenth of the slowest network link of the users' hosts. */
constexpr Duration::rep kMaxDelegateBytesPerMs = 125;
/** Bytes of the Ethernet, IP and UDP headers of a datagram. */
constexpr std::size_t kDatagramOverhead = 42;
/** Time without a summary after which a host no longer counts as a delegate of its group. */
constexpr Duration kSummarySenderTimeout { 3000 };

} // namespace

FleetExchange::FleetExchange(FleetExchangeDependencies exchangeDependencies)
    : dependencies { std::move(exchangeDependencies) }
    , usesForOtherGroups { this->dependencies.clock }
    , usesForOwnGroup { this->dependencies.clock }
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
        auto sent = this->sendDigest(std::move(digest));
        if (isDelegate)
            sent += this->sendSummaries();
        this->dependencies.metrics.addControlBytes(sent);
        const auto rate = isDelegate ? kMaxDelegateBytesPerMs : kMaxHostBytesPerMs;
        const Duration pause { static_cast<Duration::rep>(sent) / rate };
        co_await this->dependencies.clock.sleepFor(std::max(kDigestInterval, pause));
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
    if (digest.is_delegate())
        this->usesForOwnGroup.appendTo(*digest.mutable_uses());
    digest.set_store_era(this->dependencies.storeEra.current());
    digest.set_plan_version(this->dependencies.planVersion());
    for (auto* feed : this->dependencies.feeds) {
        if (digest.is_watcher() && feed->isCurrent())
            *digest.add_news() = feed->makeRecentNews();
        if (const auto after = feed->missingAfter()) {
            auto& request = *digest.add_requests();
            request.set_kind(static_cast<std::uint32_t>(feed->objectKind()));
            request.set_after(*after);
            request.set_era(feed->listedEra());
        }
    }
    return digest;
}

std::size_t FleetExchange::sendDigest(wire::Digest digest)
{
    wire::FleetMessage message;
    *message.mutable_digest() = std::move(digest);
    const auto common = message.SerializeAsString();
    std::size_t sent = 0;
    for (const auto& peer : this->dependencies.roster.groupMembers()) {
        // Protobuf merges concatenated messages, so only the echo has to be serialized for each peer.
        wire::FleetMessage own;
        *own.mutable_digest()->mutable_echo() = this->dependencies.fleet.makeEcho(peer.name);
        const auto bytes = common + own.SerializeAsString();
        sent += this->send(peer, bytes);
    }
    return sent;
}

std::size_t FleetExchange::send(const HostEntry& host, const std::string& bytes) const
{
    this->dependencies.send(host.address, bytes);
    return bytes.size() + kDatagramOverhead;
}

std::vector<HostEntry> FleetExchange::findDelegates(const std::string& domain) const
{
    auto hosts = this->dependencies.roster.likelyDelegates(domain);
    const auto oldest = this->dependencies.clock.now() - kSummarySenderTimeout;
    for (const auto& [name, receivedAt] : this->summarySenders) {
        const auto* entry = this->dependencies.roster.find(name);
        const bool isListed = std::any_of(
            hosts.begin(), hosts.end(), [&sender = name](const HostEntry& host) { return host.name == sender; });
        if (entry != nullptr && entry->domain == domain && receivedAt > oldest && !isListed)
            hosts.push_back(*entry);
    }
    return hosts;
}

std::size_t FleetExchange::sendSummaries()
{
    const auto groups = this->dependencies.roster.otherGroups();
    const auto now = this->dependencies.clock.now();
    if (groups.empty() || now < this->summariesSentAt + kSummaryInterval)
        return 0;
    this->summariesSentAt = now;
    wire::FleetMessage message;
    auto& summary = *message.mutable_summary();
    summary.set_domain(this->dependencies.domain);
    summary.set_host(this->dependencies.host);
    *summary.mutable_loads() = this->dependencies.fleet.makeGroupLoads();
    summary.set_loads_age_ms(static_cast<std::uint64_t>(this->dependencies.fleet.groupLoadAge().count()));
    this->usesForOtherGroups.appendTo(*summary.mutable_uses());
    this->dependencies.holders.appendTo(*summary.mutable_uses());
    if (!this->dependencies.crashes.isEmpty())
        this->dependencies.crashes.appendTo(*summary.mutable_crash_report(), CrashQuarantine::Scope::All);
    this->dependencies.rateLimits.appendTo(*summary.mutable_limit_report(), true);
    const auto bytes = message.SerializeAsString();
    std::size_t sent = 0;
    for (const auto& domain : groups) {
        for (const auto& host : this->findDelegates(domain))
            sent += this->send(host, bytes);
    }
    return sent;
}

void FleetExchange::receive(const std::string& address, std::string_view bytes)
{
    const auto* sender = this->dependencies.roster.findByAddress(address);
    wire::FleetMessage message;
    if (sender == nullptr || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        spdlog::debug(
            "ignored a message of {} bytes from {}: unknown sender or invalid encoding", bytes.size(), address);
        return;
    }
    if (message.has_digest() && message.digest().host() == sender->name) {
        this->handleNewsRequests(*sender, message.digest());
        this->handleDigest(std::move(*message.mutable_digest()));
    }
    if (message.has_news())
        this->handleNews(message.news(), this->dependencies.fleet.earliestSendTime(message.digest()));
    if (message.has_summary() && message.summary().host() == sender->name)
        this->handleSummary(message.summary());
}

void FleetExchange::handleDigest(wire::Digest digest)
{
    const auto uses = this->dependencies.holders.merge(digest.uses());
    this->dependencies.crashes.merge(digest.crash_report(), digest.host());
    this->dependencies.rateLimits.merge(digest.limit_report(), digest.host());
    if (this->isDelegate && !digest.is_delegate())
        this->usesForOtherGroups.push(uses);
    const auto sentAt = this->dependencies.fleet.earliestSendTime(digest);
    this->dependencies.storeEra.observe(digest.store_era(), digest.host());
    if (digest.reaches_store()) {
        for (const auto& news : digest.news())
            this->handleNews(news, sentAt);
    }
    const auto isNew = this->dependencies.fleet.applyDigest(std::move(digest));
    if (isNew && *isNew)
        this->dependencies.holders.repeatAnnouncements();
}

StoreFeed* FleetExchange::findFeed(std::uint32_t kind) const
{
    const auto found = std::find_if(this->dependencies.feeds.begin(), this->dependencies.feeds.end(),
        [kind](const StoreFeed* feed) { return static_cast<std::uint32_t>(feed->objectKind()) == kind; });
    return found == this->dependencies.feeds.end() ? nullptr : *found;
}

void FleetExchange::handleNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt)
{
    if (auto* feed = this->findFeed(news.kind()))
        feed->receiveNews(news, sentAt);
}

void FleetExchange::handleNewsRequests(const HostEntry& sender, const wire::Digest& digest)
{
    if (!this->isWatcher)
        return;
    for (const auto& request : digest.requests()) {
        auto* feed = this->findFeed(request.kind());
        const auto news = feed == nullptr ? std::nullopt : feed->makeNewsAfter(request.era(), request.after());
        if (!news)
            continue;
        wire::FleetMessage reply;
        *reply.mutable_news() = *news;
        this->dependencies.metrics.addControlBytes(this->send(sender, reply.SerializeAsString()));
    }
}

void FleetExchange::handleSummary(const wire::GroupSummary& summary)
{
    this->summarySenders.insert_or_assign(summary.host(), this->dependencies.clock.now());
    this->usesForOwnGroup.push(this->dependencies.holders.merge(summary.uses()));
    this->dependencies.crashes.merge(summary.crash_report(), summary.host());
    this->dependencies.rateLimits.merge(summary.limit_report(), summary.host());
    this->dependencies.fleet.applySummary(summary);
}

} // namespace berylwing
