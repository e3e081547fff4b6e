#include "soak/soak_parts.hpp"

#include "berylwing/core/wall_clock.hpp"
#include "berylwing/http/http_call.hpp"
#include "platform/names.hpp"
#include <algorithm>
#include <sys/wait.h>
#include <utility>

namespace berylwing::test {

namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr std::uint16_t kCallerPort = 8080;
constexpr std::uint16_t kReadinessPort = 8081;
constexpr std::uint16_t kMetricsPort = 8082;
constexpr std::uint16_t kDigestPort = 7000;
constexpr std::uint16_t kStorePort = 8223;
constexpr std::uint16_t kEndpointPort = 9000;

// Third byte of the loopback addresses of each group.
constexpr unsigned kHostGroup = 1;
constexpr unsigned kDigestProxyGroup = 2;
constexpr unsigned kCallerGroup = 3;
constexpr unsigned kStoreGroup = 4;
constexpr unsigned kStoreLinkGroup = 5;
constexpr unsigned kEndpointGroup = 6;
constexpr unsigned kEndpointLinkGroup = 7;

/** Delay before a process that has exited is restarted. */
constexpr Duration kRestartDelay { 300 };
constexpr Duration kProcessCheckInterval { 20 };
/** The load balancer probes readiness once a second and removes a host after two failed probes. */
constexpr Duration kReadinessInterval { 1000 };
constexpr int kMaxMissedProbes = 2;
constexpr Duration kStallCheckInterval { 50 };
/** Delay of this process's event loop from which its observations say nothing about the hosts. */
constexpr Duration kStallThreshold { 100 };
/** Time limit for the hosts to start and to find the store and each other. */
constexpr Duration kStartTimeout { 60'000 };
constexpr Duration kWarmUpDelay { 2000 };
constexpr Duration kRouteTimeout { 5000 };
/** Routes without callers that make the plan of every second seed so large that hosts relay only what has changed. */
constexpr unsigned kUnusedRoutes = 300;

const std::vector<std::string> kDomains { "knox-a", "knox-b", "chatt-a" };
const std::vector<std::pair<std::string, std::string>> kPermanentKeys { { "shop-key", "shop" }, { "yard-key", "yard" },
    { "county-key", "county" } };

std::string numbered(const std::string& name, unsigned number) { return name + "-" + std::to_string(number); }

} // namespace

Soak::Soak(Clock& runtimeClock, SoakOptions soakOptions)
    : clock { runtimeClock }
    , options { std::move(soakOptions) }
    , random { this->options.seed }
    , store { runtimeClock }
    , digests { runtimeClock }
{
    this->store.rewriteSpec = [this](const std::string& kind, json& spec) {
        // Hosts must reach each other through the datagram proxy.
        for (const auto& host : this->hosts) {
            if (kind == names::kHostsKind && spec.value("address", "") == host->process.addresses().digests.address)
                spec["address"] = host->proxiedDigests.address;
        }
    };
    for (const auto& [key, workspace] : kPermanentKeys) {
        this->record.workspaceOfKey.emplace(key, workspace);
        this->record.keys[key] = { key, this->clock.now() };
    }
    // The initial routes are part of the plan with which the hosts start.
    this->record.routes[0] = { "0", this->clock.now() };
    this->buildHosts();
    this->buildEndpoints();
}

Soak::~Soak() = default;

std::string Soak::blockAddress(unsigned group, unsigned number) const
{
    return "127." + std::to_string(this->options.addressBlock) + "." + std::to_string(group) + "."
        + std::to_string(number);
}

std::string Soak::createInstanceId() { return numbered("i", ++this->instanceCount); }

void Soak::buildHosts()
{
    const auto& executor = this->clock.executor();
    for (unsigned number = 1; number <= this->options.hosts; ++number) {
        GatewayAddresses addresses;
        addresses.domain = kDomains[number % kDomains.size()];
        addresses.host = numbered(addresses.domain, number);
        const auto own = this->blockAddress(kHostGroup, number);
        addresses.callers = { own, kCallerPort };
        addresses.readiness = { own, kReadinessPort };
        addresses.metrics = { own, kMetricsPort };
        addresses.digests = { own, kDigestPort };
        addresses.store = { this->blockAddress(kStoreLinkGroup, number), kStorePort };
        const SocketAddress storeAddress { this->blockAddress(kStoreGroup, number), kStorePort };
        const SocketAddress proxyAddress { this->blockAddress(kDigestProxyGroup, number), kDigestPort };
        const SocketAddress entry { this->blockAddress(kCallerGroup, number), kCallerPort };
        spawn(executor, "store", this->store.listen(storeAddress.address, storeAddress.port, addresses.host));
        this->digests.add(addresses.digests, proxyAddress);
        this->hosts.push_back(std::make_unique<Host>(
            this->clock, this->options, std::move(addresses), proxyAddress, entry, storeAddress));
    }
}

void Soak::buildEndpoints()
{
    const auto count = this->options.engines + this->options.services;
    for (unsigned number = 1; number <= count; ++number) {
        const SocketAddress own { this->blockAddress(kEndpointGroup, number), kEndpointPort };
        const SocketAddress proxyAddress { this->blockAddress(kEndpointLinkGroup, number), kEndpointPort };
        auto endpoint = std::make_unique<Endpoint>(
            this->clock, this->record, static_cast<unsigned>(this->random()), own, proxyAddress);
        endpoint->service = number <= this->options.engines ? "engines" : "desk";
        endpoint->domain = kDomains[number % kDomains.size()];
        endpoint->engine.restart(this->createInstanceId());
        spawn(this->clock.executor(), "endpoint", endpoint->engine.listen(own.address, own.port));
        this->publishEndpoint(*endpoint, false, {});
        this->endpoints.push_back(std::move(endpoint));
    }
}

void Soak::publishEndpoint(Endpoint& endpoint, bool isDraining, Duration coldFor)
{
    const auto& id = endpoint.engine.id;
    if (endpoint.publishedInstance != id) {
        endpoint.publishedInstance = id;
        endpoint.startedAtMs = wallTimeMs();
    }
    this->record.domainOfEndpoint[id] = endpoint.domain;
    if (coldFor > Duration {})
        this->record.coldEndpoints[id] = { this->clock.now(), this->clock.now() + coldFor };
    this->store.write(std::string { names::kServersKind }, id,
        { { "service", endpoint.service }, { "zone", endpoint.domain }, { "version", "v1" },
            { "address", endpoint.proxyAddress.address + ":" + std::to_string(endpoint.proxyAddress.port) },
            { "slots", endpoint.engine.slots }, { "state", isDraining ? "draining" : "ready" },
            { "cold_remaining_ms", coldFor.count() }, { "born", endpoint.startedAtMs }, { "sequence", 1 } });
}

json Soak::makeRoute(const std::string& name, SoakRequestKind kind) const
{
    const bool isStream = kind == SoakRequestKind::ResumableStream || kind == SoakRequestKind::Stream;
    const auto* wireKind = isStream ? "streaming" : "idempotent";
    if (kind == SoakRequestKind::Order)
        wireKind = "non_idempotent";
    return { { "name", name }, { "hostname", "soak.example" }, { "path_prefix", "/" + name + "/" },
        { "route_kind", wireKind }, { "service", isStream ? "engines" : "desk" },
        { "timeout_ms", kRouteTimeout.count() }, { "target_latency_ms", 500 }, { "priority", 1 },
        { "max_attempts", SoakBounds {}.maxAttempts }, { "sticky", isStream }, { "public", false },
        { "resumable", kind == SoakRequestKind::ResumableStream } };
}

void Soak::publishPlan()
{
    json routes = json::array();
    for (const auto kind :
        { SoakRequestKind::ResumableStream, SoakRequestKind::Stream, SoakRequestKind::Lookup, SoakRequestKind::Order })
        routes.push_back(this->makeRoute(std::string { kSoakRequestKindNames[kind] }, kind));
    for (const auto version : this->extraRoutes)
        routes.push_back(this->makeRoute("extra-" + std::to_string(version), SoakRequestKind::Lookup));
    const bool isLarge = this->options.seed % 2 == 0;
    for (unsigned number = 0; isLarge && number < kUnusedRoutes; ++number)
        routes.push_back(this->makeRoute(numbered("unused", number), SoakRequestKind::Lookup));
    json workspaces = json::array();
    for (const auto& [key, workspace] : kPermanentKeys)
        workspaces.push_back({ { "name", workspace }, { "api_keys", { key } } });
    workspaces.push_back({ { "name", "guest" }, { "api_keys", this->validTemporaryKeys } });
    const SoakBounds bounds;
    json services = json::array();
    for (const auto* name : { "engines", "desk" })
        services.push_back(
            { { "name", name }, { "max_connections", 200 }, { "cold_per_s", bounds.coldRequestsPerSecond },
                { "cold_start_s", std::chrono::duration_cast<std::chrono::seconds>(bounds.coldDuration).count() } });
    this->store.write(std::string { names::kConfigKind }, "main",
        { { "version", this->planVersion }, { "routes", routes }, { "services", services }, { "tenants", workspaces },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 1048576 }, { "header_timeout_ms", 5000 },
                    { "idle_timeout_ms", 20000 } } } });
}

std::size_t Soak::beginDisturbance(const std::string& host)
{
    this->record.disturbances.push_back({ host, { this->clock.now(), TimePoint::max() } });
    return this->record.disturbances.size() - 1;
}

void Soak::endDisturbance(std::size_t index) { this->record.disturbances[index].span.to = this->clock.now(); }

const std::string& Soak::permanentKey(std::uint32_t number)
{
    return kPermanentKeys[number % kPermanentKeys.size()].first;
}

Soak::Host& Soak::hostAt(std::uint32_t number) { return *this->hosts[number % this->hosts.size()]; }

Soak::Endpoint& Soak::endpointAt(std::uint32_t number) { return *this->endpoints[number % this->endpoints.size()]; }

void Soak::handleExit(Host& host, int status)
{
    const auto now = this->clock.now();
    host.isReady = false;
    host.restartAt = std::max(host.restartAt, now + kRestartDelay);
    const bool wasKilled = std::exchange(host.isKillPending, false);
    if (!host.outage)
        host.outage = this->beginDisturbance(host.process.addresses().host);
    if (const auto stopIndex = std::exchange(host.pendingStop, std::nullopt)) {
        auto& ended = this->record.stops[*stopIndex];
        ended.exitedAt = now;
        ended.isKilled = wasKilled;
        ended.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return;
    }
    if (!wasKilled)
        this->record.unexpectedExits.push_back(
            host.process.addresses().host + " exited unexpectedly with wait status " + std::to_string(status));
}

Task<void> Soak::watchProcesses()
{
    while (!this->isFinished) {
        for (const auto& host : this->hosts) {
            if (const auto status = host->process.pollExit())
                this->handleExit(*host, *status);
            if (!host->process.isRunning() && this->clock.now() >= host->restartAt)
                host->process.start();
        }
        co_await this->clock.sleepFor(kProcessCheckInterval);
    }
}

Task<void> Soak::watchReadiness(Host& host)
{
    while (!this->isFinished) {
        bool isReady = false;
        try {
            HttpRequest question { boost::beast::http::verb::get, std::string { names::kReadinessPath }, 11 };
            const auto answer
                = co_await callHttp(host.process.addresses().readiness, std::move(question), kReadinessInterval);
            isReady = answer.result() == boost::beast::http::status::ok;
        } catch (const HttpCallError&) {
            isReady = false;
        }
        host.missedProbes = isReady ? 0 : host.missedProbes + 1;
        host.isReady = host.missedProbes < kMaxMissedProbes;
        if (isReady && host.outage && !host.pendingStop)
            this->endDisturbance(*std::exchange(host.outage, std::nullopt));
        co_await this->clock.sleepFor(kReadinessInterval);
    }
}

Task<void> Soak::watchStalls()
{
    while (!this->isFinished) {
        const auto begun = this->clock.now();
        co_await this->clock.sleepFor(kStallCheckInterval);
        if (this->clock.now() <= begun + kStallCheckInterval + kStallThreshold)
            continue;
        ++this->stalls;
        this->record.disturbances.push_back({ "", { begun, this->clock.now() } });
    }
}

SoakTarget Soak::chooseHost()
{
    std::vector<const Host*> ready;
    for (const auto& host : this->hosts) {
        if (host->isReady)
            ready.push_back(host.get());
    }
    const auto& host
        = ready.empty() ? *this->hosts[this->random() % this->hosts.size()] : *ready[this->random() % ready.size()];
    return { host.process.addresses().host, host.callerEntry };
}

SoakRequestOptions Soak::chooseRequest()
{
    constexpr unsigned kKinds = 4;
    constexpr unsigned kMaxEvents = 100;
    constexpr unsigned kSpecialShare = 10;
    constexpr Duration kMaxDisconnectDelay { 250 };
    SoakRequestOptions request;
    request.kind = static_cast<SoakRequestKind>(this->random() % kKinds);
    request.path = "/" + std::string { kSoakRequestKindNames[request.kind] } + "/";
    request.timeout = Duration { 4000 };
    if (request.kind == SoakRequestKind::ResumableStream || request.kind == SoakRequestKind::Stream)
        request.events = 1 + this->random() % kMaxEvents;
    request.key = permanentKey(this->random());
    if (request.kind == SoakRequestKind::Lookup && !this->extraRoutes.empty()) {
        request.routePlanVersion = *this->extraRoutes.rbegin();
        request.path = "/extra-" + std::to_string(request.routePlanVersion) + "/";
    }
    // After recovery every request must succeed: no temporary keys and no early disconnects.
    if (this->clock.now() >= this->record.recoveryEndsAt)
        return request;
    if (!this->temporaryKeys.empty() && this->random() % kSpecialShare == 0) {
        auto chosenKey = this->temporaryKeys.begin();
        std::advance(chosenKey, static_cast<std::ptrdiff_t>(this->random() % this->temporaryKeys.size()));
        request.key = *chosenKey;
    }
    if (this->random() % kSpecialShare == 0)
        request.disconnectAfter = Duration { 1 + this->random() % kMaxDisconnectDelay.count() };
    return request;
}

void Soak::startCallers()
{
    const SoakCallerContext context { this->clock, this->record, [this] { return this->chooseHost(); },
        [this] { return this->chooseRequest(); }, [this] { return this->isSendingRequests; } };
    for (unsigned count = 0; count < this->options.callers; ++count) {
        auto& caller = *this->callers.emplace_back(
            std::make_unique<SoakCaller>(context, ++this->lastCaller, static_cast<unsigned>(this->random())));
        spawn(this->clock.executor(), "caller", caller.run());
    }
}

Task<void> Soak::run()
{
    const auto& executor = this->clock.executor();
    this->publishPlan();
    for (const auto& host : this->hosts)
        host->outage = this->beginDisturbance(host->process.addresses().host);
    spawn(executor, "processes", this->watchProcesses());
    for (const auto& host : this->hosts)
        spawn(executor, "readiness", this->watchReadiness(*host));
    spawn(executor, "own delays", this->watchStalls());
    const auto startLimit = this->clock.now() + kStartTimeout;
    const auto isUp = [](const auto& host) { return host->isReady; };
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), isUp) && this->clock.now() < startLimit)
        co_await this->clock.sleepFor(kProcessCheckInterval);
    if (!std::all_of(this->hosts.begin(), this->hosts.end(), isUp))
        this->record.unexpectedExits.emplace_back("not all hosts were ready after their start");
    this->startCallers();
    co_await this->clock.sleepFor(kWarmUpDelay);
    co_await this->injectFaults();
    this->record.recoveryEndsAt = this->clock.now() + this->options.recoveryTime;
    co_await this->clock.sleepFor(this->options.recoveryTime + this->options.verificationTime);
    this->isSendingRequests = false;
    const auto hasEnded = [](const auto& caller) { return caller->hasEnded(); };
    while (!std::all_of(this->callers.begin(), this->callers.end(), hasEnded))
        co_await this->clock.sleepFor(kProcessCheckInterval);
    for (const auto& host : this->hosts)
        this->stop(*host);
    const auto hasStopped = [](const auto& host) { return !host->pendingStop; };
    const auto stopLimit = this->clock.now() + SoakBounds {}.stopGrace;
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), hasStopped) && this->clock.now() < stopLimit)
        co_await this->clock.sleepFor(kProcessCheckInterval);
    this->isFinished = true;
}

} // namespace berylwing::test
