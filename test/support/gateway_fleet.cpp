#include "support/gateway_fleet.hpp"

#include <algorithm>
#include <utility>

namespace berylwing::test {

namespace {

constexpr Duration kStepInterval { 10 };
constexpr std::uint16_t kPort = 7000;

EndpointRecord parseEndpoint(const std::string& name, const nlohmann::json& value)
{
    EndpointRecord record;
    record.id = name;
    record.service = "engines";
    record.isDraining = value.at("draining");
    record.version = value.value("version", "v1");
    record.slots = value.value("slots", std::uint32_t {});
    return record;
}

} // namespace

GatewayFleet::GatewayFleet(int hostsPerDomain, const std::vector<std::string>& domains, const ChangeDeadlines& bounds,
    const std::optional<RolloutLimits>& limits)
    : clock { this->context.get_executor(), [this] { return this->time; } }
    , changeDeadlines { bounds }
    , rolloutLimits { limits }
{
    this->protocol.readPlan = [this](const nlohmann::json& value) {
        return this->makePlan ? this->makePlan(value.at("version")) : RoutingPlan { value.at("version") };
    };
    this->protocol.prepareForEndpoint = [](HeaderFields&, const EndpointRequestMetadata&) {};
    this->protocol.readEndpoint = parseEndpoint;
    for (std::size_t domain = 0; domain < domains.size(); ++domain) {
        for (int number = 1; number <= hostsPerDomain; ++number) {
            this->addHost(domains[domain], domains[domain] + "-" + std::to_string(number),
                "10." + std::to_string(domain) + ".0." + std::to_string(number));
        }
    }
    this->runReady();
}

GatewayFleet::~GatewayFleet() { this->context.destroyPending(); }

void GatewayFleet::addHost(const std::string& domain, const std::string& name, const std::string& address)
{
    auto host = std::make_unique<Host>();
    auto& added = *host;
    added.settings.host = name;
    added.settings.domain = domain;
    added.settings.digests = { address, kPort };
    added.settings.planLease = Duration { 5000 };
    added.settings.changeDeadlines = this->changeDeadlines;
    added.settings.rollouts = this->rolloutLimits;
    this->hosts.emplace(address, std::move(host));
    this->startProcess(added);
}

void GatewayFleet::startProcess(Host& host)
{
    const auto incarnation = ++host.incarnation;
    GatewayDependencies dependencies;
    const auto exchange = this->platform.createTransport(host.settings.host, this->clock);
    dependencies.open
        = [this](const GatewayEndpoint& endpoint, ConnectionReuse use) { return this->open(endpoint, use); };
    dependencies.platform = [this, &host, incarnation, exchange](const PlatformCall& call) -> Task<PlatformReply> {
        if (host.incarnation != incarnation)
            throw PlatformError { PlatformFault::Unavailable, "the process was killed" };
        ++host.storeCalls;
        if (this->beforeCall)
            this->beforeCall(host, call);
        const auto timeout = call.timeout;
        auto reply = co_await exchange(call);
        if (this->transferTime) {
            const auto length = this->transferTime(host, reply);
            co_await this->clock.sleepFor(std::min(length, timeout));
            if (length > timeout)
                throw PlatformError { PlatformFault::OutcomeUnknown, "timed out" };
        }
        if (this->receiveDelay)
            co_await this->clock.sleepFor(this->receiveDelay(host));
        co_return reply;
    };
    dependencies.sendToHost = [this, &host, incarnation](const SocketAddress& to, const std::string& bytes) {
        if (host.incarnation == incarnation)
            this->deliver(host, to, bytes);
    };
    dependencies.logWriter = [&host, incarnation](std::string_view lines) {
        if (host.incarnation == incarnation)
            host.logText += lines;
        return lines.size();
    };
    dependencies.incarnation = incarnation;
    host.gateway = std::make_unique<Gateway>(this->clock, host.settings, this->protocol, std::move(dependencies));
    host.gateway->start();
}

void GatewayFleet::restart(Host& host)
{
    this->formerProcesses.push_back(std::move(host.gateway));
    this->startProcess(host);
}

void GatewayFleet::deliver(Host& from, const SocketAddress& to, const std::string& bytes)
{
    from.bytesSent += bytes.size();
    if (std::bernoulli_distribution { this->messageLoss }(this->random))
        return;
    const auto found = this->hosts.find(to.address);
    if (found == this->hosts.end() || from.isIsolated || from.isSuspended || found->second->isIsolated)
        return;
    const auto& sender = from.settings.digests.address;
    auto& target = *found->second;
    if (!this->receiveDelay)
        return this->receive(target, target.incarnation, sender, bytes);
    spawn(this->clock.executor(), "message",
        [](GatewayFleet* fleet, Host* host, std::string address, std::string text) -> Task<void> {
            const auto incarnation = host->incarnation;
            co_await fleet->clock.sleepFor(fleet->receiveDelay(*host));
            fleet->receive(*host, incarnation, address, text);
        }(this, &target, sender, bytes));
}

void GatewayFleet::receive(Host& host, std::uint64_t incarnation, const std::string& sender, const std::string& bytes)
{
    if (host.incarnation != incarnation)
        return;
    if (host.isSuspended)
        host.heldMessages.emplace_back(sender, bytes);
    else
        host.gateway->receive(sender, bytes);
}

void GatewayFleet::resume(Host& host)
{
    host.isSuspended = false;
    for (const auto& [sender, bytes] : std::exchange(host.heldMessages, {}))
        host.gateway->receive(sender, bytes);
}

void GatewayFleet::runReady()
{
    this->context.restart();
    this->context.poll();
}

void GatewayFleet::advance(Duration length)
{
    for (const auto until = this->time + length; this->time < until;) {
        this->time += kStepInterval;
        this->clock.fireDue();
        this->runReady();
    }
}

void GatewayFleet::putPlan(std::uint64_t version)
{
    this->platform.store.write(
        ObjectKind::RoutingPlan, "main", { { "version", version }, { "text", std::string(this->planBytes, 'x') } });
}

void GatewayFleet::putEndpoint(const std::string& id, bool isDraining)
{
    this->platform.store.write(
        ObjectKind::Endpoint, id, { { "draining", isDraining }, { "text", std::string(this->endpointBytes, 'x') } });
}

void GatewayFleet::putEndpointOfVersion(const std::string& id, const std::string& version)
{
    this->platform.store.write(
        ObjectKind::Endpoint, id, { { "draining", false }, { "version", version }, { "slots", 16 } });
}

void GatewayFleet::remove(ObjectKind kind, const std::string& name)
{
    PlatformCall call;
    call.operation = PlatformOperation::Get;
    call.kind = kind;
    call.name = name;
    call.expectedVersion = this->platform.store.apply(call).version;
    call.operation = PlatformOperation::Remove;
    static_cast<void>(this->platform.store.apply(call));
}

std::size_t GatewayFleet::countHostsWithLog(const std::string& text) const
{
    return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(),
        [&text](const auto& host) { return host.second->logText.find(text) != std::string::npos; }));
}

std::vector<GatewayFleet::Host*> GatewayFleet::findHostsInRole(const std::string& role) const
{
    std::vector<Host*> found;
    for (const auto& [address, host] : this->hosts) {
        const auto line = host->logText.rfind("\"roles_changed\"");
        if (line == std::string::npos)
            continue;
        const auto place = host->logText.find(role, line);
        if (place != std::string::npos && host->logText.at(place + role.size()) == '1')
            found.push_back(host.get());
    }
    return found;
}

int GatewayFleet::storeCalls() const
{
    int total = 0;
    for (const auto& [address, host] : this->hosts)
        total += host->storeCalls;
    return total;
}

} // namespace berylwing::test
