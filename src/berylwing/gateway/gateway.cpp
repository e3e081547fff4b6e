#include "berylwing/gateway/gateway.hpp"

#include "berylwing/core/finding.hpp"
#include "berylwing/core/json_text.hpp"
#include <algorithm>
#include <limits>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Long-poll timeout of the plan watch. It bounds the plan's age when an outage of the store begins; the rest of the
 * lease is left for serving without the store. */
constexpr Duration kPlanWatchTimeout { 1000 };
/** Time that a host needs to notice a stale watcher, query the store itself and apply the missed changes. It is
 * subtracted from a change deadline to get the age at which a watcher's confirmation is no longer trusted: the
 * watcher's connection to the store may have gone silent. */
constexpr Duration kCatchUpTimeout { 400 };
/** Long-poll timeout of the endpoint watch: a silent connection to the store must be noticed before endpoints that
 * leave have to be out of use. */
constexpr Duration kEndpointWatchTimeout { 2500 };
/** Long-poll timeout of the domain watch, for the same reason; a withdrawn domain may stay in use for 5 s. */
constexpr Duration kDomainWatchTimeout { 4000 };
/** Delay that batches endpoint changes, which come in bursts; a leaving endpoint may stay in use for 2 s. */
constexpr Duration kEndpointBatchDelay { 300 };
/** Safety margin at the end of a lease, because the clocks of two hosts drift. */
constexpr Duration kLeaseMargin { 100 };
/** Long-poll timeout of the host watch. It may be longer, as hosts only determine the shares of fleet-wide limits. */
constexpr Duration kHostWatchTimeout { 10'000 };
/** Delay that batches host changes; hosts that start together register within 1 s. */
constexpr Duration kHostBatchDelay { 1000 };
/** Time in which the group's watcher may resend a missed change before a host fetches it; a change must apply in 2 s.
 */
constexpr Duration kFetchDelay { 500 };
/** Time between two calls of a host without access to the store while the watcher of its group also retries. The hosts
 * of a group take turns in it, as the watcher may be the one that stays without access. */
constexpr Duration kProbedRetryInterval { 3000 };
/** Time between two calls to the store for streams whose version has no endpoint: the endpoints may be gone for good.
 */
constexpr Duration kMinRefreshInterval { 300 };
constexpr Duration kMaintenanceInterval { 100 };
/** Time after which a host that has listed the others has heard each of them. */
constexpr Duration kFirstDigestsTimeout { 300 };
/** Time in which hosts that a restored store lacks have written their entries again and the others have read them. */
constexpr Duration kRegistrationTimeout { 5000 };
/** Time for which a host that starts waits for the store to acknowledge its entry before it lists the others. */
constexpr Duration kFirstRegistrationTimeout { 300 };
/** Time in which a host that starts hears the watcher of its group. */
constexpr Duration kFirstNewsTimeout { 800 };
/** Longest age of the list of endpoints at a host in touch: a watch that brings a change confirms only the time at
 * which it was sent, and the next one nothing before it ends; then the digest that tells it is on its way. */
constexpr Duration kMaxEndpointAge = 2 * kEndpointWatchTimeout + kEndpointBatchDelay + kFirstNewsTimeout;

std::string logPrefix(const GatewaySettings& settings)
{
    return "\"host\":\"" + settings.host + "\",\"domain\":\"" + settings.domain + "\",";
}

std::set<std::string, std::less<>> collectNames(const std::vector<VersionedObject>& objects)
{
    std::set<std::string, std::less<>> names;
    for (const auto& object : objects)
        names.insert(object.name);
    return names;
}

} // namespace

Gateway::Gateway(Clock& hostClock, const GatewaySettings& gatewaySettings, const GatewayProtocol& platformProtocol,
    GatewayDependencies dependencies)
    : clock { hostClock }
    , settings { gatewaySettings }
    , protocol { platformProtocol }
    , changeDeadlines { gatewaySettings.changeDeadlines }
    , log { hostClock, std::move(dependencies.logWriter), logPrefix(gatewaySettings) }
    , client { std::move(dependencies.platform), this->hostMetrics }
    , storeEra { this->hostMetrics, this->log, [this] { this->requireLists(); } }
    , registration { hostClock, this->client, gatewaySettings.host,
        { { "domain", gatewaySettings.domain }, { "address", gatewaySettings.digests.address },
            { "port", gatewaySettings.digests.port } } }
    , lease { hostClock, gatewaySettings.planLease - kLeaseMargin, gatewaySettings.changeDeadlines.plan - kLeaseMargin }
    , directory { hostClock, this->log }
    , roster { { gatewaySettings.host, gatewaySettings.domain, gatewaySettings.digests } }
    , fleet { hostClock, this->directory, gatewaySettings.host, gatewaySettings.domain, dependencies.incarnation }
    , isolationDetector { this->directory, this->roster, this->fleet, gatewaySettings.domain }
    , coldLimit { gatewaySettings.host, [this]() -> const std::vector<std::string>& { return this->roster.names(); } }
    , rateLimits { hostClock, this->directory, this->log, gatewaySettings.host,
        [this]() -> const std::vector<std::string>& { return this->roster.names(); } }
    , announcedStops { hostClock, this->directory, this->log }
    , streamVersions { hostClock, this->roster,
        [this](const HostEntry& host, const wire::FleetMessage& message) { this->exchange.send(host, message); } }
    , holders { hostClock }
    , crashes { hostClock, this->log, [this](std::uint64_t subject) { return this->roster.isFirstFor(subject); } }
    , unseenRequests { hostClock, [this] { return this->roster.names().size(); },
        [this] { return this->fleet.loadAge(); } }
    , costs { hostClock }
    , admissionMetrics { this->hostMetrics.families() }
    , admission { hostClock, gatewaySettings.host, this->makeAdmissionHooks(), this->admissionMetrics, this->log }
    , demandExchange { this->admission, this->roster }
    , placement { hostClock, this->directory, this->coldLimit, this->rateLimits, this->holders, this->unseenRequests,
        this->costs, gatewaySettings.domain }
    , retries { hostClock, gatewaySettings.retries, [this] { return this->roster.names().size(); } }
    , prober { hostClock, this->directory, dependencies.open, this->log }
    , brittleEndpoints { hostClock, this->directory,
        { [this]() -> const std::vector<std::string>& { return this->roster.names(); },
            [this](std::string_view service) { return this->unseenRequests.estimate(service); } },
        gatewaySettings.host, this->log }
    , reach { hostClock, this->directory, [this] { this->prober.suspectAll(); }, this->log }
    , relayHosts { hostClock, this->roster, this->fleet, gatewaySettings.domain, gatewaySettings.regions }
    , planFeed { hostClock, this->client, ObjectKind::RoutingPlan, { kPlanWatchTimeout, {}, true, kFetchDelay, true },
        this->makePlanHooks(), this->storeEra, this->log }
    , endpointFeed { hostClock, this->client, ObjectKind::Endpoint,
        { kEndpointWatchTimeout, kEndpointBatchDelay, false, kFetchDelay }, this->makeEndpointHooks(), this->storeEra,
        this->log }
    , domainFeed { hostClock, this->client, ObjectKind::FailureDomain, { kDomainWatchTimeout, {}, false, {} },
        this->makeDomainHooks(), this->storeEra, this->log }
    , hostFeed { hostClock, this->client, ObjectKind::Host,
        { kHostWatchTimeout, kHostBatchDelay, false, kHostBatchDelay }, this->makeHostHooks(), this->storeEra,
        this->log }
    , versionExchange { hostClock, this->roster,
        [this](const HostEntry& host, const wire::FleetMessage& message) { this->exchange.send(host, message); },
        [this](std::uint32_t service) { return this->serviceVersions.tellVersion(service); } }
    , serviceVersions { hostClock, this->directory, this->client, this->makeVersionHooks(), this->log }
    , rollouts { this->makeRollouts() }
    , exchange { this->makeExchangeDependencies(std::move(dependencies.sendToHost)) }
    , forwarder { this->makeForwarderDependencies(std::move(dependencies.open), std::move(dependencies.openHost)) }
    , startHold { hostClock }
    , stop { gatewaySettings.stopGrace }
    , answerTimes { hostClock }
{
}

ForwarderDependencies Gateway::makeForwarderDependencies(SessionFactory open, HostSessionFactory openHost)
{
    if (!this->settings.isRelayEnabled)
        openHost = nullptr;
    return { this->clock, this->protocol, [this] { return this->usablePlan(); }, this->lease, this->directory,
        this->placement, [this] { return this->fleet.loadAge(); }, this->holders, this->crashes, this->retries,
        this->unseenRequests, this->costs, this->admission, this->rateLimits, this->announcedStops,
        this->brittleEndpoints, this->streamVersions, this->serviceVersions,
        [this] { return this->refreshEndpoints(); }, std::move(open), std::move(openHost), this->reach,
        this->relayHosts, [this](GatewayEndpoint& endpoint) { this->prober.recordSilence(endpoint); },
        this->hostMetrics, this->log, this->rollouts.get() };
}

Task<bool> Gateway::refreshEndpoints()
{
    if (this->clock.now() < this->endpointFeed.confirmationTime() + kMinRefreshInterval)
        co_return true;
    const bool isRefreshed = co_await this->endpointFeed.refresh();
    co_return isRefreshed;
}

bool Gateway::isProbeDue(TimePoint triedAt) const
{
    const auto lostAt = this->planFeed.unreachableSince();
    if (!lostAt)
        return true;
    const Duration offset { static_cast<Duration::rep>(
        this->fleet.groupPosition() * static_cast<double>(kProbedRetryInterval.count())) };
    // Hosts that rely on the same watcher lose the store at about the same time.
    const auto countTurns = [&](TimePoint until) {
        return until < *lostAt + offset ? Duration::rep { 0 } : 1 + (until - *lostAt - offset) / kProbedRetryInterval;
    };
    return countTurns(this->clock.now()) > countTurns(triedAt);
}

Duration Gateway::planFetchTurn() const
{
    const auto longest = std::max(this->changeDeadlines.plan / 2 - kFetchDelay, Duration {});
    return Duration { static_cast<Duration::rep>(this->fleet.groupPosition() * static_cast<double>(longest.count())) };
}

bool Gateway::isPlanOvertaken() const
{
    const auto heardAt = this->plan ? this->fleet.findNewerPlan(this->plan->version()) : std::nullopt;
    // A store that was restored from a copy may lack the plan, which one call since then has shown.
    return heardAt && this->planFeed.confirmationTime() < *heardAt && !this->planFeed.isFetching()
        && this->clock.now() >= *heardAt + kFetchDelay + this->planFetchTurn();
}

Task<void> Gateway::fetchNewerPlan()
{
    this->isFetchingPlan = true;
    static_cast<void>(co_await this->planFeed.refresh(PlatformCallReason::NewerPlan));
    this->isFetchingPlan = false;
}

std::shared_ptr<const RoutingPlan> Gateway::usablePlan() const
{
    // A host that knows of no others would take the whole retry budget and cold rate of the fleet for its own share.
    // One that knows of no orders would take a version on trial for an ordinary one.
    const bool isComplete = this->hostFeed.isListed() && (!this->rollouts || this->rollouts->isListed());
    return isComplete ? this->plan : nullptr;
}

FleetExchangeDependencies Gateway::makeExchangeDependencies(
    std::function<void(const SocketAddress&, const std::string&)> sendToHost)
{
    return { this->clock, this->settings.domain, this->settings.host, this->settings.digests.port, this->fleet,
        this->roster, this->holders, this->crashes, this->rateLimits, this->announcedStops, this->streamVersions,
        this->demandExchange, this->storeEra, [this] { return this->plan ? this->plan->version() : 0; },
        [this] { return this->registration.isWanted(); }, this->feeds(), std::move(sendToHost), this->hostMetrics,
        this->log, this->rollouts.get(), &this->versionExchange, &this->reach, &this->relayHosts,
        &this->brittleEndpoints };
}

void Gateway::start()
{
    this->startedAt = this->clock.now();
    this->startHold.begin();
    this->admission.setEnabled(this->settings.isAdmissionEnabled);
    this->log.write(LogLine { LogEvent::Started });
    const auto& executor = this->clock.executor();
    spawn(executor, "plan feed", this->planFeed.run());
    spawn(executor, "endpoint feed", this->endpointFeed.run());
    spawn(executor, "domain feed", this->domainFeed.run());
    spawn(executor, "host feed", this->runHostFeed());
    if (this->rollouts)
        spawn(executor, "roll-out feed", this->rollouts->run());
    spawn(executor, "host entry", this->registration.run());
    spawn(executor, "maintenance", this->runMaintenance());
    spawn(executor, "digests", this->exchange.run());
    spawn(executor, "summaries", this->exchange.runSummaries());
}

Task<void> Gateway::runHostFeed()
{
    // Of two hosts that start together at least one then finds the other in its list, and introduces itself to it.
    co_await this->registration.waitUntilWritten(this->clock.now() + kFirstRegistrationTimeout);
    co_await this->hostFeed.run();
}

bool Gateway::isWatcherAwaited() const
{
    const bool mayHavePeers = !this->hostsListedAt || this->roster.names().size() > 1;
    return mayHavePeers && this->clock.now() < this->startedAt + kFirstNewsTimeout;
}

std::string_view Gateway::unreadyReason() const
{
    if (this->isStopping())
        return "stopping";
    if (!this->usablePlan() || !this->endpointFeed.isListed() || !this->domainFeed.isListed())
        return "starting";
    if (!this->lease.isValid())
        return kRefusalNames[Refusal::ConfigurationStale];
    return this->isolationDetector.isIsolated() ? "cut_off" : "";
}

void Gateway::beginStop()
{
    if (this->isStopping())
        return;
    this->stop.begin(this->clock.now());
    LogLine line { LogEvent::Stopping };
    this->log.write(line.add("in_progress", static_cast<std::int64_t>(this->requestsInProgress)));
}

void Gateway::reload(const GatewaySettings& next)
{
    this->lease.setBounds(next.planLease - kLeaseMargin, next.changeDeadlines.plan - kLeaseMargin);
    this->retries.setLimits(next.retries);
    this->changeDeadlines = next.changeDeadlines;
    this->stop.setGrace(next.stopGrace);
    this->admission.setEnabled(next.isAdmissionEnabled);
    if (this->rollouts && next.rollouts)
        this->rollouts->setLimits(*next.rollouts);
}

CallerBounds Gateway::callerBounds() const { return this->plan ? this->plan->callerBounds() : CallerBounds {}; }

StoreFeedHooks Gateway::makeFeedHooks(std::function<Duration()> watcherTtl)
{
    StoreFeedHooks hooks;
    hooks.readDocument = this->protocol.readDocument;
    hooks.isWatcher = [this] { return this->fleet.isWatcher(); };
    hooks.isWatcherAwaited = [this] { return this->isWatcherAwaited(); };
    hooks.newsTtl = watcherTtl;
    hooks.isWatchedByPeer = [this, ttl = std::move(watcherTtl)] { return this->isWatchedByPeer(ttl()); };
    // While the store is unreachable only the plan feed retries; the other feeds wait for it.
    hooks.isProbedByPeer = [this](TimePoint) { return !this->planFeed.isStoreReachable(); };
    return hooks;
}

StoreFeedHooks Gateway::makePlanHooks()
{
    auto hooks = this->makeFeedHooks([this] { return this->watcherTtl(); });
    hooks.replaceAll = [this](const std::vector<VersionedObject>& objects) {
        for (const auto& object : objects)
            this->applyPlan(object);
    };
    hooks.change = [this](const VersionedObject& object) { this->applyPlan(object); };
    hooks.confirm = [this](TimePoint when) {
        this->planConfirmedAt = std::max(this->planConfirmedAt, when);
        this->confirmPlan();
    };
    hooks.reportFailure = [this] { this->startHold.end(); };
    hooks.fetchTurn = [this] { return this->planFetchTurn(); };
    hooks.isProbedByPeer = [this](TimePoint triedAt) {
        // A watcher that reaches the store but is not trusted does not retry on behalf of others.
        const bool isWatched = this->fleet.isStoreProbed() || this->isWatchedByPeer(this->watcherTtl());
        return isWatched && !this->isProbeDue(triedAt);
    };
    return hooks;
}

StoreFeedHooks Gateway::makeEndpointHooks()
{
    auto hooks = this->makeFeedHooks([this] { return this->watcherTtl(); });
    hooks.replaceAll = [this](const std::vector<VersionedObject>& objects) {
        if (this->directory.all().empty())
            this->directory.beginFirstList();
        for (const auto& object : objects)
            this->applyEndpoint(object);
        this->directory.retain(collectNames(objects));
    };
    hooks.change = [this](const VersionedObject& object) { this->applyEndpoint(object); };
    hooks.reportRestore = [this] {
        this->directory.recordRestore();
        this->serviceVersions.recordRestore();
    };
    hooks.confirm = [this](TimePoint) { this->directory.recordStoreRegained(); };
    hooks.reportFailure = [this] { this->directory.recordStoreLost(); };
    hooks.reportOutageEnd = [this](TimePoint endedAt) { this->directory.recordOutage(endedAt); };
    return hooks;
}

StoreFeedHooks Gateway::makeDomainHooks()
{
    auto hooks = this->makeFeedHooks([this] { return this->changeDeadlines.domain - kCatchUpTimeout; });
    hooks.replaceAll = [this](const std::vector<VersionedObject>& objects) {
        this->directory.setWithdrawnDomains(collectNames(objects));
    };
    hooks.reportRestore = [this] { this->directory.keepWithdrawnDomains(); };
    hooks.change = [this](const VersionedObject& object) { this->applyDomain(object); };
    return hooks;
}

StoreFeedHooks Gateway::makeHostHooks()
{
    auto hooks = this->makeFeedHooks([] { return kHostWatchTimeout; });
    hooks.reportRestore = [this] { this->isHostListRestored = true; };
    hooks.replaceAll = [this](const std::vector<VersionedObject>& objects) {
        for (const auto& object : objects)
            this->applyHost(object);
        const auto names = collectNames(objects);
        if (std::exchange(this->isHostListRestored, false))
            this->roster.keepMissing(names, this->clock.now() + kRegistrationTimeout);
        else
            this->retainHosts(names);
        this->registration.applyList(names);
        this->logHostCount();
        if (!this->hostsListedAt)
            this->hostsListedAt = this->clock.now();
        this->confirmPlan();
    };
    hooks.change = [this](const VersionedObject& object) { this->applyHost(object); };
    return hooks;
}

ServiceVersionsHooks Gateway::makeVersionHooks()
{
    ServiceVersionsHooks hooks;
    hooks.streamLifetime
        = [this](std::string_view service) { return this->plan ? this->plan->streamLifetime(service) : Duration {}; };
    hooks.isCurrent = [this] { return this->isEndpointListCurrent(); };
    // Hosts that start together would all write before they hear each other.
    hooks.isWriter = [this] { return this->fleet.isWatcher() && !this->isWatcherAwaited(); };
    hooks.askHosts = [this](std::string service) { return this->versionExchange.ask(std::move(service)); };
    hooks.refreshEndpoints = [this] { return this->endpointFeed.refresh(); };
    hooks.isListedEra = [this](std::uint64_t era) {
        this->storeEra.observe(era, {});
        return this->endpointFeed.isCurrent() && era == this->endpointFeed.listedEra();
    };
    return hooks;
}

bool Gateway::isEndpointListCurrent() const
{
    // The plan is confirmed more often than the endpoints, so its age is the first to show that a host gets no news.
    const auto now = this->clock.now();
    const auto maxPlanAge = std::min(this->changeDeadlines.plan, this->changeDeadlines.endpoint);
    const bool isInTouch = now < this->planConfirmedAt + maxPlanAge;
    return this->endpointFeed.isCurrent() && !this->endpointFeed.missingAfter() && isInTouch
        && now < this->endpointFeed.confirmationTime() + kMaxEndpointAge;
}

Duration Gateway::watcherTtl() const
{
    return std::min(this->changeDeadlines.plan, this->changeDeadlines.endpoint) - kCatchUpTimeout;
}

bool Gateway::isWatchedByPeer(Duration ttl) const
{
    // A watcher that goes silent needs no check of its own: another host takes over while its last confirmation is
    // still valid. The plan is confirmed most often, so its age is the first to show that a watcher gets no news.
    return !this->fleet.isWatcher() && this->clock.now() < this->planFeed.watcherConfirmationTime() + ttl;
}

void Gateway::confirmPlan()
{
    // A store that was restored from a copy may hold an older plan than the other hosts, which tell their versions.
    const bool hasPeers = this->roster.names().size() > 1;
    if (!this->hostsListedAt || (hasPeers && this->clock.now() < *this->hostsListedAt + kFirstDigestsTimeout))
        return;
    if (this->plan && this->plan->version() >= this->fleet.newestPlanVersion())
        this->lease.confirm(this->planConfirmedAt);
    if (this->startHold.isActive() && this->usablePlan() && this->lease.isValid())
        this->startHold.end();
}

void Gateway::requireLists()
{
    for (auto* feed : this->feeds())
        feed->requireList();
}

void Gateway::logHostCount()
{
    const auto count = this->roster.names().size();
    if (std::exchange(this->loggedHostCount, count) == count)
        return;
    LogLine line { LogEvent::HostsCounted };
    this->log.write(line.add("hosts", static_cast<std::int64_t>(count)));
}

void Gateway::logWatcher()
{
    const bool isWatched = this->isWatchedByPeer(this->watcherTtl());
    auto name = isWatched ? this->fleet.watcher() : std::string {};
    // Between two watchers the host still relies on the news of the first one.
    if (name == this->loggedWatcher || (isWatched && name.empty()))
        return;
    LogLine line { LogEvent::WatcherChanged };
    line.add("watcher", name).add("confirmed_age_ms", this->clock.now() - this->planFeed.watcherConfirmationTime());
    this->log.write(line);
    this->loggedWatcher = std::move(name);
}

void Gateway::logReadiness()
{
    const auto reason = this->unreadyReason();
    if (std::exchange(this->loggedUnreadyReason, reason) == reason)
        return;
    LogLine line { LogEvent::ReadinessChanged };
    line.add("ready", std::int64_t { reason.empty() }).add("reason", reason).add("plan_age_ms", this->lease.age());
    this->log.write(line);
}

Task<void> Gateway::runMaintenance()
{
    while (true) {
        this->logWatcher();
        this->confirmPlan();
        if (!this->isFetchingPlan && this->isPlanOvertaken())
            spawn(this->clock.executor(), "plan refresh", this->fetchNewerPlan());
        this->logReadiness();
        this->directory.removeExpired();
        this->serviceVersions.update();
        if (this->rollouts)
            this->rollouts->update();
        this->roster.removeMissing(this->clock.now());
        this->logHostCount();
        this->prober.startDueProbes();
        this->reach.update();
        this->fleet.dropExpired();
        this->holders.removeExpired();
        this->streamVersions.report(this->serviceVersions.isReportRequired());
        this->streamVersions.removeExpired();
        this->crashes.update();
        this->admission.update();
        this->log.flush();
        co_await this->clock.sleepFor(kMaintenanceInterval);
    }
}

} // namespace berylwing
