#include "berylwing/routing/handoffs.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <utility>

namespace berylwing {

wire::EndpointState describeState(const RegisteredEndpoint& endpoint)
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
    const OwnershipPolicy& hostOwnershipPolicy)
    : clock { hostClock }
    , link { hostLink }
    , domain { failureDomain }
    , metrics { hostMetrics }
    , ownershipPolicy { hostOwnershipPolicy }
{
}

void Handoffs::offer(RegisteredEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    const auto successor = this->findSuccessor(endpoint);
    if (successor.empty())
        return;
    endpoint.ownership.isHandingOff = true;
    endpoint.ownership.handoffRosterVersion = this->domain.roster().version;
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
    handoff.set_is_bequest(this->draining);
    this->link.send(successor, std::move(envelope));
}

std::string Handoffs::findSuccessor(const RegisteredEndpoint& endpoint) const
{
    for (const auto& host : this->domain.ranking(endpoint.configuration.name)) {
        const auto peer = this->domain.peers().find(host);
        const bool isEligible
            = peer != this->domain.peers().end() && !peer->second.isLeaving && !this->domain.isSilent(host);
        if (isEligible)
            return host;
        // Only a host that is stopping may skip the preferred owner.
        if (!this->draining)
            return {};
    }
    return {};
}

void Handoffs::accept(const wire::Envelope& envelope, RegisteredEndpoint& endpoint)
{
    const auto& handoff = envelope.handoff();
    const bool isCurrent = handoff.roster_version() == this->domain.roster().version;
    const bool isSuccessor = this->ownershipPolicy.isPreferredOwner(handoff.endpoint()) || handoff.is_bequest();
    if (!isCurrent || !isSuccessor || this->draining)
        return;
    wire::Envelope answer;
    answer.mutable_handoff_taken()->set_endpoint(handoff.endpoint());
    answer.mutable_handoff_taken()->set_roster_version(handoff.roster_version());
    if (!endpoint.ownership.isOwner) {
        endpoint.ownership = OwnershipState::owner();
        wire::Residual residual;
        residual.set_endpoint(handoff.endpoint());
        residual.set_in_flight(handoff.in_flight());
        this->domain.recordResidual(envelope.from(), residual);
        const auto& state = handoff.state();
        endpoint.lifecycle.adoptState(state.boot_id(), state.warm(), state.warm_limit());
        for (const auto& placement : handoff.placements())
            endpoint.placements.insert({ placement.chat(), placement.endpoint() }, this->clock.now());
        this->metrics.add(Incident::HandoffTaken);
    }
    this->link.send(envelope.from(), std::move(answer));
}

void Handoffs::complete(const wire::HandoffTaken& taken, RegisteredEndpoint& endpoint)
{
    const bool isCurrent = taken.roster_version() == this->domain.roster().version;
    if (!endpoint.ownership.isHandingOff || !isCurrent)
        return;
    endpoint.ownership = OwnershipState {};
    this->metrics.add(Incident::HandoffSent);
    this->domain.sendHeartbeatsNow();
}

} // namespace berylwing
