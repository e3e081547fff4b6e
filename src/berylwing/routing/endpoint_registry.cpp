#include "berylwing/routing/endpoint_registry.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <cmath>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr Duration kReviewInterval { 200 };
constexpr Duration kProbeTimeout { 1000 };
constexpr std::size_t kStandIns = 2;

} // namespace

std::uint32_t LoadMean::bound(double multiple) const noexcept
{
    if (this->engines == 0)
        return 1;
    const auto mean = (this->inFlight + 1.0) / this->engines;
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(std::ceil(multiple * mean)));
}

EndpointRegistry::EndpointRegistry(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
    Metrics& hostMetrics, EndpointAccess endpointAccess, double multiple)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { failureDomain }
    , metrics { hostMetrics }
    , access { std::move(endpointAccess) }
    , authority { failureDomain }
    , handoffs { hostClock, hostLink, failureDomain, hostMetrics, this->authority }
    , loadMultiple { multiple }
{
    for (const auto& [name, object] : this->catalog.endpoints()) {
        if (object.domain == this->link.identity().domain)
            this->endpoints.emplace(name, new OwnedEndpoint { object, this->clock });
    }
    this->catalog.listen([this](const VersionedObject& object) { this->onCatalogChange(object); });
    this->domain.onRosterChange([this] { this->reviewAll(); });
    this->link.handle(wire::Envelope::kHandoff, [this](const wire::Envelope& envelope) {
        if (const auto endpoint = this->find(envelope.handoff().endpoint()))
            this->handoffs.take(envelope, *endpoint);
    });
    this->link.handle(wire::Envelope::kHandoffTaken, [this](const wire::Envelope& envelope) {
        if (const auto endpoint = this->find(envelope.handoff_taken().endpoint()))
            this->handoffs.confirm(envelope.handoff_taken(), *endpoint);
    });
    this->link.handle(wire::Envelope::kEndpointState,
        [this](const wire::Envelope& envelope) { this->onEndpointState(envelope.endpoint_state()); });
    this->link.handle(wire::Envelope::kPlaced, [this](const wire::Envelope& envelope) {
        const auto& placed = envelope.placed();
        if (const auto endpoint = this->find(placed.first_endpoint()))
            endpoint->placements.remember({ placed.chat(), placed.endpoint() }, this->clock.now());
    });
    this->domain.setHeartbeatContentProvider([this] { return this->describeBeat(); });
}

FailureDomain::HeartbeatContent EndpointRegistry::describeBeat() const
{
    FailureDomain::HeartbeatContent content;
    std::map<std::string, wire::ModelLoad, std::less<>> loads;
    for (const auto& [name, endpoint] : this->endpoints) {
        const bool holdsFirst = endpoint->authority.holdsFirst;
        if (!holdsFirst && endpoint->inFlight() == 0)
            continue;
        const auto& ranking = this->domain.ranking(name);
        if (!ranking.empty() && ranking.front() != this->domain.selfHost()) {
            wire::Residual residual;
            residual.set_endpoint(name);
            residual.set_in_flight(endpoint->inFlight());
            residual.set_holds_first(holdsFirst);
            content.residuals[ranking.front()].push_back(std::move(residual));
        }
        if (!holdsFirst || endpoint->configuration.kind != EndpointKind::Engine)
            continue;
        auto& load = loads[endpoint->configuration.serves];
        load.set_model(endpoint->configuration.serves);
        load.set_in_flight(load.in_flight() + endpoint->inFlight());
        load.set_engines(load.engines() + 1);
    }
    for (auto& [model, load] : loads)
        content.loads.push_back(std::move(load));
    return content;
}

OwnedEndpointPtr EndpointRegistry::find(std::string_view name) const
{
    const auto found = this->endpoints.find(name);
    return found == this->endpoints.end() ? nullptr : found->second;
}

std::uint32_t EndpointRegistry::allowance(const OwnedEndpoint& endpoint) const
{
    return this->authority.allowance(endpoint.configuration.name, endpoint.authority, endpoint.lifecycle.limit());
}

std::optional<Refusal> EndpointRegistry::refusal(
    OwnedEndpoint& endpoint, const wire::Request& request, const LoadMean& observed) const
{
    const auto& name = endpoint.configuration.name;
    if (endpoint.lifecycle.limit() == 0 || this->catalog.isDomainOut(endpoint.configuration.domain))
        return Refusal::EndpointLeaving;
    if (!endpoint.authority.holdsFirst && !this->authority.isStandIn(name))
        return this->authority.isFirst(name) ? Refusal::OwnerInDoubt : Refusal::NotOwner;
    const auto allowed = this->allowance(endpoint);
    if (allowed == 0)
        return Refusal::OwnerInDoubt;
    if (endpoint.inFlight() >= allowed)
        return endpoint.lifecycle.state() == LifecycleState::Warm ? Refusal::EndpointAtBound : Refusal::EndpointCold;
    const auto now = this->clock.now();
    if (!endpoint.shares.allows(request.workspace(), request.weight(), endpoint.inFlight(), allowed, now))
        return Refusal::OverFairShare;
    if (endpoint.configuration.kind == EndpointKind::Service)
        return std::nullopt;
    const auto mean = this->loadMean(endpoint.configuration.serves);
    const auto bound = std::max(mean.bound(this->loadMultiple), observed.bound(this->loadMultiple));
    if (endpoint.inFlight() >= bound)
        return Refusal::EndpointAtBound;
    return std::nullopt;
}

std::optional<Refusal> EndpointRegistry::refusalToSend(const OwnedEndpoint& endpoint) const
{
    if (endpoint.lifecycle.limit() == 0 || this->catalog.isDomainOut(endpoint.configuration.domain))
        return Refusal::EndpointLeaving;
    if (endpoint.inFlight() > this->allowance(endpoint))
        return Refusal::OwnerInDoubt;
    return std::nullopt;
}

LoadMean EndpointRegistry::loadMean(std::string_view model) const
{
    LoadMean mean;
    for (const auto& [name, endpoint] : this->endpoints) {
        const bool isSender = endpoint->authority.holdsFirst || this->authority.isStandIn(name);
        if (endpoint->configuration.serves != model || !isSender)
            continue;
        mean.inFlight += endpoint->inFlight();
        ++mean.engines;
    }
    for (const auto& [host, peer] : this->domain.peers()) {
        for (const auto& load : peer.loads) {
            if (load.model() != model || this->domain.isSilent(host))
                continue;
            mean.inFlight += load.in_flight();
            mean.engines += load.engines();
        }
    }
    return mean;
}

std::size_t EndpointRegistry::totalInFlight() const
{
    std::size_t total = 0;
    for (const auto& [name, endpoint] : this->endpoints)
        total += endpoint->inFlight();
    return total;
}

void EndpointRegistry::observeHead(OwnedEndpoint& endpoint, const EndpointHead& head)
{
    if (endpoint.lifecycle.observeBoot(head.bootId))
        this->noteCold(endpoint);
    this->tellState(endpoint);
}

void EndpointRegistry::observeSuccess(OwnedEndpoint& endpoint)
{
    if (endpoint.configuration.kind == EndpointKind::Service)
        endpoint.lifecycle.observeWarm();
    endpoint.lifecycle.observeSuccess();
    this->tellState(endpoint);
}

void EndpointRegistry::observeFailure(OwnedEndpoint& endpoint)
{
    this->metrics.add(Incident::EndpointDied);
    if (endpoint.lifecycle.observeFailure())
        this->noteCold(endpoint);
    this->tellState(endpoint);
}

void EndpointRegistry::noteCold(OwnedEndpoint& endpoint)
{
    endpoint.recentChats.clear();
    this->metrics.add(Incident::EndpointColdAgain);
}

Task<void> EndpointRegistry::run()
{
    while (true) {
        this->reviewAll();
        for (const auto& [name, endpoint] : this->endpoints) {
            if (endpoint->probing || (!endpoint->authority.holdsFirst && !this->authority.isStandIn(name)))
                continue;
            endpoint->probing = true;
            spawn(this->clock.executor(), "probe", this->probe(endpoint));
        }
        co_await this->clock.sleepFor(kReviewInterval);
    }
}

bool EndpointRegistry::holdsNothing() const
{
    return std::none_of(this->endpoints.begin(), this->endpoints.end(), [this](const auto& entry) {
        return entry.second->authority.holdsFirst && !this->domain.ranking(entry.first).empty();
    });
}

void EndpointRegistry::onCatalogChange(const VersionedObject& object)
{
    if (object.kind != ObjectKind::Endpoint)
        return;
    const auto* configured = this->catalog.endpoint(object.name);
    const auto known = this->find(object.name);
    if (configured == nullptr || configured->domain != this->link.identity().domain) {
        if (known)
            known->lifecycle.remove();
        this->endpoints.erase(object.name);
    } else if (known) {
        known->configure(*configured);
    } else {
        this->endpoints.emplace(object.name, new OwnedEndpoint { *configured, this->clock });
    }
}

void EndpointRegistry::reviewAll()
{
    // Hosts that are new in the roster know nothing yet.
    if (this->toldAtRoster != this->domain.roster().version)
        this->toldStates.clear();
    this->toldAtRoster = this->domain.roster().version;
    for (const auto& [name, endpoint] : this->endpoints)
        this->review(*endpoint);
}

void EndpointRegistry::review(OwnedEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    // A handoff sent at an older roster may or may not have been taken, so the place is given up and claimed anew.
    const bool isHandoffStale
        = endpoint.authority.handingOff && endpoint.authority.handoffVersion != this->domain.roster().version;
    if (isHandoffStale || !this->domain.isMember())
        endpoint.authority = AuthorityState {};
    if (!endpoint.authority.holdsFirst && this->authority.canClaimFirst(name)) {
        endpoint.authority = AuthorityState::first();
        this->tellState(endpoint);
    }
    if (endpoint.authority.holdsFirst && (this->handoffs.isBequeathing() || !this->authority.isFirst(name)))
        this->handoffs.offer(endpoint);
    this->noteDoubt(endpoint);
    this->tellState(endpoint);
}

void EndpointRegistry::noteDoubt(OwnedEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    const bool isStandIn = !endpoint.authority.holdsFirst && this->authority.isStandIn(name);
    if (isStandIn && !endpoint.wasStandIn) {
        endpoint.standInSince = this->clock.now();
        endpoint.authority.firstDrained = false;
        this->metrics.add(Incident::OwnershipLapsed);
    }
    endpoint.wasStandIn = isStandIn;
    const bool inDoubt = this->authority.isInDoubt(name, endpoint.authority);
    if (inDoubt != endpoint.wasInDoubt)
        this->metrics.add(inDoubt ? Incident::DoubtBegan : Incident::DoubtEnded);
    endpoint.wasInDoubt = inDoubt;
}

void EndpointRegistry::bequeathAll()
{
    this->handoffs.bequeath();
    this->domain.setLeaving();
    this->domain.sendHeartbeatsNow();
    this->reviewAll();
}

void EndpointRegistry::onEndpointState(const wire::EndpointState& state)
{
    const auto endpoint = this->find(state.endpoint());
    if (!endpoint || endpoint->authority.holdsFirst)
        return;
    endpoint->lifecycle.observeCold();
    endpoint->lifecycle.takeOver(state.boot_id(), state.warm(), state.warm_limit());
}

void EndpointRegistry::tellState(const OwnedEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    if (!endpoint.authority.holdsFirst)
        return;
    const auto state = describeState(endpoint);
    const auto told = this->toldStates.find(name);
    const bool isKnown = told != this->toldStates.end() && told->second.boot_id() == state.boot_id()
        && told->second.warm() == state.warm() && told->second.warm_limit() == state.warm_limit();
    if (isKnown)
        return;
    this->toldStates[name] = state;
    const auto& ranking = this->domain.ranking(name);
    for (std::size_t rank = 1; rank <= kStandIns && rank < ranking.size(); ++rank) {
        wire::Envelope envelope;
        *envelope.mutable_endpoint_state() = state;
        this->link.send(ranking[rank], std::move(envelope));
    }
}

Task<void> EndpointRegistry::probe(OwnedEndpointPtr endpoint)
{
    const auto askedAt = this->clock.now();
    try {
        const auto report = co_await this->access.probe(endpoint->configuration, askedAt + kProbeTimeout);
        this->takeReport(*endpoint, report, askedAt);
    } catch (const EndpointError& error) {
        if (error.fault() != EndpointFault::Silent)
            this->observeFailure(*endpoint);
    }
    co_await this->clock.sleepFor(std::max(Duration {}, askedAt + kProbeTimeout - this->clock.now()));
    endpoint->probing = false;
}

void EndpointRegistry::takeReport(OwnedEndpoint& endpoint, const LoadReport& report, TimePoint askedAt)
{
    bool turnedCold = endpoint.lifecycle.observeBoot(report.bootId);
    if (report.warm)
        endpoint.lifecycle.observeWarm();
    else
        turnedCold = endpoint.lifecycle.observeCold() || turnedCold;
    if (turnedCold)
        this->noteCold(endpoint);
    this->tellState(endpoint);
    if (endpoint.authority.holdsFirst)
        return;
    const bool sampledInDoubt = askedAt - report.age >= endpoint.standInSince;
    const auto limit = endpoint.lifecycle.limit();
    if (report.reportsLoad && sampledInDoubt && report.running <= doubtShare(limit, 0))
        endpoint.authority.firstDrained = true;
    const auto* service = this->catalog.service(endpoint.configuration.serves);
    if (!report.reportsLoad && service != nullptr && askedAt - endpoint.standInSince > service->deadline)
        endpoint.authority.firstDrained = true;
}

} // namespace berylwing
