#include "berylwing/gateway/fleet_view.hpp"

#include <tuple>
#include <unordered_map>
#include <utility>

namespace berylwing {

namespace {

/** Time for which a digest holds; some of its successors may be lost, and streams last a second or two. */
constexpr Duration kDigestLife { 3000 };

} // namespace

FleetView::FleetView(
    const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName, std::uint64_t ownIncarnation)
    : clock { hostClock }
    , directory { endpointDirectory }
    , name { std::move(ownName) }
    , incarnation { ownIncarnation }
{
}

void FleetView::take(wire::Digest digest)
{
    if (digest.host() == this->name)
        return;
    auto& peer = this->peers[digest.host()];
    const auto known = std::make_tuple(peer.digest.incarnation(), peer.digest.sequence());
    if (std::make_tuple(digest.incarnation(), digest.sequence()) <= known)
        return;
    peer.digest = std::move(digest);
    peer.receivedAt = this->clock.now();
    this->recount();
}

wire::Digest FleetView::describe()
{
    wire::Digest digest;
    digest.set_host(this->name);
    digest.set_incarnation(this->incarnation);
    digest.set_sequence(++this->sequence);
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->inFlight == 0)
            continue;
        auto& load = *digest.add_loads();
        load.set_endpoint(endpoint->hash);
        load.set_in_flight(endpoint->inFlight);
    }
    return digest;
}

void FleetView::dropSilent()
{
    const auto oldest = this->clock.now() - kDigestLife;
    if (std::erase_if(this->peers, [oldest](const auto& peer) { return peer.second.receivedAt < oldest; }) > 0)
        this->recount();
}

void FleetView::recount()
{
    std::unordered_map<std::uint64_t, std::uint32_t> totals;
    for (const auto& [host, peer] : this->peers) {
        for (const auto& load : peer.digest.loads())
            totals[load.endpoint()] += load.in_flight();
    }
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto found = totals.find(endpoint->hash);
        endpoint->inFlightElsewhere = found == totals.end() ? 0 : found->second;
    }
}

} // namespace berylwing
