#include "berylwing/routing/endpoint_registry.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <cmath>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Interval at which ownership is checked and probes are started. */
constexpr Duration kReconcileInterval { 200 };
/** Timeout of a probe, and the minimum interval between probes of one endpoint. */
constexpr Duration kProbeTimeout { 1000 };
/** Number of hosts after the owner in the ranking that receive the lifecycle of an endpoint. */
constexpr std::size_t kBackupHosts = 2;

} // namespace

std::uint32_t PoolLoad::boundPerEngine(double multiple) const noexcept
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
    , ownershipPolicy { failureDomain }
    , handoffs { hostClock, hostLink, failureDomain, hostMetrics, this->ownershipPolicy }
    , loadMultiple { multiple }
{
    for (const auto& [name, object] : this->catalog.endpoints()) {
        if (object.domain == this->link.identity().domain)
            this->endpoints.emplace(name, new RegisteredEndpoint { object, this->clock });
    }
    this->catalog.addListener([this](const VersionedObject& object) { this->onCatalogChange(object); });
    this->domain.onRosterChange([this] { this->reconcileAll(); });
    this->link.handle(wire::Envelope::kHandoff, [this](const wire::Envelope& envelope) {
        if (const auto endpoint = this->find(envelope.handoff().endpoint()))
            this->handoffs.accept(envelope, *endpoint);
    });
    this->link.handle(wire::Envelope::kHandoffTaken, [this](const wire::Envelope& envelope) {
        if (const auto endpoint = this->find(envelope.handoff_taken().endpoint()))
            this->handoffs.complete(envelope.handoff_taken(), *endpoint);
    });
    this->link.handle(wire::Envelope::kEndpointState,
        [this](const wire::Envelope& envelope) { this->onEndpointState(envelope.endpoint_state()); });
    this->link.handle(wire::Envelope::kPlaced, [this](const wire::Envelope& envelope) {
        const auto& placed = envelope.placed();
        if (const auto endpoint = this->find(placed.first_endpoint()))
            endpoint->placements.insert({ placed.chat(), placed.endpoint() }, this->clock.now());
    });
    this->domain.setHeartbeatContentProvider([this] { return this->describeHeartbeat(); });
}

FailureDomain::HeartbeatContent EndpointRegistry::describeHeartbeat() const
{
    FailureDomain::HeartbeatContent content;
    std::map<std::string, wire::ModelLoad, std::less<>> loads;
    for (const auto& [name, endpoint] : this->endpoints) {
        const bool isOwner = endpoint->ownership.isOwner;
        if (!isOwner && endpoint->inFlight() == 0)
            continue;
        // The preferred owner subtracts from its allowance what other hosts still have in flight.
        const auto& ranking = this->domain.ranking(name);
        if (!ranking.empty() && ranking.front() != this->domain.selfHost()) {
            wire::Residual residual;
            residual.set_endpoint(name);
            residual.set_in_flight(endpoint->inFlight());
            residual.set_holds_first(isOwner);
            content.residuals[ranking.front()].push_back(std::move(residual));
        }
        if (!isOwner || endpoint->configuration.kind != EndpointKind::Engine)
            continue;
        auto& load = loads[endpoint->configuration.servedName];
        load.set_model(endpoint->configuration.servedName);
        load.set_in_flight(load.in_flight() + endpoint->inFlight());
        load.set_engines(load.engines() + 1);
    }
    for (auto& [model, load] : loads)
        content.loads.push_back(std::move(load));
    return content;
}

RegisteredEndpointPtr EndpointRegistry::find(std::string_view name) const
{
    const auto found = this->endpoints.find(name);
    return found == this->endpoints.end() ? nullptr : found->second;
}

std::uint32_t EndpointRegistry::allowance(const RegisteredEndpoint& endpoint) const
{
    return this->ownershipPolicy.allowance(endpoint.configuration.name, endpoint.ownership, endpoint.lifecycle.limit());
}

std::optional<Refusal> EndpointRegistry::checkAdmission(
    RegisteredEndpoint& endpoint, const wire::Request& request, const PoolLoad& observed) const
{
    const auto& name = endpoint.configuration.name;
    if (endpoint.lifecycle.limit() == 0 || this->catalog.isDomainOutOfService(endpoint.configuration.domain))
        return Refusal::EndpointLeaving;
    if (!endpoint.ownership.isOwner && !this->ownershipPolicy.isActingOwner(name))
        return this->ownershipPolicy.isPreferredOwner(name) ? Refusal::OwnerInDoubt : Refusal::NotOwner;
    const auto allowed = this->allowance(endpoint);
    if (allowed == 0)
        return Refusal::OwnerInDoubt;
    if (endpoint.inFlight() >= allowed)
        return endpoint.lifecycle.state() == LifecycleState::Warm ? Refusal::EndpointAtBound : Refusal::EndpointCold;
    const auto now = this->clock.now();
    if (!endpoint.shares.canAdmit(request.workspace(), request.weight(), endpoint.inFlight(), allowed, now))
        return Refusal::OverFairShare;
    if (endpoint.configuration.kind == EndpointKind::Service)
        return std::nullopt;
    const auto pool = this->poolLoad(endpoint.configuration.servedName);
    // The loads from heartbeats may be older than what the entry host has just seen; the higher bound applies.
    const auto bound = std::max(pool.boundPerEngine(this->loadMultiple), observed.boundPerEngine(this->loadMultiple));
    if (endpoint.inFlight() >= bound)
        return Refusal::EndpointAtBound;
    return std::nullopt;
}

std::optional<Refusal> EndpointRegistry::checkSend(const RegisteredEndpoint& endpoint) const
{
    if (endpoint.lifecycle.limit() == 0 || this->catalog.isDomainOutOfService(endpoint.configuration.domain))
        return Refusal::EndpointLeaving;
    if (endpoint.inFlight() > this->allowance(endpoint))
        return Refusal::OwnerInDoubt;
    return std::nullopt;
}

PoolLoad EndpointRegistry::poolLoad(std::string_view model) const
{
    PoolLoad pool;
    for (const auto& [name, endpoint] : this->endpoints) {
        const bool canSend = endpoint->ownership.isOwner || this->ownershipPolicy.isActingOwner(name);
        if (endpoint->configuration.servedName != model || !canSend)
            continue;
        pool.inFlight += endpoint->inFlight();
        ++pool.engines;
    }
    for (const auto& [host, peer] : this->domain.peers()) {
        for (const auto& load : peer.loads) {
            if (load.model() != model || this->domain.isSilent(host))
                continue;
            pool.inFlight += load.in_flight();
            pool.engines += load.engines();
        }
    }
    return pool;
}

std::size_t EndpointRegistry::totalInFlight() const
{
    std::size_t total = 0;
    for (const auto& [name, endpoint] : this->endpoints)
        total += endpoint->inFlight();
    return total;
}

void EndpointRegistry::observeHead(RegisteredEndpoint& endpoint, const EndpointHead& head)
{
    if (endpoint.lifecycle.observeBootId(head.bootId))
        this->handleTurnedCold(endpoint);
    this->publishState(endpoint);
}

void EndpointRegistry::observeSuccess(RegisteredEndpoint& endpoint)
{
    // A service does not report whether it is warm, so a complete response counts as such.
    if (endpoint.configuration.kind == EndpointKind::Service)
        endpoint.lifecycle.observeWarm();
    endpoint.lifecycle.observeSuccess();
    this->publishState(endpoint);
}

void EndpointRegistry::observeFailure(RegisteredEndpoint& endpoint)
{
    this->metrics.add(Incident::EndpointDied);
    if (endpoint.lifecycle.observeFailure())
        this->handleTurnedCold(endpoint);
    this->publishState(endpoint);
}

void EndpointRegistry::handleTurnedCold(RegisteredEndpoint& endpoint)
{
    endpoint.recentChats.clear();
    this->metrics.add(Incident::EndpointColdAgain);
}

Task<void> EndpointRegistry::run()
{
    while (true) {
        this->reconcileAll();
        for (const auto& [name, endpoint] : this->endpoints) {
            if (endpoint->isProbing || (!endpoint->ownership.isOwner && !this->ownershipPolicy.isActingOwner(name)))
                continue;
            endpoint->isProbing = true;
            spawn(this->clock.executor(), "probe", this->probe(endpoint));
        }
        co_await this->clock.sleepFor(kReconcileInterval);
    }
}

bool EndpointRegistry::hasHandedOffAll() const
{
    return std::none_of(this->endpoints.begin(), this->endpoints.end(), [this](const auto& entry) {
        return entry.second->ownership.isOwner && !this->domain.ranking(entry.first).empty();
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
        this->endpoints.emplace(object.name, new RegisteredEndpoint { *configured, this->clock });
    }
}

void EndpointRegistry::reconcileAll()
{
    // Hosts that are new in the roster have not received any state yet.
    if (this->publishedRosterVersion != this->domain.roster().version)
        this->publishedStates.clear();
    this->publishedRosterVersion = this->domain.roster().version;
    for (const auto& [name, endpoint] : this->endpoints)
        this->reconcile(*endpoint);
}

void EndpointRegistry::reconcile(RegisteredEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    // The receiver ignores a handoff with an older roster version, unless it had accepted it before the change.
    // Ownership is therefore given up, and claimed again only if no peer reports it.
    const bool isHandoffStale
        = endpoint.ownership.isHandingOff && endpoint.ownership.handoffRosterVersion != this->domain.roster().version;
    if (isHandoffStale || !this->domain.isMember())
        endpoint.ownership = OwnershipState {};
    if (!endpoint.ownership.isOwner && this->ownershipPolicy.canClaimOwnership(name)) {
        endpoint.ownership = OwnershipState::owner();
        this->publishState(endpoint);
    }
    if (endpoint.ownership.isOwner && (this->handoffs.isDraining() || !this->ownershipPolicy.isPreferredOwner(name)))
        this->handoffs.offer(endpoint);
    this->trackOwnershipChanges(endpoint);
    this->publishState(endpoint);
}

void EndpointRegistry::trackOwnershipChanges(RegisteredEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    const bool isActingOwner = !endpoint.ownership.isOwner && this->ownershipPolicy.isActingOwner(name);
    if (isActingOwner && !endpoint.wasActingOwner) {
        endpoint.actingOwnerSince = this->clock.now();
        endpoint.ownership.isLoadWithinOwnerShare = false;
        this->metrics.add(Incident::OwnershipLapsed);
    }
    endpoint.wasActingOwner = isActingOwner;
    const bool isDegraded = this->ownershipPolicy.isDegraded(name, endpoint.ownership);
    if (isDegraded != endpoint.wasDegraded)
        this->metrics.add(isDegraded ? Incident::DoubtBegan : Incident::DoubtEnded);
    endpoint.wasDegraded = isDegraded;
}

void EndpointRegistry::handOffAll()
{
    this->handoffs.startDraining();
    this->domain.setLeaving();
    this->domain.sendHeartbeatsNow();
    this->reconcileAll();
}

void EndpointRegistry::onEndpointState(const wire::EndpointState& state)
{
    const auto endpoint = this->find(state.endpoint());
    if (!endpoint || endpoint->ownership.isOwner)
        return;
    endpoint->lifecycle.observeCold();
    endpoint->lifecycle.adoptState(state.boot_id(), state.warm(), state.warm_limit());
}

void EndpointRegistry::publishState(const RegisteredEndpoint& endpoint)
{
    const auto& name = endpoint.configuration.name;
    if (!endpoint.ownership.isOwner)
        return;
    const auto state = describeState(endpoint);
    const auto published = this->publishedStates.find(name);
    const bool isPublished = published != this->publishedStates.end() && published->second.boot_id() == state.boot_id()
        && published->second.warm() == state.warm() && published->second.warm_limit() == state.warm_limit();
    if (isPublished)
        return;
    this->publishedStates[name] = state;
    const auto& ranking = this->domain.ranking(name);
    for (std::size_t rank = 1; rank <= kBackupHosts && rank < ranking.size(); ++rank) {
        wire::Envelope envelope;
        *envelope.mutable_endpoint_state() = state;
        this->link.send(ranking[rank], std::move(envelope));
    }
}

Task<void> EndpointRegistry::probe(RegisteredEndpointPtr endpoint)
{
    const auto probedAt = this->clock.now();
    try {
        const auto report = co_await this->access.probe(endpoint->configuration, probedAt + kProbeTimeout);
        this->applyLoadReport(*endpoint, report, probedAt);
    } catch (const EndpointError& error) {
        if (error.fault() != EndpointFault::Silent)
            this->observeFailure(*endpoint);
    }
    co_await this->clock.sleepFor(std::max(Duration {}, probedAt + kProbeTimeout - this->clock.now()));
    endpoint->isProbing = false;
}

void EndpointRegistry::applyLoadReport(RegisteredEndpoint& endpoint, const LoadReport& report, TimePoint probedAt)
{
    bool turnedCold = endpoint.lifecycle.observeBootId(report.bootId);
    if (report.warm)
        endpoint.lifecycle.observeWarm();
    else
        turnedCold = endpoint.lifecycle.observeCold() || turnedCold;
    if (turnedCold)
        this->handleTurnedCold(endpoint);
    this->publishState(endpoint);
    if (endpoint.ownership.isOwner)
        return;
    // An acting owner has to know that the endpoint's load no longer exceeds the silent owner's share. Without a
    // report, all requests of the silent owner have ended after the deadline of the service.
    const bool isSampledWhileActing = probedAt - report.age >= endpoint.actingOwnerSince;
    const auto limit = endpoint.lifecycle.limit();
    if (report.reportsLoad && isSampledWhileActing && report.running <= degradedShare(limit, 0))
        endpoint.ownership.isLoadWithinOwnerShare = true;
    const auto* service = this->catalog.service(endpoint.configuration.servedName);
    if (!report.reportsLoad && service != nullptr && probedAt - endpoint.actingOwnerSince > service->deadline)
        endpoint.ownership.isLoadWithinOwnerShare = true;
}

} // namespace berylwing
