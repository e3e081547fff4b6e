#include "berylwing/host/host.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr Duration kDrainCheckInterval { 50 };
constexpr Duration kAnnounceRetryDelay { 200 };
constexpr Duration kAnnounceTimeout { 2000 };
constexpr Duration kHostLeavingRetryDelay { 100 };

} // namespace

Host::Host(Clock& hostClock, HostDependencies dependencies)
    : clock { hostClock }
    , steps { std::move(dependencies.stepHook) }
    , link { this->clock, dependencies.identity, std::move(dependencies.transport), this->hostMetrics }
    , platform { std::move(dependencies.platform), this->hostMetrics }
    , failureDomain { this->clock, this->link, this->hostCatalog, this->hostMetrics }
    , watcher { this->clock, this->link, this->hostCatalog, this->failureDomain, this->platform, this->hostMetrics,
        std::move(dependencies.seeds) }
    , registrar { this->clock, this->link, this->hostCatalog, this->failureDomain, this->platform }
    , endpointRegistry { this->clock, this->link, this->hostCatalog, this->failureDomain, this->hostMetrics,
        dependencies.endpoints, dependencies.loadMultiple }
    , crashRegister { this->clock, this->link, this->failureDomain, this->hostMetrics }
    , attemptServer { this->clock, this->link, this->endpointRegistry, this->crashRegister, this->hostMetrics,
        dependencies.endpoints, this->steps }
    , dispatcher { this->clock, this->link, this->hostCatalog, this->failureDomain, this->hostMetrics, this->steps }
    , ledgerOwner { this->clock, std::move(dependencies.wallClock), this->link, this->hostCatalog, this->failureDomain,
        this->platform, this->dispatcher, this->hostMetrics, this->steps }
    , orderClient { this->clock, this->link, this->hostCatalog, this->failureDomain, this->hostMetrics, this->steps }
    , contractLimits { this->clock, this->hostCatalog }
    , entry { this->clock, this->hostCatalog, this->contractLimits, this->dispatcher, this->orderClient,
        this->hostMetrics, this->steps }
{
}

bool Host::isReady() const
{
    const auto& identity = this->link.identity();
    return this->watcher.isLoaded() && !this->isStopping && !this->hostCatalog.isHostOutOfService(identity.host)
        && !this->hostCatalog.isDomainOutOfService(identity.domain);
}

void Host::start() { spawn(this->clock.executor(), "bring-up", this->startTasks()); }

Task<void> Host::startTasks()
{
    co_await this->watcher.load();
    const auto& executor = this->clock.executor();
    spawn(executor, "link", this->link.run());
    spawn(executor, "watcher", this->watcher.run());
    spawn(executor, "beats", this->failureDomain.run());
    spawn(executor, "registrar", this->registrar.run());
    spawn(executor, "endpoints", this->endpointRegistry.run());
    spawn(executor, "attempts", this->attemptServer.run());
    spawn(executor, "ledger", this->ledgerOwner.run());
    spdlog::info("configuration loaded through revision {}", this->hostCatalog.completeRevision());
}

Task<Outcome> Host::handle(const CallerRequest& caller, const ResponseSink& sink)
{
    if (!this->isStopping && this->watcher.isLoaded())
        co_return co_await this->entry.handle(caller, sink);
    this->hostMetrics.add(Refusal::HostLeaving);
    co_return NotRun { Refusal::HostLeaving, kHostLeavingRetryDelay };
}

Task<void> Host::stop(Duration timeout)
{
    this->isStopping = true;
    const auto deadline = this->clock.now() + timeout;
    const auto announceUntil = std::min(deadline, this->clock.now() + kAnnounceTimeout);
    bool isAnnounced = false;
    while (!isAnnounced && this->clock.now() < announceUntil) {
        try {
            isAnnounced = co_await this->registrar.announceLeaving();
        } catch (const PlatformError& error) {
            spdlog::warn("announcing that the host leaves failed, retrying: {}", error.what());
        }
        if (!isAnnounced)
            co_await this->clock.sleepFor(kAnnounceRetryDelay);
    }
    if (!isAnnounced)
        this->endpointRegistry.handOffAll();
    co_await this->waitUntilDrained(deadline);
    co_await this->ledgerOwner.relinquishAll(deadline);
    try {
        co_await this->registrar.removeSelf();
    } catch (const PlatformError& error) {
        spdlog::warn("removing the host from the roster failed: {}", error.what());
    }
}

Task<void> Host::waitUntilDrained(TimePoint deadline)
{
    const auto isDrained = [this] {
        return this->endpointRegistry.hasHandedOffAll() && this->entry.isIdle() && this->attemptServer.isIdle()
            && this->ledgerOwner.isIdle();
    };
    while (!isDrained() && this->clock.now() < deadline)
        co_await this->clock.sleepFor(kDrainCheckInterval);
    if (!isDrained())
        spdlog::warn("drain timeout expired; requests still in flight end with an error");
}

nlohmann::json Host::status() const
{
    auto endpoints = nlohmann::json::array();
    for (const auto& [name, endpoint] : this->endpointRegistry.all()) {
        if (!endpoint->ownership.isOwner && endpoint->inFlight() == 0)
            continue;
        endpoints.push_back({ { "name", name }, { "lifecycle", kLifecycleNames[endpoint->lifecycle.state()] },
            { "in_flight", endpoint->inFlight() }, { "allowance", this->endpointRegistry.allowance(*endpoint) },
            { "owned", endpoint->ownership.isOwner } });
    }
    auto peers = nlohmann::json::array();
    for (const auto& [host, peer] : this->failureDomain.peers())
        peers.push_back({ { "host", host }, { "silent", this->failureDomain.isSilent(host) },
            { "confirms", this->failureDomain.hasLeaseFrom(peer) } });
    return { { "host", this->link.identity().host }, { "domain", this->link.identity().domain },
        { "ready", this->isReady() }, { "configuration", this->hostCatalog.completeRevision() },
        { "roster", this->failureDomain.roster().version }, { "endpoints", endpoints }, { "peers", peers } };
}

} // namespace berylwing
