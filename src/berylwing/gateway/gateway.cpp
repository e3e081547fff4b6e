#include "berylwing/gateway/gateway.hpp"

#include "berylwing/core/finding.hpp"
#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** Age of the plan at the beginning of an outage at the worst; the rest of its lease is for serving on without the
 * store. */
constexpr Duration kPlanWait { 1500 };
/** A silent connection to the store must be noticed before endpoints that leave have to be out of use. */
constexpr Duration kEndpointWait { 2500 };
/** The same for domains that are withdrawn, which may be in use for five seconds. */
constexpr Duration kDomainWait { 4000 };
/** Pause after changes of endpoints, which come in clumps; an endpoint that leaves may be used for two seconds. */
constexpr Duration kEndpointPause { 300 };
/** Part of a lease that is not used, because clocks of two hosts do not run at quite the same rate. */
constexpr Duration kLeaseMargin { 100 };
/** Time between two looks at the list of hosts, whose number divides the fleet's bounds. */
constexpr Duration kHostListInterval { 15'000 };
constexpr Duration kFirstHostListPause { 1000 };
constexpr Duration kRegisterPause { 500 };
/** Time between two digests; within it a host sends one or two requests to an endpoint at the busiest. */
constexpr Duration kDigestInterval { 200 };
/** Bytes a millisecond that a host spends on digests, two thirds of what control may cost at the target size. */
constexpr Duration::rep kDigestBytesPerMs = 8;
/** Headers of a datagram on the wire. */
constexpr std::size_t kDatagramOverhead = 42;
constexpr Duration kMaintenanceInterval { 100 };
/** Time after which the balancer has surely seen two unready answers, one a second, and sends no new connection. */
constexpr Duration kBalancerDelay { 2600 };

std::string logPrefix(const GatewaySettings& settings)
{
    return "\"host\":\"" + settings.host + "\",\"domain\":\"" + settings.domain + "\",";
}

/** Counts a request while it is in progress. */
class Progress {
public:
    explicit Progress(std::size_t& requestCount)
        : count { requestCount }
    {
        ++this->count;
    }

    ~Progress() { --this->count; }
    Progress(const Progress&) = delete;
    Progress& operator=(const Progress&) = delete;

private:
    std::size_t& count;
};

} // namespace

Gateway::Gateway(Clock& hostClock, const GatewaySettings& gatewaySettings, const GatewayProtocol& platformProtocol,
    GatewayDependencies dependencies)
    : clock { hostClock }
    , settings { gatewaySettings }
    , protocol { platformProtocol }
    , log { hostClock, std::move(dependencies.logWriter), logPrefix(gatewaySettings) }
    , client { std::move(dependencies.platform), this->hostMetrics }
    , lease { hostClock, gatewaySettings.planLease - kLeaseMargin }
    , directory { hostClock, this->log }
    , hostNames { gatewaySettings.host }
    , fleet { hostClock, this->directory, gatewaySettings.host, dependencies.incarnation }
    , sendToHost { std::move(dependencies.sendToHost) }
    , coldLimit { gatewaySettings.host, [this]() -> const std::vector<std::string>& { return this->hostNames; } }
    , holders { hostClock }
    , placement { hostClock, this->directory, this->coldLimit, this->holders, gatewaySettings.domain }
    , retries { hostClock, gatewaySettings.retries, [this] { return this->hostNames.size(); } }
    , prober { hostClock, this->directory, dependencies.open, this->log }
    , planFeed { hostClock, this->client, ObjectKind::RoutingPlan, { kPlanWait, {}, true }, this->planHooks(),
        this->log }
    , endpointFeed { hostClock, this->client, ObjectKind::Endpoint, { kEndpointWait, kEndpointPause, false },
        this->endpointHooks(), this->log }
    , domainFeed { hostClock, this->client, ObjectKind::FailureDomain, { kDomainWait, {}, false }, this->domainHooks(),
        this->log }
    , forwarder { this->forwarderParts(std::move(dependencies.open)) }
{
}

ForwarderParts Gateway::forwarderParts(OpenSession open)
{
    return { this->clock, this->protocol, [this] { return this->plan; }, this->lease, this->directory, this->placement,
        this->holders, this->retries, std::move(open),
        [this](GatewayEndpoint& endpoint) { this->prober.noteSilence(endpoint); }, this->hostMetrics, this->log };
}

void Gateway::start()
{
    this->log.write(LogLine { LogEvent::Started });
    const auto& executor = this->clock.executor();
    spawn(executor, "plan feed", this->planFeed.run());
    spawn(executor, "endpoint feed", this->endpointFeed.run());
    spawn(executor, "domain feed", this->domainFeed.run());
    spawn(executor, "host list", this->followHosts());
    spawn(executor, "maintenance", this->maintain());
    spawn(executor, "digests", this->sendDigests());
}

bool Gateway::isReady() const
{
    return !this->isStopping() && this->plan && this->endpointFeed.isListed() && this->domainFeed.isListed()
        && this->lease.isValid();
}

bool Gateway::refusesNew() const
{
    return this->stoppingSince && this->clock.now() >= *this->stoppingSince + kBalancerDelay;
}

void Gateway::beginStop()
{
    if (this->stoppingSince)
        return;
    this->stoppingSince = this->clock.now();
    LogLine line { LogEvent::Stopping };
    this->log.write(line.add("in_progress", static_cast<std::int64_t>(this->requests)));
}

void Gateway::reload(const GatewaySettings& next)
{
    this->lease.setLength(next.planLease - kLeaseMargin);
    this->retries.setBounds(next.retries);
}

CallerBounds Gateway::callerBounds() const { return this->plan ? this->plan->callerBounds() : CallerBounds {}; }

Task<Outcome> Gateway::handle(GatewayRequest& request, const AnswerSink& sink)
{
    const Progress progress { this->requests };
    this->hostMetrics.addRequest();
    Outcome outcome;
    if (this->refusesNew())
        outcome = NotRun { Refusal::HostLeaving };
    else
        outcome = co_await this->forwarder.forward(request, sink);
    const auto took = this->clock.now() - request.arrivedAt;
    if (outcome.isWhole()) {
        LogLine line { LogEvent::RequestAnswered };
        const auto firstByte = request.firstByteAt.value_or(this->clock.now()) - request.arrivedAt;
        this->hostMetrics.observeAnswer(firstByte, took);
        line.add("first_byte_ms", firstByte);
        this->log.write(request.facts.attemptId, std::move(line.add("took_ms", took)));
        co_return outcome;
    }
    this->hostMetrics.add(*outcome.reason);
    LogLine line { LogEvent::RequestRefused };
    line.add("reason", kRefusalNames[*outcome.reason]).add("execution", kExecutionNames[outcome.execution]);
    line.add("took_ms", took).add("plan_age_ms", this->lease.age()).add("retry_after_ms", outcome.retryAfter);
    this->log.write(
        request.facts.attemptId, std::move(line.add("host", request.hostname).add("target", request.target)));
    co_return outcome;
}

void Gateway::refuseInput(Refusal reason, std::string_view error)
{
    this->hostMetrics.add(reason);
    LogLine line { LogEvent::RequestRefused };
    this->log.write(line.add("reason", kRefusalNames[reason]).add("error", error));
}

StoreFeedHooks Gateway::planHooks()
{
    return {
        [this](const std::vector<VersionedObject>& objects) {
            for (const auto& object : objects)
                this->takePlan(object);
        },
        [this](const VersionedObject& object) { this->takePlan(object); },
        [this](TimePoint when) { this->lease.confirm(when); },
        [] {},
    };
}

StoreFeedHooks Gateway::endpointHooks()
{
    return {
        [this](const std::vector<VersionedObject>& objects) {
            std::set<std::string, std::less<>> ids;
            for (const auto& object : objects) {
                ids.insert(object.name);
                this->takeEndpoint(object);
            }
            this->directory.retain(ids);
        },
        [this](const VersionedObject& object) { this->takeEndpoint(object); },
        [this](TimePoint) { this->directory.regainStore(); },
        [this] { this->directory.loseStore(); },
    };
}

StoreFeedHooks Gateway::domainHooks()
{
    return {
        [this](const std::vector<VersionedObject>& objects) {
            std::set<std::string, std::less<>> domains;
            for (const auto& object : objects)
                domains.insert(object.name);
            this->directory.setDomainsOut(std::move(domains));
        },
        [this](const VersionedObject& object) { this->takeDomain(object); },
        [](TimePoint) {},
        [] {},
    };
}

void Gateway::takePlan(const VersionedObject& object)
{
    if (object.value.is_null())
        return;
    try {
        auto next = this->protocol.readPlan(object.value);
        // A plan never goes back, whatever the store may answer.
        if (this->plan && next.version() <= this->plan->version())
            return;
        LogLine line { LogEvent::PlanTaken };
        line.add("plan", static_cast<std::int64_t>(next.version()));
        line.add("revision", static_cast<std::int64_t>(object.version));
        this->log.write(line);
        this->plan = std::make_shared<const RoutingPlan>(std::move(next));
    } catch (const ConfigurationError& error) {
        LogLine line { LogEvent::PlanRejected };
        this->log.write(line.add("object", object.name).add("findings", error.what()));
    }
}

void Gateway::takeEndpoint(const VersionedObject& object)
{
    if (object.value.is_null()) {
        this->directory.remove(object.name);
        return;
    }
    try {
        this->directory.put(this->protocol.readEndpoint(object.name, object.value));
    } catch (const ConfigurationError& error) {
        LogLine line { LogEvent::EndpointRejected };
        this->log.write(line.add("endpoint", object.name).add("findings", error.what()));
        this->directory.remove(object.name);
    }
}

void Gateway::takeDomain(const VersionedObject& object)
{
    const bool isOut = !object.value.is_null();
    LogLine line { isOut ? LogEvent::DomainWithdrawn : LogEvent::DomainReturned };
    this->log.write(line.add("withdrawn", object.name));
    this->directory.setDomainOut(object.name, isOut);
}

Task<void> Gateway::registerHost()
{
    while (!this->isStopping()) {
        try {
            const nlohmann::json description { { "domain", this->settings.domain },
                { "address", this->settings.digests.address }, { "port", this->settings.digests.port } };
            co_await this->client.put(ObjectKind::Host, this->settings.host, description, 0);
            co_return;
        } catch (const PlatformError& error) {
            // An object of an earlier start of this host serves as well.
            if (error.fault() == PlatformFault::Conflict)
                co_return;
            spdlog::debug("host not registered: {}", error.what());
        }
        co_await this->clock.sleepFor(kRegisterPause);
    }
}

Task<void> Gateway::unregisterHost()
{
    try {
        const auto object = co_await this->client.get(ObjectKind::Host, this->settings.host);
        if (object)
            co_await this->client.remove(ObjectKind::Host, this->settings.host, object->version);
    } catch (const PlatformError& error) {
        // The entry that stays makes other hosts use a smaller part of the fleet's bounds, which is safe.
        spdlog::info("host entry not removed: {}", error.what());
    }
}

Task<void> Gateway::followHosts()
{
    co_await this->registerHost();
    bool isFirst = true;
    while (true) {
        try {
            const auto all = co_await this->client.listAll(ObjectKind::Host, !isFirst);
            this->takeHosts(all.changes);
        } catch (const PlatformError& error) {
            spdlog::debug("hosts not listed: {}", error.what());
        }
        // Hosts that start together register within the first second.
        co_await this->clock.sleepFor(isFirst ? kFirstHostListPause : kHostListInterval);
        isFirst = false;
    }
}

void Gateway::takeHosts(const std::vector<VersionedObject>& objects)
{
    std::vector<std::string> names { this->settings.host };
    std::vector<SocketAddress> addresses;
    for (const auto& object : objects) {
        if (object.name == this->settings.host)
            continue;
        names.push_back(object.name);
        try {
            addresses.push_back(
                { object.value.at("address").get<std::string>(), object.value.at("port").get<std::uint16_t>() });
        } catch (const nlohmann::json::exception& error) {
            // The host still counts for the fleet's bounds, which only makes the parts of all others smaller.
            spdlog::warn("entry of host {} not understood: {}", object.name, error.what());
        }
    }
    if (names.size() != this->hostNames.size()) {
        LogLine line { LogEvent::HostsCounted };
        this->log.write(line.add("hosts", static_cast<std::int64_t>(names.size())));
    }
    this->hostNames = std::move(names);
    this->peers = std::move(addresses);
}

Task<void> Gateway::sendDigests()
{
    while (true) {
        auto digest = this->fleet.describe();
        this->holders.describe(digest);
        const auto bytes = digest.SerializeAsString();
        for (const auto& peer : this->peers)
            this->sendToHost(peer, bytes);
        const auto sent = static_cast<Duration::rep>((bytes.size() + kDatagramOverhead) * this->peers.size());
        this->hostMetrics.addControlBytes(static_cast<std::size_t>(sent));
        co_await this->clock.sleepFor(std::max(kDigestInterval, Duration { sent / kDigestBytesPerMs }));
    }
}

void Gateway::receive(const std::string& address, std::string_view bytes)
{
    const auto isPeer = std::any_of(this->peers.begin(), this->peers.end(),
        [&address](const SocketAddress& peer) { return peer.address == address; });
    wire::Digest digest;
    if (!isPeer || !digest.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        spdlog::debug("message of {} bytes from {} ignored", bytes.size(), address);
        return;
    }
    this->holders.take(digest);
    if (this->fleet.take(std::move(digest)))
        this->holders.announceAll();
}

Task<void> Gateway::maintain()
{
    while (true) {
        this->directory.dropLapsed();
        this->prober.probeDue();
        this->fleet.dropSilent();
        this->holders.dropOld();
        this->log.flush();
        co_await this->clock.sleepFor(kMaintenanceInterval);
    }
}

} // namespace berylwing
