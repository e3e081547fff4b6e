#include "support/gateway_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time that hosts that start together need to find each other and agree on roles. */
constexpr Duration kSettleTimeout { 6000 };
/** Time for which an endpoint may still be used after it began to leave. */
constexpr Duration kDrainTimeout { 2000 };
/** Time within which a new version of the plan has to be in force. */
constexpr Duration kPlanTimeout { 2000 };

const std::vector<std::string> kDomains { "knox-a", "knox-b", "chatt-a" };

/** Fleet with a plan and some endpoints whose hosts have found each other and agreed on roles. */
class SettledFleet : public GatewayFleet {
public:
    explicit SettledFleet(int hostsPerDomain, const ChangeDeadlines& bounds = {})
        : GatewayFleet { hostsPerDomain, kDomains, bounds }
    {
        this->putPlan(1);
        for (int number = 1; number <= 4; ++number)
            this->putEndpoint("engine-" + std::to_string(number));
        this->advance(kSettleTimeout);
    }

    /** Counts the calls of all hosts to the store in ten seconds, while an endpoint changes four times a second. */
    int countCallsWhileEndpointsChange()
    {
        const auto before = this->storeCalls();
        for (int round = 0; round < 40; ++round) {
            this->putEndpoint("flapping", round % 2 == 1);
            this->advance(Duration { 250 });
        }
        return this->storeCalls() - before;
    }
};

} // namespace

TEST_CASE("Each group has one watcher and two delegates, whatever its size", "[gateway][exchange]")
{
    SettledFleet small { 2 };
    SettledFleet large { 9 };
    CHECK(small.delegates().size() == 2);
    CHECK(large.delegates().size() == 2 * kDomains.size());
    CHECK(small.watchers().size() == 1);
    CHECK(large.watchers().size() == kDomains.size());
    const auto smallFleetCalls = small.countCallsWhileEndpointsChange();
    const auto largeFleetCalls = large.countCallsWhileEndpointsChange();
    // The number of calls grows with the number of groups, not with the number of hosts.
    CHECK(largeFleetCalls <= static_cast<int>(kDomains.size()) * smallFleetCalls + 27);
}

TEST_CASE("All hosts learn of a leaving endpoint and a new plan in time", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    const auto lostWatchers = GENERATE(0, 1, 2);
    const auto watchers = fleet.watchers();
    for (int index = 0; index < lostWatchers; ++index)
        watchers[static_cast<std::size_t>(index)]->isIsolated = true;
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(std::min(kDrainTimeout, kPlanTimeout));
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
    CHECK(fleet.countHostsWithLog("\"plan\":7") == fleet.hosts.size());
}

TEST_CASE("All hosts learn of changes in time when the watcher's connection to the store hangs", "[gateway][exchange]")
{
    // The connection may hang at any point of a watch. The other hosts still reach the store.
    const auto delayMs = GENERATE(range(0, 1600, 200));
    SettledFleet fleet { 3 };
    fleet.advance(Duration { delayMs });
    fleet.platform.silentHosts.insert(fleet.watchers()[0]->settings.host);
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(std::min(kDrainTimeout, kPlanTimeout));
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        >= fleet.hosts.size() - 1);
    CHECK(fleet.countHostsWithLog("\"plan\":7") >= fleet.hosts.size() - 1);
}

TEST_CASE("A host whose own call failed retries as soon as it trusts no watcher", "[gateway][exchange]")
{
    // The watcher's calls are so slow that hosts trust it only intermittently, and a member's own call fails meanwhile.
    const auto delayMs = GENERATE(range(0, 1800, 100));
    SettledFleet fleet { 3 };
    fleet.planBytes = 5000;
    const auto watcher = fleet.watchers()[0]->settings.host;
    auto& member = *fleet.hosts.at(watcher == "knox-a-1" ? "10.0.0.2" : "10.0.0.1");
    fleet.platform.slowHosts.insert(watcher);
    fleet.platform.unreachableHosts.insert(member.settings.host);
    for (int tick = 0; tick < 300 && member.logText.find("\"dependency_lost\"") == std::string::npos; ++tick)
        fleet.advance(Duration { 10 });
    REQUIRE(member.logText.find("\"dependency_lost\"") != std::string::npos);
    fleet.platform.unreachableHosts.clear();
    fleet.advance(Duration { delayMs });
    fleet.platform.silentHosts.insert(watcher);
    fleet.putPlan(7);
    fleet.advance(kPlanTimeout);
    CHECK(member.logText.find("\"plan\":7") != std::string::npos);
}

TEST_CASE(
    "Hosts rely on a disconnected watcher no longer than the time limits for changes allow", "[gateway][exchange]")
{
    // Digests are lost for short periods, as on slow hosts behind narrow links.
    constexpr Duration kIsolationInterval { 600 };
    SettledFleet fleet { 9, { Duration { 3000 }, Duration { 3000 }, Duration { 5000 } } };
    const auto watchers = fleet.watchers();
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->storeCalls;
    for (int round = 0; round < 5; ++round) {
        for (auto* watcher : watchers)
            watcher->isIsolated = true;
        fleet.advance(kIsolationInterval);
        for (auto* watcher : watchers)
            watcher->isIsolated = false;
        fleet.advance(Duration { 2000 });
    }
    for (const auto& [host, calls] : before) {
        if (std::find(watchers.begin(), watchers.end(), host) == watchers.end())
            CHECK(host->storeCalls == calls);
    }
    // Hosts stop relying on a watcher whose connection to the store hangs in time.
    const auto delayMs = GENERATE(range(0, 1600, 200));
    fleet.advance(Duration { delayMs });
    for (auto* watcher : watchers)
        fleet.platform.silentHosts.insert(watcher->settings.host);
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(Duration { 3000 });
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        >= fleet.hosts.size() - watchers.size());
    CHECK(fleet.countHostsWithLog("\"plan\":7") >= fleet.hosts.size() - watchers.size());
}

TEST_CASE("After the loss of a watcher, only its successor calls the store", "[gateway][exchange]")
{
    SettledFleet fleet { 9, { Duration { 3000 }, Duration { 3000 }, Duration { 5000 } } };
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->storeCalls;
    auto involved = fleet.watchers();
    for (auto* watcher : involved)
        watcher->isIsolated = true;
    fleet.advance(Duration { 4000 });
    for (auto* watcher : fleet.watchers())
        involved.push_back(watcher);
    CHECK(involved.size() > kDomains.size());
    for (const auto& [host, calls] : before) {
        if (std::find(involved.begin(), involved.end(), host) == involved.end())
            CHECK(host->storeCalls == calls);
    }
}

TEST_CASE("Watchers relay many changes at once without delaying their digests", "[gateway][exchange]")
{
    // All endpoints of a large service register within a few seconds, as when the service starts.
    SettledFleet fleet { 17 };
    fleet.endpointBytes = 250;
    const auto watchers = fleet.watchers();
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->storeCalls;
    for (int number = 0; number < 90; ++number) {
        fleet.putEndpoint("joined-" + std::to_string(number));
        fleet.advance(Duration { 30 });
    }
    fleet.advance(kDrainTimeout);
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"joined-89\"") == fleet.hosts.size());
    for (const auto& [host, calls] : before) {
        if (std::find(watchers.begin(), watchers.end(), host) == watchers.end())
            CHECK(host->storeCalls == calls);
    }
}

TEST_CASE("A host that was suspended does not trust outdated news from its delegates", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    const auto delegates = fleet.delegates();
    GatewayFleet::Host* member = nullptr;
    for (const auto& [address, each] : fleet.hosts) {
        const bool isDelegate = std::find(delegates.begin(), delegates.end(), each.get()) != delegates.end();
        if (!isDelegate && each->settings.domain == kDomains.front())
            member = each.get();
    }
    REQUIRE(member != nullptr);
    CHECK(member->gateway->isReady());
    member->isSuspended = true;
    fleet.platform.unreachableHosts.insert(member->settings.host);
    fleet.advance(Duration { 1000 });
    // The other hosts stop sending, so that all messages queued for the suspended host are outdated.
    for (const auto& [address, each] : fleet.hosts)
        each->isIsolated = each.get() != member;
    fleet.advance(Duration { 5000 });
    fleet.resume(*member);
    CHECK_FALSE(member->gateway->isReady());
}

TEST_CASE("A group that is cut off from all others watches the store itself", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    for (const auto& [address, host] : fleet.hosts)
        host->isIsolated = host->settings.domain == "knox-b";
    fleet.advance(Duration { 8000 });
    for (const auto& [address, host] : fleet.hosts)
        CHECK(host->gateway->isReady());
}

TEST_CASE("Hosts that the store refuses keep serving with news from hosts that reach it", "[gateway][exchange]")
{
    SettledFleet fleet { 3 };
    // The store refuses the watcher and three other hosts, while plans change that are too large for digests.
    fleet.planBytes = 5000;
    fleet.platform.unreachableHosts.insert(fleet.watchers()[0]->settings.host);
    for (const auto* host : { "knox-a-1", "knox-b-2", "chatt-a-3" })
        fleet.platform.unreachableHosts.insert(host);
    for (std::uint64_t version = 2; version <= 6; ++version) {
        fleet.advance(Duration { 1000 });
        fleet.putPlan(version);
        fleet.advance(kPlanTimeout);
        CHECK(fleet.countHostsWithLog("\"plan\":" + std::to_string(version)) == fleet.hosts.size());
        for (const auto& [address, host] : fleet.hosts)
            CHECK(host->gateway->isReady());
    }
}

TEST_CASE(
    "Hosts that the store refuses get plans from the watcher that do not fit into a datagram", "[gateway][exchange]")
{
    SettledFleet fleet { 3 };
    fleet.planBytes = 300'000;
    const auto watcher = fleet.watchers()[0]->settings.host;
    for (const auto& [address, host] : fleet.hosts) {
        if (host->settings.host != watcher)
            fleet.platform.unreachableHosts.insert(host->settings.host);
    }
    for (std::uint64_t version = 2; version <= 4; ++version) {
        fleet.putPlan(version);
        fleet.advance(kPlanTimeout);
        CHECK(fleet.countHostsWithLog("\"plan\":" + std::to_string(version)) == fleet.hosts.size());
    }
}

TEST_CASE("Few hosts probe the store during an outage, and all are up to date soon after it", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    fleet.platform.failureMode = PlatformFailureMode::Down;
    fleet.advance(Duration { 2000 });
    const auto before = fleet.storeCalls();
    fleet.advance(Duration { 6000 });
    // The three watchers retry twice a second or slightly more often, the other hosts every three seconds.
    CHECK(fleet.storeCalls() - before <= 3 * 6 * 4 + 24 * 3);
    fleet.platform.failureMode = PlatformFailureMode::None;
    fleet.putPlan(9);
    fleet.putEndpoint("engine-2", true);
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithLog("\"plan\":9") == fleet.hosts.size());
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-2\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
}

TEST_CASE("All hosts learn of a new plan in time although the store has dropped its history", "[gateway][exchange]")
{
    SettledFleet fleet { 3 };
    // All watches break, and the store no longer has the changes that were made meanwhile.
    fleet.platform.failureMode = PlatformFailureMode::Down;
    fleet.advance(Duration { 300 });
    fleet.putPlan(4);
    fleet.platform.store.dropHistory();
    fleet.platform.failureMode = PlatformFailureMode::None;
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithLog("\"plan\":4") == fleet.hosts.size());
}

TEST_CASE("Control traffic of a host that is not a delegate stays within its limit", "[gateway][exchange]")
{
    constexpr std::size_t kMaxBytesPerSecond = 12 * 1024;
    SettledFleet fleet { 17 };
    const auto delegates = fleet.delegates();
    std::map<GatewayFleet::Host*, std::size_t> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->bytesSent;
    fleet.advance(Duration { 10'000 });
    for (const auto& [host, bytes] : before) {
        if (std::find(delegates.begin(), delegates.end(), host) == delegates.end())
            CHECK((host->bytesSent - bytes) / 10 <= kMaxBytesPerSecond);
    }
}

TEST_CASE("Hosts answer queries for the versions of streams, from known hosts only", "[gateway][exchange][streams]")
{
    SettledFleet fleet { 2 };
    auto& host = *fleet.hosts.at("10.0.0.1");
    wire::FleetMessage query;
    query.add_stream_queries(7);
    wire::FleetMessage unknown;
    unknown.add_unknown_streams(7);
    unknown.set_streams_kept_ms(kSettleTimeout.count());
    const auto bytesBefore = host.bytesSent;
    const auto controlBytesBefore = host.gateway->metrics().controlBytes();
    host.gateway->receive("10.9.9.9", query.SerializeAsString());
    CHECK(host.bytesSent == bytesBefore);
    host.gateway->receive("10.1.0.2", query.SerializeAsString());
    CHECK(host.bytesSent == bytesBefore + unknown.ByteSizeLong());
    // The headers of the datagram count, too.
    CHECK(host.gateway->metrics().controlBytes() > controlBytesBefore + unknown.ByteSizeLong());
    // What other hosts report is known from then on.
    auto& report = *query.mutable_stream_report();
    report.add_streams(7);
    report.add_versions(101);
    report.add_ttls(10'000);
    wire::FleetMessage known;
    *known.mutable_stream_report() = report;
    host.gateway->receive("10.1.0.2", query.SerializeAsString());
    CHECK(host.bytesSent == bytesBefore + unknown.ByteSizeLong() + known.ByteSizeLong());
}
