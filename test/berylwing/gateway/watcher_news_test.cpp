#include "berylwing/core/hash.hpp"
#include "berylwing/relay/response_sink.hpp"
#include "support/gateway_fleet.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Endpoints with a request in progress, whose loads make a digest so large that the next one comes seconds later. */
constexpr int kEndpoints = 700;
constexpr Duration kPlanDeadline { 2000 };
constexpr Duration kStep { 10 };

/** Hosts of one group before endpoints that do not answer. */
class BusyHosts {
public:
    BusyHosts()
    {
        this->fleet.makePlan = makePlan;
        this->fleet.open = [this](const GatewayEndpoint&, ConnectionReuse) { return this->openSession(); };
        this->fleet.putPlan(1);
        for (int number = 0; number < kEndpoints; ++number)
            this->fleet.putEndpoint("engine-" + std::to_string(number));
        this->fleet.advance(Duration { 4000 });
    }

    /** Returns a host by its rank; the first one that is up watches the store, and two more have shorter intervals. */
    GatewayFleet::Host& ranked(std::size_t rank)
    {
        std::vector<GatewayFleet::Host*> all;
        all.reserve(this->fleet.hosts.size());
        for (const auto& [address, host] : this->fleet.hosts)
            all.push_back(host.get());
        std::sort(all.begin(), all.end(), [](const auto* left, const auto* right) {
            return hashText(left->settings.host) < hashText(right->settings.host);
        });
        return *all.at(rank);
    }

    /** Kills a host for good. */
    void kill(GatewayFleet::Host& host)
    {
        host.isIsolated = true;
        this->fleet.platform.unreachableHosts.insert(host.settings.host);
        this->killed.insert(&host);
    }

    /** Sends a request to each endpoint through a host. */
    void occupy(GatewayFleet::Host& host)
    {
        for (int number = 0; number < kEndpoints; ++number) {
            auto& request = *this->requests.emplace_back(std::make_unique<GatewayRequest>());
            request.method = "GET";
            request.target = "/status/1";
            request.hostname = "hooks.example";
            request.arrivedAt = this->fleet.time;
            request.metadata.attemptId = host.settings.host + std::to_string(number);
            spawn(this->fleet.runtimeClock().executor(), "caller",
                [](Gateway* gateway, GatewayRequest& sent, const ResponseWriter& sink) -> Task<void> {
                    static_cast<void>(co_await gateway->handle(sent, sink));
                }(host.gateway.get(), request, this->writer));
            if (number % 100 == 0)
                this->fleet.advance(kStep);
        }
    }

    /** Writes a plan and returns the time after which all hosts that are up have it. */
    Duration changePlan(std::uint64_t version)
    {
        this->fleet.putPlan(version);
        const auto writtenAt = this->fleet.time;
        const auto text = "\"event\":\"plan_taken\",\"plan\":" + std::to_string(version) + ",";
        while (this->fleet.time < writtenAt + 2 * kPlanDeadline && this->isAnyWithout(text))
            this->fleet.advance(kStep);
        return this->fleet.time - writtenAt;
    }

    [[nodiscard]] bool isAnyWithout(const std::string& text) const
    {
        return std::any_of(this->fleet.hosts.begin(), this->fleet.hosts.end(), [this, &text](const auto& entry) {
            return !this->killed.contains(entry.second.get()) && entry.second->logText.find(text) == std::string::npos;
        });
    }

    /** Outlive the hosts, whose tasks refer to them. */
    std::vector<std::unique_ptr<GatewayRequest>> requests;
    ResponseWriter writer { [](const ResponseHead&) -> Task<void> { co_return; },
        [](std::string_view) -> Task<void> { co_return; } };
    std::set<const GatewayFleet::Host*> killed;
    GatewayFleet fleet { 9, { "knox" } };

private:
    static RoutingPlan makePlan(std::uint64_t version)
    {
        RoutingPlan plan { version };
        Route route;
        route.name = "status";
        route.hostname = "hooks.example";
        route.pathPrefix = "/status/";
        route.kind = RouteKind::Idempotent;
        route.timeout = Duration { 60'000 };
        route.services = { { "engines", 1 } };
        route.isPublic = true;
        plan.add(route);
        plan.add(ServiceTraits { "engines", 100, 0, Duration {} });
        return plan;
    }

    [[nodiscard]] Task<std::shared_ptr<EndpointSession>> openSession()
    {
        const auto session = std::make_shared<EndpointSession>();
        session->send = [](const EndpointRequest&) -> Task<void> { co_return; };
        session->readHead = [this](TimePoint deadline) -> Task<ResponseHead> {
            co_await this->fleet.runtimeClock().sleepFor(deadline - this->fleet.time);
            throw EndpointError { EndpointFault::Silent, "no answer" };
        };
        session->readBody = [](TimePoint) -> Task<std::optional<std::string>> { co_return std::nullopt; };
        session->abort = [] {};
        co_return session;
    }
};

} // namespace

// Guards against changes that come late because a host sends its first news as the watcher with its next digest, which
// its load makes rare (CONFIG).
TEST_CASE("Changes are in force in time although the digests of the next watcher are rare", "[gateway][news]")
{
    BusyHosts hosts;
    auto& next = hosts.ranked(2);
    hosts.occupy(next);
    hosts.fleet.advance(Duration { 3000 });
    REQUIRE(next.logText.find("digest_interval_changed") != std::string::npos);
    // Calls of the other hosts take too long for them to notice the change by themselves.
    for (const auto& [address, host] : hosts.fleet.hosts) {
        if (host.get() != &next)
            hosts.fleet.platform.slowHosts.insert(host->settings.host);
    }
    hosts.kill(hosts.ranked(0));
    hosts.kill(hosts.ranked(1));
    CHECK(hosts.changePlan(2) <= kPlanDeadline);
    CHECK(hosts.changePlan(3) <= kPlanDeadline);
}

// Guards against a group without news because its watcher stops: the others no longer hear it, and took it for the
// watcher until its last digest was old (CONFIG).
TEST_CASE("The next host watches the store as soon as the watcher of a group has left", "[gateway][news]")
{
    BusyHosts hosts;
    auto& watcher = hosts.ranked(0);
    auto& next = hosts.ranked(1);
    const auto logSize = next.logText.size();
    const auto hasLogged
        = [&next, logSize](const std::string& text) { return next.logText.find(text, logSize) != std::string::npos; };
    watcher.gateway->beginStop();
    spawn(hosts.fleet.runtimeClock().executor(), "unregister", watcher.gateway->unregisterHost());
    for (int step = 0; step < 300 && !hasLogged("\"hosts\":8}"); ++step)
        hosts.fleet.advance(kStep);
    REQUIRE(hasLogged("\"hosts\":8}"));
    hosts.fleet.advance(Duration { 500 });
    CHECK(hasLogged("\"watcher\":1"));
    CHECK(hosts.changePlan(2) <= kPlanDeadline);
}

// Guards against a group without a watcher for several of the intervals that its last one had.
TEST_CASE("Another host watches the store soon after a watcher with rare digests is gone", "[gateway][news]")
{
    BusyHosts hosts;
    auto& next = hosts.ranked(2);
    hosts.occupy(next);
    hosts.fleet.advance(Duration { 3000 });
    hosts.kill(hosts.ranked(0));
    hosts.kill(hosts.ranked(1));
    hosts.fleet.advance(Duration { 2000 });
    hosts.kill(next);
    hosts.fleet.advance(Duration { 2500 });
    const auto watchers = hosts.fleet.watchers();
    CHECK(std::find(watchers.begin(), watchers.end(), &hosts.ranked(3)) != watchers.end());
}
