#include "berylwing/membership/failure_domain.hpp"

#include "berylwing/membership/rank_hosts.hpp"
#include "berylwing/membership/timing.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

std::int64_t toMs(TimePoint time) { return time.time_since_epoch().count(); }

TimePoint fromMs(std::int64_t ms) { return TimePoint { Duration { ms } }; }

} // namespace

FailureDomain::FailureDomain(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, Metrics& hostMetrics)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , metrics { hostMetrics }
    , provideHeartbeatContent { [] { return HeartbeatContent {}; } }
{
    this->link.setRosterVersionReader([this] { return this->roster().version; });
    this->link.handle(
        wire::Envelope::kBeat, [this](const wire::Envelope& envelope) { this->receiveHeartbeat(envelope); });
    this->catalog.addListener([this](const VersionedObject& object) {
        if (object.kind == ObjectKind::Roster && object.name == this->link.identity().domain)
            this->applyRoster();
    });
    this->applyRoster();
}

const Roster& FailureDomain::roster() const
{
    static const Roster kEmpty;
    const auto* known = this->catalog.roster(this->link.identity().domain);
    return known == nullptr ? kEmpty : *known;
}

bool FailureDomain::isMember() const
{
    const auto* member = this->roster().find(this->link.identity().host);
    return member != nullptr && member->incarnation == this->link.identity().incarnation;
}

const std::vector<std::string>& FailureDomain::ranking(std::string_view key) const
{
    const auto known = this->rankings.find(key);
    if (known != this->rankings.end())
        return known->second;
    return this->rankings.emplace(key, rankHosts(this->roster(), key)).first->second;
}

bool FailureDomain::isSilent(std::string_view host) const
{
    return host != this->link.identity().host && this->timeSinceHeartbeat(host) > kLeaseTtl + kLeaseTakeoverDelay;
}

std::vector<std::string> FailureDomain::reachableOwners(
    const Roster* members, std::string_view key, std::size_t maxHosts) const
{
    if (members == nullptr)
        return {};
    auto hosts = rankHosts(*members, key);
    std::erase_if(
        hosts, [this](const std::string& host) { return this->isSilent(host) || this->link.isAnswerOverdue(host); });
    if (hosts.size() > maxHosts)
        hosts.resize(maxHosts);
    return hosts;
}

Duration FailureDomain::timeSinceHeartbeat(std::string_view host) const
{
    const auto found = this->peersByHost.find(host);
    return found == this->peersByHost.end() ? Duration {} : this->clock.now() - found->second.lastHeartbeatAt;
}

bool FailureDomain::hasLeaseFrom(const Peer& peer) const
{
    return peer.rosterVersion == this->roster().version && peer.leaseStartedAt
        && this->clock.now() - *peer.leaseStartedAt < kLeaseTtl;
}

bool FailureDomain::hasLeaseFromAll() const
{
    return std::all_of(this->peersByHost.begin(), this->peersByHost.end(),
        [this](const auto& entry) { return this->hasLeaseFrom(entry.second); });
}

bool FailureDomain::isRosterAcknowledged() const
{
    const auto version = this->roster().version;
    return std::all_of(this->peersByHost.begin(), this->peersByHost.end(),
        [version](const auto& entry) { return entry.second.rosterVersion >= version; });
}

void FailureDomain::recordResidual(std::string_view host, const wire::Residual& residual)
{
    const auto peer = this->peersByHost.find(host);
    if (peer == this->peersByHost.end())
        return;
    auto& residuals = peer->second.residuals;
    std::erase_if(
        residuals, [&residual](const wire::Residual& known) { return known.endpoint() == residual.endpoint(); });
    residuals.push_back(residual);
}

void FailureDomain::setHeartbeatContentProvider(HeartbeatContentProvider provider)
{
    this->provideHeartbeatContent = std::move(provider);
}

void FailureDomain::onRosterChange(RosterListener listener) { this->rosterListeners.push_back(std::move(listener)); }

void FailureDomain::onHeartbeat(HeartbeatListener listener) { this->heartbeatListeners.push_back(std::move(listener)); }

void FailureDomain::setWatching(bool isWatching) noexcept { this->isWatchingPlatform = isWatching; }

Task<void> FailureDomain::run()
{
    while (true) {
        this->sendHeartbeats();
        this->reportSilentPeers();
        co_await this->clock.sleepFor(kHeartbeatInterval);
    }
}

void FailureDomain::sendHeartbeatsNow() { this->sendHeartbeats(); }

Peer& FailureDomain::findOrAddPeer(const RosterMember& member)
{
    auto& peer = this->peersByHost[member.host];
    if (peer.incarnation == member.incarnation)
        return peer;
    peer = Peer {};
    peer.host = member.host;
    peer.incarnation = member.incarnation;
    peer.lastHeartbeatAt = this->clock.now();
    peer.knownSince = peer.lastHeartbeatAt;
    return peer;
}

void FailureDomain::applyRoster()
{
    const auto& current = this->roster();
    if (current.version <= this->appliedRosterVersion)
        return;
    this->appliedRosterVersion = current.version;
    this->rankings.clear();
    std::erase_if(this->peersByHost, [&current](const auto& entry) { return current.find(entry.first) == nullptr; });
    for (const auto& member : current.members) {
        if (member.host != this->link.identity().host)
            static_cast<void>(this->findOrAddPeer(member));
    }
    this->metrics.add(Incident::RosterTaken);
    this->sendHeartbeats();
    for (const auto& listener : this->rosterListeners)
        listener();
}

void FailureDomain::receiveHeartbeat(const wire::Envelope& envelope)
{
    const auto found = this->peersByHost.find(envelope.from());
    if (found == this->peersByHost.end() || found->second.incarnation != envelope.incarnation())
        return;
    auto& peer = found->second;
    const auto& beat = envelope.beat();
    if (beat.sent_ms() < peer.lastHeartbeatSentMs)
        return;
    peer.lastHeartbeatAt = this->clock.now();
    peer.hasHeartbeat = true;
    peer.isSilenceReported = false;
    peer.lastHeartbeatSentMs = beat.sent_ms();
    peer.rosterVersion = std::max(peer.rosterVersion, envelope.roster_version());
    if (beat.echo_incarnation() == this->link.identity().incarnation)
        peer.leaseStartedAt = fromMs(beat.echo_ms());
    peer.configurationRevision = beat.configuration();
    peer.isWatchingPlatform = beat.watching();
    peer.isLeaving = beat.leaving();
    peer.residuals.assign(beat.residuals().begin(), beat.residuals().end());
    peer.loads.assign(beat.loads().begin(), beat.loads().end());
    for (const auto& listener : this->heartbeatListeners)
        listener(peer);
}

void FailureDomain::sendHeartbeats()
{
    const auto content = this->provideHeartbeatContent();
    for (const auto& [host, peer] : this->peersByHost) {
        wire::Envelope envelope;
        auto& message = *envelope.mutable_beat();
        message.set_sent_ms(toMs(this->clock.now()));
        if (peer.hasHeartbeat) {
            message.set_echo_ms(peer.lastHeartbeatSentMs);
            message.set_echo_incarnation(peer.incarnation);
        }
        message.set_configuration(this->catalog.completeRevision());
        message.set_watching(this->isWatchingPlatform);
        message.set_leaving(this->isLeaving);
        if (const auto residuals = content.residuals.find(host); residuals != content.residuals.end())
            message.mutable_residuals()->Add(residuals->second.begin(), residuals->second.end());
        for (const auto& load : content.loads)
            *message.add_loads() = load;
        this->link.send(host, std::move(envelope));
    }
}

void FailureDomain::reportSilentPeers()
{
    for (auto& [host, peer] : this->peersByHost) {
        if (peer.isSilenceReported || !this->isSilent(host))
            continue;
        peer.isSilenceReported = true;
        this->metrics.add(Incident::PeerSilent);
        spdlog::warn("no heartbeat from host {} for {} ms", host, this->timeSinceHeartbeat(host).count());
    }
}

} // namespace berylwing
