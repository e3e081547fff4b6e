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
    , describeBeat { [] { return BeatContent {}; } }
{
    this->link.readRosterVersionFrom([this] { return this->roster().version; });
    this->link.handle(wire::Envelope::kBeat, [this](const wire::Envelope& envelope) { this->takeBeat(envelope); });
    this->catalog.listen([this](const VersionedObject& object) {
        if (object.kind == ObjectKind::Roster && object.name == this->link.identity().domain)
            this->takeRoster();
    });
    this->takeRoster();
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
    return host != this->link.identity().host && this->silence(host) > kGrant + kGrantMargin;
}

std::vector<std::string> FailureDomain::reachableOwners(
    const Roster* members, std::string_view key, std::size_t most) const
{
    if (members == nullptr)
        return {};
    auto hosts = rankHosts(*members, key);
    std::erase_if(
        hosts, [this](const std::string& host) { return this->isSilent(host) || this->link.isOverdue(host); });
    if (hosts.size() > most)
        hosts.resize(most);
    return hosts;
}

Duration FailureDomain::silence(std::string_view host) const
{
    const auto found = this->peersByHost.find(host);
    return found == this->peersByHost.end() ? Duration {} : this->clock.now() - found->second.heardAt;
}

bool FailureDomain::isConfirmedBy(const Peer& peer) const
{
    return peer.rosterVersion == this->roster().version && peer.echoedAt && this->clock.now() - *peer.echoedAt < kGrant;
}

bool FailureDomain::isConfirmedByAll() const
{
    return std::all_of(this->peersByHost.begin(), this->peersByHost.end(),
        [this](const auto& entry) { return this->isConfirmedBy(entry.second); });
}

bool FailureDomain::isSettled() const
{
    const auto version = this->roster().version;
    return std::all_of(this->peersByHost.begin(), this->peersByHost.end(),
        [version](const auto& entry) { return entry.second.rosterVersion >= version; });
}

void FailureDomain::noteResidual(std::string_view host, const wire::Residual& residual)
{
    const auto peer = this->peersByHost.find(host);
    if (peer == this->peersByHost.end())
        return;
    auto& residuals = peer->second.residuals;
    std::erase_if(
        residuals, [&residual](const wire::Residual& known) { return known.endpoint() == residual.endpoint(); });
    residuals.push_back(residual);
}

void FailureDomain::describeBeatsWith(DescribeBeat describe) { this->describeBeat = std::move(describe); }

void FailureDomain::onRoster(RosterListener listener) { this->rosterListeners.push_back(std::move(listener)); }

void FailureDomain::onBeat(BeatListener listener) { this->beatListeners.push_back(std::move(listener)); }

void FailureDomain::setWatching(bool isWatching) noexcept { this->watching = isWatching; }

Task<void> FailureDomain::run()
{
    while (true) {
        this->beat();
        this->reportSilence();
        co_await this->clock.sleepFor(kBeatInterval);
    }
}

void FailureDomain::beatNow() { this->beat(); }

Peer& FailureDomain::peerOf(const RosterMember& member)
{
    auto& peer = this->peersByHost[member.host];
    if (peer.incarnation == member.incarnation)
        return peer;
    peer = Peer {};
    peer.host = member.host;
    peer.incarnation = member.incarnation;
    peer.heardAt = this->clock.now();
    peer.knownSince = peer.heardAt;
    return peer;
}

void FailureDomain::takeRoster()
{
    const auto& current = this->roster();
    if (current.version <= this->takenVersion)
        return;
    this->takenVersion = current.version;
    this->rankings.clear();
    std::erase_if(this->peersByHost, [&current](const auto& entry) { return current.find(entry.first) == nullptr; });
    for (const auto& member : current.members) {
        if (member.host != this->link.identity().host)
            static_cast<void>(this->peerOf(member));
    }
    this->metrics.add(Incident::RosterTaken);
    this->beat();
    for (const auto& listener : this->rosterListeners)
        listener();
}

void FailureDomain::takeBeat(const wire::Envelope& envelope)
{
    const auto found = this->peersByHost.find(envelope.from());
    if (found == this->peersByHost.end() || found->second.incarnation != envelope.incarnation())
        return;
    auto& peer = found->second;
    const auto& beat = envelope.beat();
    if (beat.sent_ms() < peer.lastSentMs)
        return;
    peer.heardAt = this->clock.now();
    peer.heard = true;
    peer.silenceReported = false;
    peer.lastSentMs = beat.sent_ms();
    peer.rosterVersion = std::max(peer.rosterVersion, envelope.roster_version());
    if (beat.echo_incarnation() == this->link.identity().incarnation)
        peer.echoedAt = fromMs(beat.echo_ms());
    peer.configuration = beat.configuration();
    peer.watching = beat.watching();
    peer.leaving = beat.leaving();
    peer.residuals.assign(beat.residuals().begin(), beat.residuals().end());
    peer.loads.assign(beat.loads().begin(), beat.loads().end());
    for (const auto& listener : this->beatListeners)
        listener(peer);
}

void FailureDomain::beat()
{
    const auto content = this->describeBeat();
    for (const auto& [host, peer] : this->peersByHost) {
        wire::Envelope envelope;
        auto& message = *envelope.mutable_beat();
        message.set_sent_ms(toMs(this->clock.now()));
        if (peer.heard) {
            message.set_echo_ms(peer.lastSentMs);
            message.set_echo_incarnation(peer.incarnation);
        }
        message.set_configuration(this->catalog.completeThrough());
        message.set_watching(this->watching);
        message.set_leaving(this->leaving);
        if (const auto residuals = content.residuals.find(host); residuals != content.residuals.end())
            message.mutable_residuals()->Add(residuals->second.begin(), residuals->second.end());
        for (const auto& load : content.loads)
            *message.add_loads() = load;
        this->link.send(host, std::move(envelope));
    }
}

void FailureDomain::reportSilence()
{
    for (auto& [host, peer] : this->peersByHost) {
        if (peer.silenceReported || !this->isSilent(host))
            continue;
        peer.silenceReported = true;
        this->metrics.add(Incident::PeerSilent);
        spdlog::warn("host {} has been silent for {} ms", host, this->silence(host).count());
    }
}

} // namespace berylwing
