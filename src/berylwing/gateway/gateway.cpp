#include "berylwing/gateway/gateway.hpp"

#include "berylwing/core/finding.hpp"
#include <algorithm>
#include <set>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

/** A change of keys has to be known within a plan's lease; the rest of the lease is for calls that fail. */
constexpr Duration kPlanWait { 2000 };
/** A silent connection to the store must be noticed before endpoints that leave have to be out of use. */
constexpr Duration kEndpointWait { 2500 };
constexpr Duration kDomainWait { 2500 };
/** Part of a lease that is not used, for a request's way to its endpoint. */
constexpr Duration kLeaseMargin { 400 };
/** Time between two looks at the list of hosts, whose number divides the fleet's bounds. */
constexpr Duration kHostListInterval { 10'000 };
constexpr Duration kRegisterPause { 500 };
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
    , coldLimit { gatewaySettings.host, [this]() -> const std::vector<std::string>& { return this->hostNames; } }
    , placement { hostClock, this->directory, this->coldLimit, gatewaySettings.domain }
    , retries { hostClock, gatewaySettings.retries, [this] { return this->hostNames.size(); } }
    , planFeed { hostClock, this->client, ObjectKind::RoutingPlan, kPlanWait, this->planHooks(), this->log }
    , endpointFeed { hostClock, this->client, ObjectKind::Endpoint, kEndpointWait, this->endpointHooks(), this->log }
    , domainFeed { hostClock, this->client, ObjectKind::FailureDomain, kDomainWait, this->domainHooks(), this->log }
    , forwarder { this->forwarderParts(std::move(dependencies.open)) }
{
}

ForwarderParts Gateway::forwarderParts(OpenSession open)
{
    return { this->clock, this->protocol, [this] { return this->plan; }, this->lease, this->directory, this->placement,
        this->retries, std::move(open), this->hostMetrics, this->log };
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
            this->directory.regainStore();
            std::set<std::string, std::less<>> ids;
            for (const auto& object : objects) {
                ids.insert(object.name);
                this->takeEndpoint(object);
            }
            this->directory.retain(ids);
        },
        [this](const VersionedObject& object) {
            this->directory.regainStore();
            this->takeEndpoint(object);
        },
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
            const nlohmann::json description { { "domain", this->settings.domain } };
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
    while (true) {
        try {
            const auto page = co_await this->client.list(ObjectKind::Host, {}, false);
            std::vector<std::string> names { this->settings.host };
            for (const auto& object : page.changes) {
                if (object.name != this->settings.host)
                    names.push_back(object.name);
            }
            if (names.size() != this->hostNames.size()) {
                LogLine line { LogEvent::HostsCounted };
                this->log.write(line.add("hosts", static_cast<std::int64_t>(names.size())));
            }
            this->hostNames = std::move(names);
        } catch (const PlatformError& error) {
            spdlog::debug("hosts not listed: {}", error.what());
        }
        co_await this->clock.sleepFor(kHostListInterval);
    }
}

Task<void> Gateway::maintain()
{
    while (true) {
        this->directory.dropLapsed();
        this->log.flush();
        co_await this->clock.sleepFor(kMaintenanceInterval);
    }
}

} // namespace berylwing
