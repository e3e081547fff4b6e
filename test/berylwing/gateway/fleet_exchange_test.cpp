#include "support/gateway_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time in which hosts that start together find each other. */
constexpr Duration kSettling { 6000 };
/** Time for which an endpoint may be used after it began to leave. */
constexpr Duration kDrainBound { 2000 };
/** Time after which a version of the plan has to be in force. */
constexpr Duration kPlanBound { 2000 };

const std::vector<std::string> kDomains { "knox-a", "knox-b", "chatt-a" };

/** Fleet that has settled, with a plan and some endpoints. */
class SettledFleet : public GatewayFleet {
public:
    explicit SettledFleet(int hostsPerDomain, const ChangeBounds& bounds = {})
        : GatewayFleet { hostsPerDomain, kDomains, bounds }
    {
        this->putPlan(1);
        for (int number = 1; number <= 4; ++number)
            this->putEndpoint("engine-" + std::to_string(number));
        this->advance(kSettling);
    }

    /** Calls of all hosts in ten seconds in which endpoints change four times a second. */
    int callsWhileEndpointsChange()
    {
        const auto before = this->calls();
        for (int round = 0; round < 40; ++round) {
            this->putEndpoint("flapping", round % 2 == 1);
            this->advance(Duration { 250 });
        }
        return this->calls() - before;
    }
};

} // namespace

TEST_CASE("One host of each group watches the store for all others, two speak for it", "[gateway][exchange]")
{
    SettledFleet small { 2 };
    SettledFleet large { 9 };
    CHECK(small.delegates().size() == 2);
    CHECK(large.delegates().size() == 2 * kDomains.size());
    CHECK(small.watchers().size() == 1);
    CHECK(large.watchers().size() == kDomains.size());
    const auto callsOfSmall = small.callsWhileEndpointsChange();
    const auto callsOfLarge = large.callsWhileEndpointsChange();
    // Calls grow with the number of groups, not with the number of hosts.
    CHECK(callsOfLarge <= static_cast<int>(kDomains.size()) * callsOfSmall + 27);
}

TEST_CASE("All hosts learn in time of an endpoint that leaves and of a new plan", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    const auto loss = GENERATE(0, 1, 2);
    const auto watchers = fleet.watchers();
    for (int lost = 0; lost < loss; ++lost)
        watchers[static_cast<std::size_t>(lost)]->isIsolated = true;
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(std::min(kDrainBound, kPlanBound));
    CHECK(fleet.hostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
    CHECK(fleet.hostsWithLog("\"plan\":7") == fleet.hosts.size());
}

TEST_CASE(
    "All hosts learn in time of changes although the watcher's way to the store falls silent", "[gateway][exchange]")
{
    // At any moment of the watches; the other hosts reach the store all the while.
    const auto moment = GENERATE(range(0, 1600, 200));
    SettledFleet fleet { 3 };
    fleet.advance(Duration { moment });
    fleet.platform.silenced.insert(fleet.watchers()[0]->settings.host);
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(std::min(kDrainBound, kPlanBound));
    CHECK(fleet.hostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        >= fleet.hosts.size() - 1);
    CHECK(fleet.hostsWithLog("\"plan\":7") >= fleet.hosts.size() - 1);
}

TEST_CASE("A host whose own call has failed asks again as soon as no watcher is trusted", "[gateway][exchange]")
{
    // The watcher's calls are so slow that it is trusted by turns only, and a member's own call fails meanwhile.
    const auto moment = GENERATE(range(0, 1800, 100));
    SettledFleet fleet { 3 };
    fleet.planBytes = 5000;
    const auto watcher = fleet.watchers()[0]->settings.host;
    auto& member = *fleet.hosts.at(watcher == "knox-a-1" ? "10.0.0.2" : "10.0.0.1");
    fleet.platform.slowed.insert(watcher);
    fleet.platform.cutOff.insert(member.settings.host);
    for (int tick = 0; tick < 300 && member.logText.find("\"dependency_lost\"") == std::string::npos; ++tick)
        fleet.advance(Duration { 10 });
    REQUIRE(member.logText.find("\"dependency_lost\"") != std::string::npos);
    fleet.platform.cutOff.clear();
    fleet.advance(Duration { moment });
    fleet.platform.silenced.insert(watcher);
    fleet.putPlan(7);
    fleet.advance(kPlanBound);
    CHECK(member.logText.find("\"plan\":7") != std::string::npos);
}

TEST_CASE("Hosts rely on a watcher that is out of touch for no longer than the bounds on changes allow",
    "[gateway][exchange]")
{
    // Digests get lost for a while, as at hosts that run slowly behind narrow links.
    constexpr Duration kOutOfTouch { 600 };
    SettledFleet fleet { 9, { Duration { 3000 }, Duration { 3000 }, Duration { 5000 } } };
    const auto watchers = fleet.watchers();
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->calls;
    for (int round = 0; round < 5; ++round) {
        for (auto* watcher : watchers)
            watcher->isIsolated = true;
        fleet.advance(kOutOfTouch);
        for (auto* watcher : watchers)
            watcher->isIsolated = false;
        fleet.advance(Duration { 2000 });
    }
    for (const auto& [host, calls] : before) {
        if (std::find(watchers.begin(), watchers.end(), host) == watchers.end())
            CHECK(host->calls == calls);
    }
    // A watcher whose way to the store has fallen silent is given up in time.
    const auto moment = GENERATE(range(0, 1600, 200));
    fleet.advance(Duration { moment });
    for (auto* watcher : watchers)
        fleet.platform.silenced.insert(watcher->settings.host);
    fleet.putEndpoint("engine-1", true);
    fleet.putPlan(7);
    fleet.advance(Duration { 3000 });
    CHECK(fleet.hostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        >= fleet.hosts.size() - watchers.size());
    CHECK(fleet.hostsWithLog("\"plan\":7") >= fleet.hosts.size() - watchers.size());
}

TEST_CASE("The loss of a watcher makes only its successor ask the store", "[gateway][exchange]")
{
    SettledFleet fleet { 9, { Duration { 3000 }, Duration { 3000 }, Duration { 5000 } } };
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->calls;
    auto involved = fleet.watchers();
    for (auto* watcher : involved)
        watcher->isIsolated = true;
    fleet.advance(Duration { 4000 });
    for (auto* watcher : fleet.watchers())
        involved.push_back(watcher);
    CHECK(involved.size() > kDomains.size());
    for (const auto& [host, calls] : before) {
        if (std::find(involved.begin(), involved.end(), host) == involved.end())
            CHECK(host->calls == calls);
    }
}

TEST_CASE("Watchers pass many changes at once without falling behind with their digests", "[gateway][exchange]")
{
    // All endpoints of a large service register within a few seconds, as after a start.
    SettledFleet fleet { 17 };
    fleet.endpointBytes = 250;
    const auto watchers = fleet.watchers();
    std::map<GatewayFleet::Host*, int> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->calls;
    for (int number = 0; number < 90; ++number) {
        fleet.putEndpoint("joined-" + std::to_string(number));
        fleet.advance(Duration { 30 });
    }
    fleet.advance(kDrainBound);
    CHECK(fleet.hostsWithLog("\"endpoint\":\"joined-89\"") == fleet.hosts.size());
    for (const auto& [host, calls] : before) {
        if (std::find(watchers.begin(), watchers.end(), host) == watchers.end())
            CHECK(host->calls == calls);
    }
}

TEST_CASE("A host that was suspended does not trust old news of its delegates", "[gateway][exchange]")
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
    fleet.platform.cutOff.insert(member->settings.host);
    fleet.advance(Duration { 1000 });
    // The others fall silent, so that all that waits for the host is old.
    for (const auto& [address, each] : fleet.hosts)
        each->isIsolated = each.get() != member;
    fleet.advance(Duration { 5000 });
    fleet.resume(*member);
    CHECK_FALSE(member->gateway->isReady());
}

TEST_CASE("A group that is cut off from all others asks the store itself", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    for (const auto& [address, host] : fleet.hosts)
        host->isIsolated = host->settings.domain == "knox-b";
    fleet.advance(Duration { 8000 });
    for (const auto& [address, host] : fleet.hosts)
        CHECK(host->gateway->isReady());
}

TEST_CASE("Hosts that the store turns away serve on by the news of those that it serves", "[gateway][exchange]")
{
    SettledFleet fleet { 3 };
    // The watcher and three others, while plans change whose documents are too large for digests.
    fleet.planBytes = 5000;
    fleet.platform.cutOff.insert(fleet.watchers()[0]->settings.host);
    for (const auto* host : { "knox-a-1", "knox-b-2", "chatt-a-3" })
        fleet.platform.cutOff.insert(host);
    for (std::uint64_t version = 2; version <= 6; ++version) {
        fleet.advance(Duration { 1000 });
        fleet.putPlan(version);
        fleet.advance(kPlanBound);
        CHECK(fleet.hostsWithLog("\"plan\":" + std::to_string(version)) == fleet.hosts.size());
        for (const auto& [address, host] : fleet.hosts)
            CHECK(host->gateway->isReady());
    }
}

TEST_CASE("Few hosts ask for the store while it is away, and all are up to date soon after", "[gateway][exchange]")
{
    SettledFleet fleet { 9 };
    fleet.platform.trouble = PlatformTrouble::Down;
    fleet.advance(Duration { 2000 });
    const auto before = fleet.calls();
    fleet.advance(Duration { 6000 });
    // Three watchers try twice a second or somewhat more, the other hosts every three seconds.
    CHECK(fleet.calls() - before <= 3 * 6 * 4 + 24 * 3);
    fleet.platform.trouble = PlatformTrouble::None;
    fleet.putPlan(9);
    fleet.putEndpoint("engine-2", true);
    fleet.advance(kPlanBound);
    CHECK(fleet.hostsWithLog("\"plan\":9") == fleet.hosts.size());
    CHECK(fleet.hostsWithLog("\"endpoint\":\"engine-2\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
}

TEST_CASE("All hosts know a new plan in time although the store has dropped its history", "[gateway][exchange]")
{
    SettledFleet fleet { 3 };
    // All watches are cut, and what happened meanwhile is not told any more.
    fleet.platform.trouble = PlatformTrouble::Down;
    fleet.advance(Duration { 300 });
    fleet.putPlan(4);
    fleet.platform.store.dropHistory();
    fleet.platform.trouble = PlatformTrouble::None;
    fleet.advance(kPlanBound);
    CHECK(fleet.hostsWithLog("\"plan\":4") == fleet.hosts.size());
}

TEST_CASE("Control traffic of a host that is no delegate keeps to what the target allows", "[gateway][exchange]")
{
    constexpr std::size_t kMostBytesPerSecond = 12 * 1024;
    SettledFleet fleet { 17 };
    const auto delegates = fleet.delegates();
    std::map<GatewayFleet::Host*, std::size_t> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->bytesSent;
    fleet.advance(Duration { 10'000 });
    for (const auto& [host, bytes] : before) {
        if (std::find(delegates.begin(), delegates.end(), host) == delegates.end())
            CHECK((host->bytesSent - bytes) / 10 <= kMostBytesPerSecond);
    }
}
