#include "berylwing/gateway/relay_hosts.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Time for which a host is left out: some digests, by which it may have told that it reaches endpoints again. */
constexpr Duration kAvoidedTime { 1000 };
/** Time after which a digest no longer tells what its sender has lost. */
constexpr Duration kDigestTtl { 3000 };
/** Part of a failure domain that has to be left to carry the requests of the whole domain. */
constexpr std::size_t kMinDomainPart = 3;

} // namespace

RelayHosts::Use::Use(RelayHosts& relayHosts, std::string host)
    : hosts { relayHosts }
    , name { std::move(host) }
{
    ++this->hosts.stateOf(this->name).inFlight;
}

RelayHosts::Use::~Use() { --this->hosts.states[this->name].inFlight; }

RelayHosts::RelayHosts(const Clock& hostClock, const HostRoster& hostRoster, const FleetView& fleetView,
    std::string ownDomain, Regions regionsOfDomains)
    : clock { hostClock }
    , roster { hostRoster }
    , fleet { fleetView }
    , domain { std::move(ownDomain) }
    , regions { std::move(regionsOfDomains) }
    , random { static_cast<unsigned>(hostClock.now().time_since_epoch().count()) }
{
}

std::uint32_t RelayHosts::hashService(std::string_view service)
{
    return static_cast<std::uint32_t>(hashText(service));
}

void RelayHosts::recordDigest(const std::string& host, const google::protobuf::RepeatedField<std::uint32_t>& services)
{
    const auto found = this->states.find(host);
    if (services.empty() && found == this->states.end())
        return;
    auto& state = this->stateOf(host);
    state.lostServices.assign(services.begin(), services.end());
    state.toldAt = this->clock.now();
}

RelayHosts::HostState& RelayHosts::stateOf(const std::string& host)
{
    if (!this->states.contains(host)) {
        std::erase_if(this->states, [this](const auto& entry) {
            return entry.second.inFlight == 0 && this->roster.find(entry.first) == nullptr;
        });
    }
    return this->states[host];
}

void RelayHosts::avoid(const std::string& host) { this->stateOf(host).avoidedUntil = this->clock.now() + kAvoidedTime; }

bool RelayHosts::isInOwnRegion(const HostEntry& host) const
{
    const auto own = this->regions.find(this->domain);
    const auto other = this->regions.find(host.domain);
    if (own == this->regions.end() || other == this->regions.end())
        return own == other;
    return own->second == other->second;
}

bool RelayHosts::isEligible(const HostEntry& host, std::uint32_t service) const
{
    if (!this->isInOwnRegion(host))
        return false;
    const auto found = this->states.find(host.name);
    if (found == this->states.end())
        return true;
    const auto& state = found->second;
    const auto now = this->clock.now();
    if (now < state.avoidedUntil)
        return false;
    const auto& lost = state.lostServices;
    return now >= state.toldAt + kDigestTtl || std::find(lost.begin(), lost.end(), service) == lost.end();
}

unsigned RelayHosts::countInFlight(const HostEntry& host) const
{
    const auto found = this->states.find(host.name);
    return found == this->states.end() ? 0 : found->second.inFlight;
}

std::optional<HostEntry> RelayHosts::choose(std::string_view service, const std::vector<std::string>& tried)
{
    const auto hash = hashService(service);
    const auto hosts = this->roster.reachableHosts();
    std::vector<const HostEntry*> near;
    std::vector<const HostEntry*> all;
    std::size_t domainSize = 0;
    for (const auto& host : hosts) {
        domainSize += host.domain == this->domain ? 1 : 0;
        const bool isOwn = this->roster.find(host.name) == nullptr;
        if (isOwn || std::find(tried.begin(), tried.end(), host.name) != tried.end() || !this->isEligible(host, hash))
            continue;
        // Members of the own group whose digests have stopped are down or cut off.
        const bool isMember = this->roster.groupOf(host) == this->roster.ownGroup();
        if (isMember && !this->fleet.isPeerLive(host.name))
            continue;
        all.push_back(&host);
        if (host.domain == this->domain)
            near.push_back(&host);
    }
    // Where a host of the own domain has handed the request back, more of them are probably cut off.
    const bool isNearTried = std::any_of(tried.begin(), tried.end(), [this](const std::string& name) {
        const auto* host = this->roster.find(name);
        return host != nullptr && host->domain == this->domain;
    });
    if (isNearTried && near.size() < all.size())
        std::erase_if(all, [this](const HostEntry* host) { return host->domain == this->domain; });
    const bool hasEnoughNear = !near.empty() && kMinDomainPart * near.size() >= domainSize;
    const auto& candidates = hasEnoughNear && !isNearTried ? near : all;
    if (candidates.empty())
        return std::nullopt;
    // Of two hosts drawn at random the less used one, so that hosts that are cut off together do not all choose one.
    std::uniform_int_distribution<std::size_t> draw { 0, candidates.size() - 1 };
    const auto* first = candidates[draw(this->random)];
    const auto* second = candidates[draw(this->random)];
    return this->countInFlight(*second) < this->countInFlight(*first) ? *second : *first;
}

} // namespace berylwing
