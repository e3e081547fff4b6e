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

// Third byte of the addresses of each group.
constexpr unsigned kHostGroup = 1;
constexpr unsigned kShownDigestGroup = 2;
constexpr unsigned kCallerGroup = 3;
constexpr unsigned kStoreGroup = 4;
constexpr unsigned kStoreLinkGroup = 5;
constexpr unsigned kEndpointGroup = 6;
constexpr unsigned kEndpointLinkGroup = 7;

/** Pause before a process that has ended is started again. */
constexpr Duration kRestartPause { 300 };
constexpr Duration kProcessCheck { 20 };
/** The balancer asks once a second and takes a host out after two misses. */
constexpr Duration kReadinessInterval { 1000 };
constexpr int kMisses = 2;
constexpr Duration kOwnDelayCheck { 50 };
/** Delay of this process from which on what it sees says nothing about the hosts. */
constexpr Duration kOwnDelay { 100 };
/** Longest time in which hosts that start find the store and each other. */
constexpr Duration kStartLimit { 60'000 };
constexpr Duration kFirstSettling { 2000 };
constexpr Duration kRouteTimeout { 5000 };

const std::vector<std::string> kDomains { "knox-a", "knox-b", "chatt-a" };
const std::vector<std::pair<std::string, std::string>> kLastingKeys { { "shop-key", "shop" }, { "yard-key", "yard" },
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
    this->store.amend = [this](const std::string& kind, json& spec) {
        // Hosts know each other by the addresses of the proxy.
        for (const auto& host : this->hosts) {
            if (kind == names::kHostsKind && spec.value("address", "") == host->process.addresses().digests.address)
                spec["address"] = host->shownDigests.address;
        }
    };
    for (const auto& [key, workspace] : kLastingKeys) {
        this->record.workspaceOfKey.emplace(key, workspace);
        this->record.keys[key] = { key, this->clock.now() };
    }
    // The first routes are part of the plan with which the hosts start.
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

std::string Soak::newInstance() { return numbered("i", ++this->instances); }

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
        const SocketAddress shown { this->blockAddress(kShownDigestGroup, number), kDigestPort };
        const SocketAddress entry { this->blockAddress(kCallerGroup, number), kCallerPort };
        spawn(executor, "store", this->store.listen(storeAddress.address, storeAddress.port, addresses.host));
        this->digests.add(addresses.digests, shown);
        this->hosts.push_back(
            std::make_unique<Host>(this->clock, this->options, std::move(addresses), shown, entry, storeAddress));
    }
}

void Soak::buildEndpoints()
{
    const auto count = this->options.engines + this->options.services;
    for (unsigned number = 1; number <= count; ++number) {
        const SocketAddress own { this->blockAddress(kEndpointGroup, number), kEndpointPort };
        const SocketAddress shown { this->blockAddress(kEndpointLinkGroup, number), kEndpointPort };
        auto endpoint
            = std::make_unique<Endpoint>(this->clock, this->record, static_cast<unsigned>(this->random()), own, shown);
        endpoint->service = number <= this->options.engines ? "engines" : "desk";
        endpoint->domain = kDomains[number % kDomains.size()];
        endpoint->engine.restart(this->newInstance());
        spawn(this->clock.executor(), "endpoint", endpoint->engine.listen(own.address, own.port));
        this->publish(*endpoint, false, {});
        this->endpoints.push_back(std::move(endpoint));
    }
}

void Soak::publish(Endpoint& endpoint, bool isDraining, Duration coldFor)
{
    const auto& id = endpoint.engine.id;
    if (endpoint.bornInstance != id) {
        endpoint.bornInstance = id;
        endpoint.bornAtMs = wallTimeMs();
    }
    this->record.domainOfEndpoint[id] = endpoint.domain;
    if (coldFor > Duration {})
        this->record.coldEndpoints[id] = { this->clock.now(), this->clock.now() + coldFor };
    this->store.write(std::string { names::kServersKind }, id,
        { { "service", endpoint.service }, { "zone", endpoint.domain }, { "version", 1 },
            { "address", endpoint.shown.address + ":" + std::to_string(endpoint.shown.port) },
            { "slots", endpoint.engine.slots }, { "state", isDraining ? "draining" : "ready" },
            { "cold_remaining_ms", coldFor.count() }, { "born", endpoint.bornAtMs }, { "sequence", 1 } });
}

json Soak::routeOf(const std::string& name, SoakRequestKind kind) const
{
    const bool isStream = kind == SoakRequestKind::ResumableStream || kind == SoakRequestKind::Stream;
    const auto* wireKind = isStream ? "streaming" : "idempotent";
    if (kind == SoakRequestKind::Order)
        wireKind = "non_idempotent";
    return { { "name", name }, { "hostname", "soak.example" }, { "path_prefix", "/" + name + "/" },
        { "route_kind", wireKind }, { "service", isStream ? "engines" : "desk" },
        { "timeout_ms", kRouteTimeout.count() }, { "target_latency_ms", 500 }, { "priority", 1 },
        { "max_attempts", SoakBounds {}.mostAttempts }, { "sticky", isStream }, { "public", false },
        { "resumable", kind == SoakRequestKind::ResumableStream } };
}

void Soak::publishPlan()
{
    json routes = json::array();
    for (const auto kind :
        { SoakRequestKind::ResumableStream, SoakRequestKind::Stream, SoakRequestKind::Lookup, SoakRequestKind::Order })
        routes.push_back(this->routeOf(std::string { kSoakRequestKindNames[kind] }, kind));
    for (const auto version : this->extraRoutes)
        routes.push_back(this->routeOf("extra-" + std::to_string(version), SoakRequestKind::Lookup));
    json workspaces = json::array();
    for (const auto& [key, workspace] : kLastingKeys)
        workspaces.push_back({ { "name", workspace }, { "api_keys", { key } } });
    workspaces.push_back({ { "name", "guest" }, { "api_keys", this->heldKeys } });
    const SoakBounds bounds;
    json services = json::array();
    for (const auto* name : { "engines", "desk" })
        services.push_back({ { "name", name }, { "max_connections", 200 }, { "cold_per_s", bounds.coldPerSecond },
            { "cold_start_s", std::chrono::duration_cast<std::chrono::seconds>(bounds.coldTime).count() } });
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

void Soak::endDisturbance(std::size_t place) { this->record.disturbances[place].span.to = this->clock.now(); }

Soak::Host& Soak::hostAt(std::uint32_t number) { return *this->hosts[number % this->hosts.size()]; }

Soak::Endpoint& Soak::endpointAt(std::uint32_t number) { return *this->endpoints[number % this->endpoints.size()]; }

void Soak::takeEnd(Host& host, int status)
{
    const auto now = this->clock.now();
    host.isReady = false;
    host.restartAt = std::max(host.restartAt, now + kRestartPause);
    const bool wasKilled = std::exchange(host.isKilled, false);
    if (!host.downSince)
        host.downSince = this->beginDisturbance(host.process.addresses().host);
    if (const auto stopPlace = std::exchange(host.stopping, std::nullopt)) {
        auto& ended = this->record.stops[*stopPlace];
        ended.exitedAt = now;
        ended.isOverruled = wasKilled;
        ended.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return;
    }
    if (!wasKilled)
        this->record.unexpectedEnds.push_back(
            host.process.addresses().host + " ended by itself with wait status " + std::to_string(status));
}

Task<void> Soak::watchProcesses()
{
    while (!this->isOver) {
        for (const auto& host : this->hosts) {
            if (const auto status = host->process.takeEnd())
                this->takeEnd(*host, *status);
            if (!host->process.isRunning() && this->clock.now() >= host->restartAt)
                host->process.start();
        }
        co_await this->clock.sleepFor(kProcessCheck);
    }
}

Task<void> Soak::watchReadiness(Host& host)
{
    while (!this->isOver) {
        bool isReady = false;
        try {
            HttpRequest question { boost::beast::http::verb::get, std::string { names::kReadiness }, 11 };
            const auto answer
                = co_await callHttp(host.process.addresses().readiness, std::move(question), kReadinessInterval);
            isReady = answer.result() == boost::beast::http::status::ok;
        } catch (const HttpCallError&) {
            isReady = false;
        }
        host.misses = isReady ? 0 : host.misses + 1;
        host.isReady = host.misses < kMisses;
        if (isReady && host.downSince && !host.stopping)
            this->endDisturbance(*std::exchange(host.downSince, std::nullopt));
        co_await this->clock.sleepFor(kReadinessInterval);
    }
}

Task<void> Soak::watchOwnDelays()
{
    while (!this->isOver) {
        const auto begun = this->clock.now();
        co_await this->clock.sleepFor(kOwnDelayCheck);
        if (this->clock.now() <= begun + kOwnDelayCheck + kOwnDelay)
            continue;
        ++this->delays;
        this->record.disturbances.push_back({ "", { begun, this->clock.now() } });
    }
}

SoakEntry Soak::chooseHost()
{
    std::vector<const Host*> ready;
    for (const auto& host : this->hosts) {
        if (host->isReady)
            ready.push_back(host.get());
    }
    const auto& host
        = ready.empty() ? *this->hosts[this->random() % this->hosts.size()] : *ready[this->random() % ready.size()];
    return { host.process.addresses().host, host.entry };
}

SoakErrand Soak::chooseErrand()
{
    constexpr unsigned kKinds = 4;
    constexpr unsigned kMostEvents = 100;
    constexpr unsigned kSpecialShare = 10;
    constexpr Duration kMostPatienceBefore { 250 };
    SoakErrand errand;
    errand.kind = static_cast<SoakRequestKind>(this->random() % kKinds);
    errand.path = "/" + std::string { kSoakRequestKindNames[errand.kind] } + "/";
    errand.patience = Duration { 4000 };
    if (errand.kind == SoakRequestKind::ResumableStream || errand.kind == SoakRequestKind::Stream)
        errand.events = 1 + this->random() % kMostEvents;
    errand.key = kLastingKeys[this->random() % kLastingKeys.size()].first;
    if (errand.kind == SoakRequestKind::Lookup && !this->extraRoutes.empty()) {
        errand.routeSince = *this->extraRoutes.rbegin();
        errand.path = "/extra-" + std::to_string(errand.routeSince) + "/";
    }
    // Once all faults are over there is nothing left that may be refused or broken off.
    if (this->clock.now() >= this->record.calmFrom)
        return errand;
    if (!this->passingKeys.empty() && this->random() % kSpecialShare == 0) {
        auto place = this->passingKeys.begin();
        std::advance(place, static_cast<std::ptrdiff_t>(this->random() % this->passingKeys.size()));
        errand.key = *place;
    }
    if (this->random() % kSpecialShare == 0)
        errand.leavesAfter = Duration { 1 + this->random() % kMostPatienceBefore.count() };
    return errand;
}

void Soak::startCallers()
{
    const SoakCallerParts parts { this->clock, this->record, [this] { return this->chooseHost(); },
        [this] { return this->chooseErrand(); }, [this] { return this->areCallersWanted; } };
    for (unsigned number = 1; number <= this->options.callers; ++number) {
        auto& caller = *this->callers.emplace_back(
            std::make_unique<SoakCaller>(parts, number, static_cast<unsigned>(this->random())));
        spawn(this->clock.executor(), "caller", caller.run());
    }
}

Task<void> Soak::run()
{
    const auto& executor = this->clock.executor();
    this->publishPlan();
    for (const auto& host : this->hosts)
        host->downSince = this->beginDisturbance(host->process.addresses().host);
    spawn(executor, "processes", this->watchProcesses());
    for (const auto& host : this->hosts)
        spawn(executor, "readiness", this->watchReadiness(*host));
    spawn(executor, "own delays", this->watchOwnDelays());
    const auto startLimit = this->clock.now() + kStartLimit;
    const auto isUp = [](const auto& host) { return host->isReady; };
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), isUp) && this->clock.now() < startLimit)
        co_await this->clock.sleepFor(kProcessCheck);
    if (!std::all_of(this->hosts.begin(), this->hosts.end(), isUp))
        this->record.unexpectedEnds.emplace_back("not all hosts were ready after their start");
    this->startCallers();
    co_await this->clock.sleepFor(kFirstSettling);
    co_await this->strikeAll();
    this->record.calmFrom = this->clock.now() + this->options.recovery;
    co_await this->clock.sleepFor(this->options.recovery + this->options.calm);
    this->areCallersWanted = false;
    const auto hasEnded = [](const auto& caller) { return caller->hasEnded(); };
    while (!std::all_of(this->callers.begin(), this->callers.end(), hasEnded))
        co_await this->clock.sleepFor(kProcessCheck);
    for (const auto& host : this->hosts)
        this->stop(*host);
    const auto hasStopped = [](const auto& host) { return !host->stopping; };
    const auto stopLimit = this->clock.now() + SoakBounds {}.stopGrace;
    while (!std::all_of(this->hosts.begin(), this->hosts.end(), hasStopped) && this->clock.now() < stopLimit)
        co_await this->clock.sleepFor(kProcessCheck);
    this->isOver = true;
}

} // namespace berylwing::test
