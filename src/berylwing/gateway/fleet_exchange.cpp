#include "berylwing/gateway/fleet_exchange.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Time between two digests; within it a host sends one or two requests to an endpoint at the busiest. */
constexpr Duration kDigestInterval { 200 };
/** Time between two summaries for other groups, which are less urgent than what happens in the own one. */
constexpr Duration kSummaryInterval { 400 };
/** Bytes a millisecond that a host spends on digests: what control may cost at the target size. */
constexpr Duration::rep kHostBytesPerMs = 12;
/** The same for a delegate, of which a group has two: a tenth of the slowest link of the users' hosts. */
constexpr Duration::rep kDelegateBytesPerMs = 125;
/** Headers of a datagram on the wire. */
constexpr std::size_t kDatagramOverhead = 42;
/** Silence after which a host is no longer taken for a delegate of its group. */
constexpr Duration kSenderSilence { 3000 };

} // namespace

FleetExchange::FleetExchange(FleetExchangeParts exchangeParts)
    : parts { std::move(exchangeParts) }
    , usesForOthers { this->parts.clock }
    , usesForGroup { this->parts.clock }
    , crashesForOthers { this->parts.clock }
    , crashesForGroup { this->parts.clock }
{
}

Task<void> FleetExchange::run()
{
    while (true) {
        const bool reachesStore = std::all_of(this->parts.feeds.begin(), this->parts.feeds.end(),
            [](const StoreFeed* feed) { return feed->reachesStore(); });
        this->parts.fleet.setReachesStore(reachesStore);
        auto digest = this->makeDigest();
        const bool isDelegate = digest.is_delegate();
        this->noteRoles(digest);
        auto sent = this->sendDigest(std::move(digest));
        if (isDelegate)
            sent += this->sendSummaries();
        this->parts.metrics.addControlBytes(sent);
        const auto rate = isDelegate ? kDelegateBytesPerMs : kHostBytesPerMs;
        const Duration pause { static_cast<Duration::rep>(sent) / rate };
        co_await this->parts.clock.sleepFor(std::max(kDigestInterval, pause));
    }
}

void FleetExchange::noteRoles(const wire::Digest& digest)
{
    const bool wasDelegate = std::exchange(this->isDelegate, digest.is_delegate());
    const bool wasWatcher = std::exchange(this->isWatcher, digest.is_watcher());
    if (wasDelegate == this->isDelegate && wasWatcher == this->isWatcher)
        return;
    LogLine line { LogEvent::RolesChanged };
    line.add("delegate", std::int64_t { this->isDelegate }).add("watcher", std::int64_t { this->isWatcher });
    this->parts.log.write(line);
}

wire::Digest FleetExchange::makeDigest()
{
    auto digest = this->parts.fleet.describe();
    this->parts.holders.describe(*digest.mutable_uses());
    this->parts.crashes.describe(*digest.mutable_crashes());
    if (digest.is_delegate()) {
        this->usesForGroup.describe(*digest.mutable_uses());
        this->crashesForGroup.describe(*digest.mutable_crashes());
    }
    for (auto* feed : this->parts.feeds) {
        if (digest.is_watcher() && feed->isListed())
            *digest.add_news() = feed->describeNews();
        if (const auto after = feed->missesAfter()) {
            auto& request = *digest.add_requests();
            request.set_kind(static_cast<std::uint32_t>(feed->objectKind()));
            request.set_after(*after);
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
    for (const auto& peer : this->parts.roster.group()) {
        // Two messages in a row are read as one, so that only the echo is made for each peer.
        wire::FleetMessage own;
        *own.mutable_digest()->mutable_echo() = this->parts.fleet.echoFor(peer.name);
        const auto bytes = common + own.SerializeAsString();
        sent += this->send(peer, bytes);
    }
    return sent;
}

std::size_t FleetExchange::send(const HostEntry& host, const std::string& bytes) const
{
    this->parts.send(host.address, bytes);
    return bytes.size() + kDatagramOverhead;
}

std::vector<HostEntry> FleetExchange::delegatesOf(const std::string& domain) const
{
    auto hosts = this->parts.roster.likelyDelegates(domain);
    const auto oldest = this->parts.clock.now() - kSenderSilence;
    for (const auto& [name, heardAt] : this->summarySenders) {
        const auto* entry = this->parts.roster.find(name);
        const bool isListed = std::any_of(
            hosts.begin(), hosts.end(), [&sender = name](const HostEntry& host) { return host.name == sender; });
        if (entry != nullptr && entry->domain == domain && heardAt > oldest && !isListed)
            hosts.push_back(*entry);
    }
    return hosts;
}

std::size_t FleetExchange::sendSummaries()
{
    const auto groups = this->parts.roster.otherGroups();
    const auto now = this->parts.clock.now();
    if (groups.empty() || now < this->summariesSentAt + kSummaryInterval)
        return 0;
    this->summariesSentAt = now;
    wire::FleetMessage message;
    auto& summary = *message.mutable_summary();
    summary.set_domain(this->parts.domain);
    summary.set_host(this->parts.host);
    *summary.mutable_loads() = this->parts.fleet.describeGroup();
    this->usesForOthers.describe(*summary.mutable_uses());
    this->parts.holders.describe(*summary.mutable_uses());
    this->crashesForOthers.describe(*summary.mutable_crashes());
    this->parts.crashes.describe(*summary.mutable_crashes());
    const auto bytes = message.SerializeAsString();
    std::size_t sent = 0;
    for (const auto& domain : groups) {
        for (const auto& host : this->delegatesOf(domain))
            sent += this->send(host, bytes);
    }
    return sent;
}

void FleetExchange::receive(const std::string& address, std::string_view bytes)
{
    const auto* sender = this->parts.roster.findByAddress(address);
    wire::FleetMessage message;
    if (sender == nullptr || !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        spdlog::debug("message of {} bytes from {} ignored", bytes.size(), address);
        return;
    }
    if (message.has_digest() && message.digest().host() == sender->name) {
        this->answerRequests(*sender, message.digest());
        this->takeDigest(std::move(*message.mutable_digest()));
    }
    if (message.has_news())
        this->takeNews(message.news(), this->parts.fleet.earliestSending(message.digest()));
    if (message.has_summary() && message.summary().host() == sender->name)
        this->takeSummary(message.summary());
}

void FleetExchange::takeDigest(wire::Digest digest)
{
    const auto uses = this->parts.holders.take(digest.uses());
    const auto crashes = this->parts.crashes.take(digest.crashes());
    if (this->isDelegate && !digest.is_delegate()) {
        this->usesForOthers.push(uses);
        this->crashesForOthers.push(crashes);
    }
    const auto sentAt = this->parts.fleet.earliestSending(digest);
    if (digest.reaches_store()) {
        for (const auto& news : digest.news())
            this->takeNews(news, sentAt);
    }
    const auto isNew = this->parts.fleet.take(std::move(digest));
    if (isNew && *isNew)
        this->parts.holders.announceAll();
}

StoreFeed* FleetExchange::feedOf(std::uint32_t kind) const
{
    const auto found = std::find_if(this->parts.feeds.begin(), this->parts.feeds.end(),
        [kind](const StoreFeed* feed) { return static_cast<std::uint32_t>(feed->objectKind()) == kind; });
    return found == this->parts.feeds.end() ? nullptr : *found;
}

void FleetExchange::takeNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt)
{
    if (auto* feed = this->feedOf(news.kind()))
        feed->takeNews(news, sentAt);
}

void FleetExchange::answerRequests(const HostEntry& sender, const wire::Digest& digest)
{
    if (!this->isWatcher)
        return;
    for (const auto& request : digest.requests()) {
        auto* feed = this->feedOf(request.kind());
        const auto news = feed == nullptr ? std::nullopt : feed->newsAfter(request.after());
        if (!news)
            continue;
        wire::FleetMessage answer;
        *answer.mutable_news() = *news;
        this->parts.metrics.addControlBytes(this->send(sender, answer.SerializeAsString()));
    }
}

void FleetExchange::takeSummary(const wire::GroupSummary& summary)
{
    this->summarySenders.insert_or_assign(summary.host(), this->parts.clock.now());
    this->usesForGroup.push(this->parts.holders.take(summary.uses()));
    this->crashesForGroup.push(this->parts.crashes.take(summary.crashes()));
    this->parts.fleet.take(summary);
}

} // namespace berylwing
