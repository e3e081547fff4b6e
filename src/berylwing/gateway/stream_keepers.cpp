#include "berylwing/gateway/stream_keepers.hpp"

#include "berylwing/core/hash.hpp"
#include <map>
#include <string>
#include <utility>

namespace berylwing {

namespace {

/** Mixes a stream and the hash of a name into a uniform number, as the finalizer of SplitMix64 does. */
std::uint64_t mix(std::uint64_t stream, std::uint64_t name) noexcept
{
    auto value = stream ^ name;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

/** Returns the two nodes with the highest scores for a stream, the best one first. */
template <typename Node>
std::array<const Node*, kKeeperCount> findBest(std::uint64_t stream, const std::vector<Node>& nodes)
{
    std::array<const Node*, kKeeperCount> best {};
    std::array<std::uint64_t, kKeeperCount> scores {};
    for (const auto& node : nodes) {
        const auto score = mix(stream, node.id);
        if (best[0] == nullptr || score > scores[0]) {
            best = { &node, best[0] };
            scores = { score, scores[0] };
        } else if (best[1] == nullptr || score > scores[1]) {
            best[1] = &node;
            scores[1] = score;
        }
    }
    return best;
}

} // namespace

StreamKeepers::StreamKeepers(const HostRoster& hostRoster)
    : roster { hostRoster }
    , rosterChanges { hostRoster.changeCount() }
{
    this->refresh();
}

void StreamKeepers::refresh()
{
    std::map<std::string, Domain> byName;
    for (auto& host : this->roster.reachableHosts()) {
        auto& domain = byName[host.domain];
        const auto id = hashText(host.name);
        const bool isThisHost = this->roster.find(host.name) == nullptr;
        domain.hosts.push_back({ std::move(host), id, isThisHost });
    }
    this->domains.clear();
    for (auto& [name, domain] : byName) {
        domain.id = hashText(name);
        this->domains.push_back(std::move(domain));
    }
}

StreamKeepers::Set StreamKeepers::find(std::uint64_t stream)
{
    if (std::exchange(this->rosterChanges, this->roster.changeCount()) != this->roster.changeCount())
        this->refresh();
    const auto [first, second] = findBest(stream, this->domains);
    if (first == nullptr)
        return {};
    const auto best = findBest(stream, first->hosts);
    return second == nullptr ? best : Set { best[0], findBest(stream, second->hosts)[0] };
}

} // namespace berylwing
