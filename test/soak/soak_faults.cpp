#include "soak/soak_parts.hpp"

#include "platform/names.hpp"
#include <algorithm>
#include <csignal>
#include <utility>

namespace berylwing::test {

namespace {

namespace names = platform::names;
using nlohmann::json;

/** Silence after which the platform removes the entry of an endpoint: three heartbeats. */
constexpr Duration kEntryLife { 3600 };
/** Time for which an endpoint that leaves goes on serving after it said so. */
constexpr Duration kServesOn { 4000 };
/** Time after which an address may be used again. */
constexpr Duration kAddressPause { 2000 };
constexpr Duration kSlowLink { 150 };
constexpr Duration kSlowDigests { 400 };
/** Fifty times the usual time of an answer. */
constexpr Duration kSlowStore { 200 };
constexpr Duration kStoreCheck { 20 };
constexpr Duration kEndCheck { 50 };
/** Time in which the longest fault ends and all hosts are ready again. */
constexpr Duration kEndLimit { 60'000 };
/** Share of the requests that meet the trouble of an endpoint. */
constexpr double kTroubleShare = 0.4;
/** Share of the hosts that are killed together. */
constexpr std::size_t kKilledTogether = 2;

EngineTrouble troubleOf(SoakFault fault)
{
    switch (fault) {
    case SoakFault::EndpointErrors:
        return EngineTrouble::Errors;
    case SoakFault::EndpointHangs:
        return EngineTrouble::Hang;
    case SoakFault::EndpointResets:
        return EngineTrouble::Reset;
    case SoakFault::EndpointSheds:
        return EngineTrouble::Shed;
    case SoakFault::EndpointSlow:
        return EngineTrouble::Slow;
    case SoakFault::EndpointSendsExtra:
        return EngineTrouble::Extra;
    case SoakFault::EndpointUnframed:
        return EngineTrouble::Unframed;
    default:
        return EngineTrouble::None;
    }
}

void disturbLink(TcpProxy& link, const PlannedFault& fault)
{
    switch (fault.kind) {
    case SoakFault::StoreLinkSilent:
    case SoakFault::EndpointLinkSilent:
        link.silenceOpen();
        break;
    case SoakFault::StoreLinkReset:
    case SoakFault::EndpointLinkReset:
        link.resetOpen();
        break;
    case SoakFault::StoreLinkSlow:
    case SoakFault::EndpointLinkSlow:
        link.setManner({ kSlowLink, false, false });
        break;
    default: {
        const bool isTowardsServer = fault.other % 2 == 0;
        link.setManner({ {}, isTowardsServer, !isTowardsServer });
        break;
    }
    }
}

} // namespace

Task<void> Soak::strikeAll()
{
    const auto begun = this->clock.now();
    for (const auto& fault : planFaults(this->options.seed, this->options.faults, this->options.meanGap)) {
        if (!this->options.only.empty() && !this->options.only.contains(fault.kind))
            continue;
        co_await this->clock.sleepFor(std::max(Duration {}, begun + fault.at - this->clock.now()));
        ++this->struck[std::string { kSoakFaultNames[fault.kind] }];
        this->activeFaults.emplace(kSoakFaultNames[fault.kind]);
        spawn(this->clock.executor(), "fault", this->strike(fault));
    }
    const auto isDown = [](const auto& host) { return host->downSince || host->stopping; };
    const auto limit = this->clock.now() + kEndLimit;
    while (!this->activeFaults.empty() || std::any_of(this->hosts.begin(), this->hosts.end(), isDown)) {
        if (this->clock.now() > limit) {
            this->reportUnended();
            co_return;
        }
        co_await this->clock.sleepFor(kEndCheck);
    }
}

void Soak::reportUnended()
{
    for (const auto& name : this->activeFaults)
        this->record.unexpectedEnds.push_back("the fault " + name + " did not end");
    for (const auto& host : this->hosts) {
        if (host->downSince || host->stopping)
            this->record.unexpectedEnds.push_back(host->process.addresses().host + " did not come back");
    }
}

Task<void> Soak::strike(PlannedFault fault)
{
    if (fault.kind <= SoakFault::HostReloaded)
        co_await this->strikeHost(fault);
    else if (fault.kind <= SoakFault::StoreLinkOneWay)
        co_await this->strikeStoreLink(fault);
    else if (fault.kind <= SoakFault::EndpointLinkOneWay)
        co_await this->strikeEndpointLink(fault);
    else if (fault.kind <= SoakFault::DigestsSlow)
        co_await this->strikeHostLinks(fault);
    else if (fault.kind <= SoakFault::StoreTurnsAway)
        co_await this->strikeStore(fault);
    else if (fault.kind <= SoakFault::EndpointLeaves)
        co_await this->strikeEndpoint(fault);
    else
        co_await this->operate(fault);
    this->activeFaults.erase(this->activeFaults.find(std::string { kSoakFaultNames[fault.kind] }));
}

void Soak::kill(Host& host)
{
    if (!host.process.isRunning())
        return;
    host.isKilled = true;
    if (!host.downSince)
        host.downSince = this->beginDisturbance(host.process.addresses().host);
    host.process.signal(SIGKILL);
}

void Soak::stop(Host& host)
{
    if (!host.process.isRunning() || host.stopping || host.isKilled)
        return;
    if (!host.downSince)
        host.downSince = this->beginDisturbance(host.process.addresses().host);
    host.stopping = this->record.stops.size();
    this->record.stops.push_back({ host.process.addresses().host, this->clock.now(), std::nullopt });
    host.process.signal(SIGTERM);
}

Task<void> Soak::strikeHost(PlannedFault fault)
{
    auto& host = this->hostAt(fault.target);
    if (fault.kind == SoakFault::HostStopped) {
        this->stop(host);
        co_return;
    }
    if (fault.kind == SoakFault::HostKilled) {
        host.restartAt = this->clock.now() + fault.length;
        this->kill(host);
        co_return;
    }
    if (fault.kind == SoakFault::HostsKilledTogether) {
        for (std::size_t place = 0; place < this->hosts.size(); place += kKilledTogether)
            this->kill(*this->hosts[(fault.target + place) % this->hosts.size()]);
        co_return;
    }
    const auto disturbance = this->beginDisturbance(host.process.addresses().host);
    if (fault.kind == SoakFault::HostReloaded) {
        host.process.signal(SIGHUP);
    } else {
        host.process.signal(SIGSTOP);
        co_await this->clock.sleepFor(fault.length);
        host.process.signal(SIGCONT);
    }
    this->endDisturbance(disturbance);
}

Task<void> Soak::strikeStoreLink(PlannedFault fault)
{
    auto& host = this->hostAt(fault.target);
    const auto disturbance = this->beginDisturbance(host.process.addresses().host);
    disturbLink(host.storeLink, fault);
    co_await this->clock.sleepFor(fault.length);
    host.storeLink.setManner({});
    this->endDisturbance(disturbance);
}

Task<void> Soak::strikeEndpointLink(PlannedFault fault)
{
    auto& endpoint = this->endpointAt(fault.target);
    ++endpoint.engine.disturbances;
    endpoint.engine.disturbRuns();
    disturbLink(endpoint.link, fault);
    co_await this->clock.sleepFor(fault.length);
    endpoint.link.setManner({});
    --endpoint.engine.disturbances;
}

Task<void> Soak::strikeHostLinks(PlannedFault fault)
{
    auto& host = this->hostAt(fault.target);
    auto& other = this->hostAt(fault.other);
    const auto& own = host.process.addresses().digests;
    // Slow datagrams trouble all hosts.
    const bool isEveryone = fault.kind == SoakFault::DigestsSlow;
    const auto disturbance = this->beginDisturbance(isEveryone ? "" : host.process.addresses().host);
    const auto otherDisturbance = this->beginDisturbance(other.process.addresses().host);
    switch (fault.kind) {
    case SoakFault::CallersReset:
        host.callerLink.resetOpen();
        break;
    case SoakFault::DigestsCut:
        this->digests.setCut(own, true);
        break;
    case SoakFault::DigestsOneWay:
        this->digests.setCut(own, other.process.addresses().digests, true);
        break;
    default:
        this->digests.setDelay(kSlowDigests);
        break;
    }
    co_await this->clock.sleepFor(fault.length);
    this->digests.setCut(own, false);
    this->digests.setCut(own, other.process.addresses().digests, false);
    this->digests.setDelay({});
    this->endDisturbance(disturbance);
    this->endDisturbance(otherDisturbance);
}

Task<void> Soak::strikeStore(PlannedFault fault)
{
    const auto disturbance = this->beginDisturbance("");
    ++this->storeFaults;
    auto& trouble = this->store.trouble;
    switch (fault.kind) {
    case SoakFault::StoreDown:
        trouble.isDown = true;
        break;
    case SoakFault::StoreSilent:
        trouble.isSilent = true;
        break;
    case SoakFault::StoreSlow:
        trouble.answerTime = kSlowStore;
        break;
    case SoakFault::StoreLosesAnswers:
        trouble.losesAnswers = true;
        break;
    case SoakFault::StoreHistoryLost:
        this->store.dropHistory();
        break;
    default:
        this->store.turnedAway.insert(this->hostAt(fault.target).process.addresses().host);
        this->store.turnedAway.insert(this->hostAt(fault.other).process.addresses().host);
        break;
    }
    co_await this->clock.sleepFor(fault.length);
    if (--this->storeFaults == 0) {
        trouble = {};
        this->store.turnedAway.clear();
    }
    this->endDisturbance(disturbance);
}

Task<void> Soak::waitForStore()
{
    // A store that is silent to all hosts may still serve the operator, whose changes they then miss.
    while (this->store.trouble.isDown)
        co_await this->clock.sleepFor(kStoreCheck);
}

Task<void> Soak::strikeEndpoint(PlannedFault fault)
{
    auto& endpoint = this->endpointAt(fault.target);
    if (fault.kind == SoakFault::EndpointCrashed || fault.kind == SoakFault::EndpointLeaves) {
        const auto isSame = [&endpoint](const auto& each) { return each->service == endpoint.service; };
        const auto all = std::count_if(this->endpoints.begin(), this->endpoints.end(), isSame);
        const auto ending = std::count_if(this->endpoints.begin(), this->endpoints.end(),
            [&isSame](const auto& each) { return isSame(each) && each->isEnding; });
        // Half of the endpoints of a service stay.
        if (endpoint.isEnding || 2 * (ending + 1) > all)
            co_return;
        if (fault.kind == SoakFault::EndpointCrashed)
            co_await this->crash(endpoint, fault.length);
        else
            co_await this->retire(endpoint);
        co_return;
    }
    ++endpoint.engine.disturbances;
    endpoint.engine.disturbRuns();
    endpoint.engine.troubleShare = kTroubleShare;
    endpoint.engine.trouble = troubleOf(fault.kind);
    co_await this->clock.sleepFor(fault.length);
    endpoint.engine.trouble = EngineTrouble::None;
    --endpoint.engine.disturbances;
}

Task<void> Soak::crash(Endpoint& endpoint, Duration length)
{
    endpoint.isEnding = true;
    ++endpoint.engine.disturbances;
    endpoint.engine.disturbRuns();
    const auto old = endpoint.engine.id;
    endpoint.link.setRefusing(true);
    endpoint.link.resetOpen();
    endpoint.engine.restart("");
    co_await this->clock.sleepFor(std::min(length, kEntryLife));
    co_await this->waitForStore();
    this->store.remove(std::string { names::kServersKind }, old);
    co_await this->clock.sleepFor(std::max(Duration {}, length - kEntryLife));
    co_await this->waitForStore();
    endpoint.engine.restart(this->newInstance());
    endpoint.link.setRefusing(false);
    this->publish(endpoint, false, SoakBounds {}.coldTime);
    --endpoint.engine.disturbances;
    endpoint.isEnding = false;
}

Task<void> Soak::retire(Endpoint& endpoint)
{
    endpoint.isEnding = true;
    co_await this->waitForStore();
    const auto old = endpoint.engine.id;
    this->publish(endpoint, true, {});
    this->record.leavingEndpoints.push_back({ old, this->clock.now() });
    co_await this->clock.sleepFor(kServesOn);
    co_await this->waitForStore();
    this->store.remove(std::string { names::kServersKind }, old);
    ++endpoint.engine.disturbances;
    endpoint.link.setRefusing(true);
    endpoint.link.resetOpen();
    endpoint.engine.restart("");
    co_await this->clock.sleepFor(kAddressPause);
    co_await this->waitForStore();
    endpoint.engine.restart(this->newInstance());
    // The address is used again, by an endpoint of the same service under another id.
    endpoint.link.setRefusing(false);
    this->publish(endpoint, false, SoakBounds {}.coldTime);
    --endpoint.engine.disturbances;
    endpoint.isEnding = false;
}

Task<void> Soak::operate(PlannedFault fault)
{
    if (fault.kind == SoakFault::KeyRevoked) {
        co_await this->revokeKey(fault.length);
        co_return;
    }
    if (fault.kind == SoakFault::DomainWithdrawn) {
        const auto& domain = this->endpointAt(fault.target).domain;
        // A single domain at a time, so that two thirds of the endpoints stay.
        if (this->withdrawn.empty())
            co_await this->withdrawDomain(domain, fault.length);
        co_return;
    }
    co_await this->waitForStore();
    this->extraRoutes.insert(++this->planVersion);
    this->publishPlan();
    this->record.routes[this->planVersion] = { std::to_string(this->planVersion), this->clock.now() };
}

Task<void> Soak::revokeKey(Duration length)
{
    co_await this->waitForStore();
    const auto key = "guest-key-" + std::to_string(++this->planVersion);
    this->record.workspaceOfKey.emplace(key, "guest");
    this->heldKeys.insert(key);
    this->passingKeys.insert(key);
    this->publishPlan();
    this->record.keys[key] = { key, this->clock.now() };
    co_await this->clock.sleepFor(length);
    co_await this->waitForStore();
    ++this->planVersion;
    this->heldKeys.erase(key);
    this->publishPlan();
    this->record.keys[key].undoneAt = this->clock.now();
}

Task<void> Soak::withdrawDomain(std::string domain, Duration length)
{
    // Longer than hosts may take to leave the domain, so that the bound is seen.
    constexpr Duration kAtLeast { 6500 };
    this->withdrawn.insert(domain);
    co_await this->waitForStore();
    this->store.write(std::string { names::kEvacuationsKind }, domain, json::object());
    const auto place = this->record.withdrawnDomains.size();
    this->record.withdrawnDomains.push_back({ domain, this->clock.now() });
    co_await this->clock.sleepFor(kAtLeast + length);
    co_await this->waitForStore();
    this->store.remove(std::string { names::kEvacuationsKind }, domain);
    this->record.withdrawnDomains[place].undoneAt = this->clock.now();
    this->withdrawn.erase(domain);
}

} // namespace berylwing::test
