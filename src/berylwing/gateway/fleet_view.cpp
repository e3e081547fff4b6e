#include "berylwing/gateway/fleet_view.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <tuple>
#include <utility>

namespace berylwing {

namespace {

/** Time for which a digest remains valid; some later ones may be lost, and streams last a second or two. */
constexpr Duration kDigestTtl { 3000 };
/** Time without a digest after which another host replaces a watcher or delegate. A leaving
 * endpoint may be used for two seconds, within which the replacement has to learn of it and report it. */
constexpr Duration kDelegateTimeout { 1200 };

} // namespace

FleetView::FleetView(
    const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName, std::uint64_t ownIncarnation)
    : clock { hostClock }
    , directory { endpointDirectory }
    , name { std::move(ownName) }
    , rank { hashText(this->name) }
    , incarnation { ownIncarnation }
{
}

std::optional<bool> FleetView::applyDigest(wire::Digest digest)
{
    if (digest.host() == this->name)
        return std::nullopt;
    auto& peer = this->peers[digest.host()];
    const auto known = std::make_tuple(peer.digest.incarnation(), peer.digest.sequence());
    if (std::make_tuple(digest.incarnation(), digest.sequence()) <= known)
        return std::nullopt;
    const bool isNew = digest.incarnation() != peer.digest.incarnation();
    peer.digest = std::move(digest);
    peer.receivedAt = this->clock.now();
    this->newestPlan = std::max(this->newestPlan, peer.digest.plan_version());
    this->updateDirectoryLoads();
    return isNew;
}

void FleetView::applySummary(const wire::GroupSummary& summary)
{
    const Duration loadsAge { static_cast<Duration::rep>(summary.loads_age_ms()) };
    this->summaries.insert_or_assign(summary.domain(), Summary { summary.loads(), this->clock.now(), loadsAge });
    this->updateDirectoryLoads();
}

wire::Digest FleetView::makeDigest()
{
    wire::Digest digest;
    digest.set_host(this->name);
    digest.set_incarnation(this->incarnation);
    digest.set_sequence(++this->sequence);
    digest.set_sent_at_ms(static_cast<std::uint64_t>(this->clock.now().time_since_epoch().count()));
    digest.set_reaches_store(this->isStoreReachable);
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->inFlight == 0)
            continue;
        appendLoad(*digest.mutable_loads(), endpoint->hash, { endpoint->inFlight, endpoint->unreadTokens });
    }
    digest.set_is_watcher(this->isWatcher());
    if (!this->isDelegate())
        return digest;
    digest.set_is_delegate(true);
    for (const auto& [endpoint, load] : this->hasSummaries() ? this->otherGroupLoads() : Loads {})
        appendLoad(*digest.mutable_elsewhere(), endpoint, load);
    digest.set_elsewhere_age_ms(static_cast<std::uint64_t>(this->otherGroupLoadAge().count()));
    return digest;
}

wire::EndpointLoads FleetView::makeGroupLoads() const
{
    Loads totals;
    for (const auto& [host, peer] : this->peers)
        addLoads(totals, peer.digest.loads());
    wire::EndpointLoads loads;
    for (const auto& [id, endpoint] : this->directory.all()) {
        auto total = totals[endpoint->hash];
        total.inFlight += endpoint->inFlight;
        total.unreadTokens += endpoint->unreadTokens;
        if (total.inFlight > 0)
            appendLoad(loads, endpoint->hash, total);
    }
    return loads;
}

wire::ClockEcho FleetView::makeEcho(const std::string& host) const
{
    wire::ClockEcho echo;
    const auto found = this->peers.find(host);
    if (found == this->peers.end())
        return echo;
    echo.set_incarnation(found->second.digest.incarnation());
    echo.set_sent_at_ms(found->second.digest.sent_at_ms());
    echo.set_held_ms(static_cast<std::uint64_t>((this->clock.now() - found->second.receivedAt).count()));
    return echo;
}

std::optional<TimePoint> FleetView::earliestSendTime(const wire::Digest& digest) const
{
    // An echo for an earlier process of this host may refer to another clock, as after a reboot.
    if (!digest.has_echo() || digest.echo().incarnation() != this->incarnation)
        return std::nullopt;
    const auto echoed = digest.echo().sent_at_ms() + digest.echo().held_ms();
    return TimePoint { Duration { static_cast<Duration::rep>(echoed) } };
}

bool FleetView::isLive(const Peer& peer) const { return this->clock.now() < peer.receivedAt + kDelegateTimeout; }

std::size_t FleetView::countHigherRankedPeers() const
{
    const auto count = std::count_if(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        const auto& peer = entry.second;
        if (!this->isLive(peer))
            return false;
        if (peer.digest.reaches_store() != this->isStoreReachable)
            return peer.digest.reaches_store();
        return hashText(entry.first) < this->rank;
    });
    return static_cast<std::size_t>(count);
}

bool FleetView::isLiveWatcher(const Peer& peer, bool canReachStore) const
{
    return peer.digest.is_watcher() && peer.digest.reaches_store() == canReachStore && this->isLive(peer);
}

std::string FleetView::watcher() const
{
    const auto found = std::find_if(this->peers.begin(), this->peers.end(),
        [this](const auto& entry) { return this->isLiveWatcher(entry.second, true); });
    return found == this->peers.end() ? std::string {} : found->first;
}

bool FleetView::isPeerLive(std::string_view host) const
{
    const auto found = this->peers.find(host);
    return found != this->peers.end() && this->isLive(found->second);
}

bool FleetView::hasLiveOtherGroups() const
{
    return this->hasSummaries() || std::any_of(this->peers.begin(), this->peers.end(), [this](const auto& entry) {
        return entry.second.digest.has_elsewhere() && this->isLive(entry.second);
    });
}

bool FleetView::isStoreProbed() const
{
    return std::any_of(this->peers.begin(), this->peers.end(),
        [this](const auto& entry) { return this->isLiveWatcher(entry.second, false); });
}

void FleetView::dropExpired()
{
    const auto oldest = this->clock.now() - kDigestTtl;
    const auto isSilent = [oldest](const auto& entry) { return entry.second.receivedAt < oldest; };
    if (std::erase_if(this->peers, isSilent) + std::erase_if(this->summaries, isSilent) > 0)
        this->updateDirectoryLoads();
}

void FleetView::addLoads(Loads& totals, const wire::EndpointLoads& loads)
{
    const auto count = std::min({ loads.endpoints_size(), loads.in_flight_size(), loads.unread_tokens_size() });
    for (int index = 0; index < count; ++index) {
        auto& total = totals[loads.endpoints(index)];
        total.inFlight += loads.in_flight(index);
        total.unreadTokens += loads.unread_tokens(index);
    }
}

void FleetView::appendLoad(wire::EndpointLoads& loads, std::uint32_t endpoint, const Load& load)
{
    loads.add_endpoints(endpoint);
    loads.add_in_flight(load.inFlight);
    loads.add_unread_tokens(load.unreadTokens);
}

FleetView::Loads FleetView::otherGroupLoads() const
{
    Loads totals;
    if (this->hasSummaries()) {
        for (const auto& [domain, summary] : this->summaries)
            addLoads(totals, summary.loads);
        return totals;
    }
    if (const auto* latest = this->findLatestElsewhere())
        addLoads(totals, latest->digest.elsewhere());
    return totals;
}

const FleetView::Peer* FleetView::findLatestElsewhere() const
{
    const Peer* latest = nullptr;
    for (const auto& [host, peer] : this->peers) {
        if (peer.digest.has_elsewhere() && (latest == nullptr || peer.receivedAt > latest->receivedAt))
            latest = &peer;
    }
    return latest;
}

Duration FleetView::groupLoadAge() const
{
    Duration total {};
    for (const auto& [host, peer] : this->peers)
        total += this->clock.now() - peer.receivedAt;
    return total / static_cast<Duration::rep>(std::max<std::size_t>(this->peers.size(), 1));
}

Duration FleetView::otherGroupLoadAge() const
{
    if (!this->hasSummaries()) {
        const auto* latest = this->findLatestElsewhere();
        if (latest == nullptr)
            return {};
        const Duration ageWhenSent { static_cast<Duration::rep>(latest->digest.elsewhere_age_ms()) };
        return this->clock.now() - latest->receivedAt + ageWhenSent;
    }
    Duration total {};
    for (const auto& [domain, summary] : this->summaries)
        total += this->clock.now() - summary.receivedAt + summary.loadsAge;
    return total / static_cast<Duration::rep>(this->summaries.size());
}

void FleetView::updateDirectoryLoads()
{
    auto totals = this->otherGroupLoads();
    for (const auto& [host, peer] : this->peers)
        addLoads(totals, peer.digest.loads());
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto& total = totals[endpoint->hash];
        endpoint->remoteInFlight = total.inFlight;
        endpoint->remoteUnreadTokens = total.unreadTokens;
    }
}

} // namespace berylwing
