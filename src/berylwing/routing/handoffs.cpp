#include "berylwing/routing/handoffs.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <utility>

namespace berylwing {

wire::EndpointState describeState(const OwnedEndpoint& endpoint)
{
    const auto state = endpoint.lifecycle.state();
    wire::EndpointState message;
    message.set_endpoint(endpoint.configuration.name);
    message.set_boot_id(endpoint.lifecycle.bootId());
    message.set_warm(state == LifecycleState::Warm);
    message.set_warm_limit(state == LifecycleState::Warming ? endpoint.lifecycle.limit() : 0);
    return message;
}

Handoffs::Handoffs(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics,
    const Authority& hostAuthority)
    : clock { hostClock }
    , link { hostLink }
    , domain { failureDomain }
    , metrics { hostMetrics }
    , authority { hostAuthority }
{
}

void Handoffs::offer(OwnedEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    const auto successor = this->successorOf(endpoint);
    if (successor.empty())
        return;
    endpoint.authority.handingOff = true;
    endpoint.authority.handoffVersion = this->domain.roster().version;
    wire::Envelope envelope;
    auto& handoff = *envelope.mutable_handoff();
    handoff.set_endpoint(name);
    handoff.set_roster_version(this->domain.roster().version);
    handoff.set_in_flight(endpoint.inFlight());
    *handoff.mutable_state() = describeState(endpoint);
    for (const auto& placement : endpoint.placements.all()) {
        auto& entry = *handoff.add_placements();
        entry.set_chat(placement.chat);
        entry.set_endpoint(placement.endpoint);
    }
    handoff.set_is_bequest(this->bequeathing);
    this->link.send(successor, std::move(envelope));
}

std::string Handoffs::successorOf(const OwnedEndpoint& endpoint) const
{
    for (const auto& host : this->domain.ranking(endpoint.configuration.name)) {
        const auto peer = this->domain.peers().find(host);
        const bool isFit
            = peer != this->domain.peers().end() && !peer->second.isLeaving && !this->domain.isSilent(host);
        if (isFit)
            return host;
        // Only a host that stops passes its endpoints by the owner that the roster names.
        if (!this->bequeathing)
            return {};
    }
    return {};
}

void Handoffs::take(const wire::Envelope& envelope, OwnedEndpoint& endpoint)
{
    const auto& handoff = envelope.handoff();
    const bool isCurrent = handoff.roster_version() == this->domain.roster().version;
    const bool isHeir = this->authority.isFirst(handoff.endpoint()) || handoff.is_bequest();
    if (!isCurrent || !isHeir || this->bequeathing)
        return;
    wire::Envelope answer;
    answer.mutable_handoff_taken()->set_endpoint(handoff.endpoint());
    answer.mutable_handoff_taken()->set_roster_version(handoff.roster_version());
    if (!endpoint.authority.holdsFirst) {
        endpoint.authority = AuthorityState::first();
        wire::Residual residual;
        residual.set_endpoint(handoff.endpoint());
        residual.set_in_flight(handoff.in_flight());
        this->domain.recordResidual(envelope.from(), residual);
        const auto& state = handoff.state();
        endpoint.lifecycle.takeOver(state.boot_id(), state.warm(), state.warm_limit());
        for (const auto& placement : handoff.placements())
            endpoint.placements.remember({ placement.chat(), placement.endpoint() }, this->clock.now());
        this->metrics.add(Incident::HandoffTaken);
    }
    this->link.send(envelope.from(), std::move(answer));
}

void Handoffs::confirm(const wire::HandoffTaken& taken, OwnedEndpoint& endpoint)
{
    const bool isCurrent = taken.roster_version() == this->domain.roster().version;
    if (!endpoint.authority.handingOff || !isCurrent)
        return;
    endpoint.authority = AuthorityState {};
    this->metrics.add(Incident::HandoffSent);
    this->domain.sendHeartbeatsNow();
}

} // namespace berylwing
