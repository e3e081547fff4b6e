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

bool FleetView::take(wire::Digest digest)
{
    if (digest.host() == this->name)
        return false;
    auto& peer = this->peers[digest.host()];
    const auto known = std::make_tuple(peer.digest.incarnation(), peer.digest.sequence());
    if (std::make_tuple(digest.incarnation(), digest.sequence()) <= known)
        return false;
    const bool isNew = digest.incarnation() != peer.digest.incarnation();
    peer.digest = std::move(digest);
    peer.receivedAt = this->clock.now();
    this->recount();
    return isNew;
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
        load.set_unread_tokens(endpoint->unreadTokens);
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
    std::unordered_map<std::uint64_t, wire::EndpointLoad> totals;
    for (const auto& [host, peer] : this->peers) {
        for (const auto& load : peer.digest.loads()) {
            auto& total = totals[load.endpoint()];
            total.set_in_flight(total.in_flight() + load.in_flight());
            total.set_unread_tokens(total.unread_tokens() + load.unread_tokens());
        }
    }
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto& total = totals[endpoint->hash];
        endpoint->inFlightElsewhere = total.in_flight();
        endpoint->unreadTokensElsewhere = total.unread_tokens();
    }
}

} // namespace berylwing
