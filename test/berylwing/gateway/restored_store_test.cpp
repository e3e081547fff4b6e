#include "support/gateway_fleet.hpp"
#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time that hosts that start together need to find each other and agree on roles. */
constexpr Duration kSettleTimeout { 6000 };
/** Time within which a new version of the plan has to be in force. */
constexpr Duration kPlanTimeout { 2000 };
constexpr Duration kOutage { 150 };
/** Time after which a host that was cut off from the store has asked it again. */
constexpr Duration kLateRetryTimeout { 4000 };
constexpr std::size_t kHosts = 6;

/** Small fleet that has settled before a copy of its store is made. */
class RestoredFleet : public GatewayFleet {
public:
    explicit RestoredFleet(int hostsPerDomain = 2)
        : GatewayFleet { hostsPerDomain, { "knox-a", "knox-b", "chatt-a" } }
    {
        this->putPlan(1);
        for (int number = 1; number <= 4; ++number)
            this->putEndpoint("engine-" + std::to_string(number));
        this->advance(kSettleTimeout);
        this->copy = this->platform.store;
    }

    /** Writes plans up to a version. */
    void putPlansUntil(std::uint64_t version)
    {
        while (this->lastPlan < version) {
            this->putPlan(++this->lastPlan);
            this->advance(Duration { 300 });
        }
    }

    /** Takes the store away for a moment and restores it from the copy. */
    void restore(Duration outage = kOutage)
    {
        this->platform.failureMode = PlatformFailureMode::Down;
        this->advance(outage);
        this->platform.store.restore(this->copy);
        this->platform.failureMode = PlatformFailureMode::None;
    }

    [[nodiscard]] std::size_t countHostsWithPlan(std::uint64_t version) const
    {
        return this->countHostsWithLog("\"plan\":" + std::to_string(version) + ",");
    }

    ObjectStore copy;
    std::uint64_t lastPlan = 1;
};

} // namespace

TEST_CASE("All hosts take the plans of a restored store whose revisions were given out before", "[gateway][restore]")
{
    const auto plansBefore = GENERATE(2U, 4U, 9U);
    const auto outage = GENERATE(Duration { 50 }, Duration { 150 }, Duration { 500 });
    const bool isPassed = GENERATE(true, false);
    CAPTURE(plansBefore, outage.count(), isPassed);
    RestoredFleet fleet;
    fleet.putPlansUntil(plansBefore);
    fleet.restore(outage);
    // Other writes can give out the revisions up to that of the hosts, so that a watch from before succeeds.
    for (std::uint64_t write = 0; isPassed && write < plansBefore; ++write)
        fleet.putEndpoint("engine-1", write % 2 == 0);
    for (auto version = plansBefore + 1; version < plansBefore + 4; ++version) {
        fleet.putPlan(version);
        fleet.advance(kPlanTimeout);
        CHECK(fleet.countHostsWithPlan(version) == kHosts);
    }
}

TEST_CASE("A host that gets the digests from before a restore late takes the plans of after it", "[gateway][restore]")
{
    RestoredFleet fleet;
    auto& late = *fleet.hosts.begin()->second;
    fleet.putPlansUntil(6);
    late.isSuspended = true;
    fleet.advance(Duration { 300 });
    fleet.restore();
    fleet.putPlan(7);
    fleet.advance(kPlanTimeout);
    fleet.resume(late);
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithPlan(7) == kHosts);
    fleet.putPlan(8);
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithPlan(8) == kHosts);
}

TEST_CASE("All hosts of several groups take the plans of a restored store", "[gateway][restore]")
{
    RestoredFleet fleet { 7 };
    fleet.putPlansUntil(5);
    fleet.restore();
    for (int write = 0; write < 5; ++write)
        fleet.putEndpoint("engine-1", write % 2 == 0);
    for (std::uint64_t version = 6; version < 9; ++version) {
        fleet.putPlan(version);
        fleet.advance(kPlanTimeout);
        CHECK(fleet.countHostsWithPlan(version) == fleet.hosts.size());
    }
}

TEST_CASE("Hosts that get no digests take the plans of a restored store", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.putPlansUntil(5);
    fleet.restore();
    for (const auto& [address, host] : fleet.hosts)
        host->isIsolated = true;
    for (std::uint64_t version = 6; version < 9; ++version) {
        fleet.putPlan(version);
        fleet.advance(kPlanTimeout);
        CHECK(fleet.countHostsWithPlan(version) == kHosts);
    }
}

TEST_CASE("A host that reaches the store no more since a restore does not vouch for its plan", "[gateway][restore]")
{
    RestoredFleet fleet;
    auto& late = *fleet.hosts.begin()->second;
    fleet.putPlansUntil(5);
    fleet.platform.unreachableHosts.insert(late.settings.host);
    fleet.restore();
    fleet.putPlan(6);
    fleet.advance(late.settings.planLease);
    CHECK(fleet.countHostsWithPlan(6) == kHosts - 1);
    CHECK_FALSE(late.gateway->isReady());
    fleet.platform.unreachableHosts.clear();
    fleet.advance(kLateRetryTimeout);
    CHECK(fleet.countHostsWithPlan(6) == kHosts);
    CHECK(late.gateway->isReady());
}

TEST_CASE("A host that starts while the store is away serves nothing until it has listed the restored store",
    "[gateway][restore]")
{
    RestoredFleet fleet;
    auto& started = *fleet.hosts.begin()->second;
    fleet.putPlansUntil(5);
    fleet.platform.failureMode = PlatformFailureMode::Down;
    fleet.restart(started);
    fleet.advance(kPlanTimeout);
    CHECK_FALSE(started.gateway->isReady());
    fleet.restore();
    fleet.putPlan(6);
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithPlan(6) == kHosts);
    CHECK(started.gateway->isReady());
}

TEST_CASE("All hosts take a plan after two restores in quick succession", "[gateway][restore]")
{
    RestoredFleet fleet;
    fleet.putPlansUntil(5);
    fleet.restore();
    fleet.putPlan(6);
    fleet.advance(Duration { 200 });
    fleet.restore();
    fleet.putPlan(6);
    fleet.advance(Duration { 200 });
    fleet.putPlan(7);
    fleet.advance(kPlanTimeout);
    CHECK(fleet.countHostsWithPlan(7) == kHosts);
}

TEST_CASE("Hosts write their entries again after a restore of the store to before their start", "[gateway][restore]")
{
    GatewayFleet fleet { 2, { "knox-a", "knox-b", "chatt-a" } };
    const ObjectStore empty;
    fleet.putPlan(1);
    fleet.advance(kSettleTimeout);
    fleet.platform.store.restore(empty);
    fleet.advance(kSettleTimeout);
    for (const auto& [address, host] : fleet.hosts) {
        CAPTURE(host->settings.host);
        const auto entry = fleet.platform.store.body(ObjectKind::Host, host->settings.host);
        CHECK(nlohmann::json::parse(entry, nullptr, false).value("address", "") == address);
    }
}

TEST_CASE(
    "A host writes its entry again when a delayed removal by an earlier process took it away", "[gateway][restore]")
{
    RestoredFleet fleet;
    const auto& name = fleet.hosts.begin()->second->settings.host;
    PlatformCall call;
    call.operation = PlatformOperation::Get;
    call.kind = ObjectKind::Host;
    call.name = name;
    call.expectedVersion = fleet.platform.store.apply(call).version;
    call.operation = PlatformOperation::Remove;
    CHECK(fleet.platform.store.apply(call).status == PlatformStatus::Ok);
    fleet.advance(kSettleTimeout);
    call.operation = PlatformOperation::Get;
    CHECK(fleet.platform.store.apply(call).status == PlatformStatus::Ok);
}

TEST_CASE("Gateway sends no request to an engine that leaves although a restored store lists it as open",
    "[gateway][restore]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    for (const auto* engine : { "engine-1", "engine-2", "engine-3" })
        harness.putEndpoint(engine, "knox-a");
    harness.advance(kSettleTimeout);
    const auto copy = harness.platform.store;
    harness.putEndpoint("engine-1", "knox-a", true);
    harness.remove(ObjectKind::Endpoint, "engine-2");
    harness.advance(Duration { 500 });
    harness.receivedRequests.clear();
    harness.platform.store.restore(copy);
    for (int number = 0; number < 60; ++number) {
        harness.sendAndWait("attempt-" + std::to_string(number));
        harness.advance(Duration { 100 });
    }
    CHECK(harness.receivedRequests.size() == 60);
    for (const auto& request : harness.receivedRequests)
        CHECK(request.endpoint == "engine-3");
}

TEST_CASE("A host that starts with the plan of a copy does not serve by it while another host has a newer one",
    "[gateway][restore]")
{
    RestoredFleet fleet;
    auto& started = *fleet.hosts.begin()->second;
    fleet.putPlansUntil(5);
    fleet.restore();
    fleet.restart(started);
    for (int check = 0; check < 30; ++check) {
        fleet.advance(Duration { 100 });
        CHECK_FALSE(started.gateway->isReady());
    }
    fleet.putPlan(5);
    fleet.advance(kPlanTimeout);
    CHECK(started.gateway->isReady());
}

TEST_CASE("A host that has heard of a newer plan than that of the copy waits for it though the others fall silent",
    "[gateway][restore]")
{
    RestoredFleet fleet;
    auto& started = *fleet.hosts.begin()->second;
    fleet.putPlansUntil(5);
    fleet.restore();
    fleet.restart(started);
    fleet.advance(Duration { 1000 });
    started.isIsolated = true;
    for (int check = 0; check < 30; ++check) {
        fleet.advance(Duration { 100 });
        CHECK_FALSE(started.gateway->isReady());
    }
    fleet.putPlan(5);
    fleet.advance(kLateRetryTimeout);
    CHECK(started.gateway->isReady());
}

TEST_CASE(
    "The shares of hosts do not grow while a restored store lacks the entries of other hosts", "[gateway][restore]")
{
    GatewayFleet fleet { 2, { "knox-a", "knox-b", "chatt-a" } };
    const ObjectStore empty;
    fleet.putPlan(1);
    fleet.advance(kSettleTimeout);
    for (const auto& [address, host] : fleet.hosts)
        host->logText.clear();
    const auto& lost = fleet.hosts.rbegin()->second;
    SECTION("all write again")
    {
        fleet.platform.store.restore(empty);
        fleet.advance(2 * kSettleTimeout);
        CHECK(fleet.countHostsWithLog("\"hosts_counted\"") == 0);
    }
    SECTION("one is gone")
    {
        lost->isIsolated = true;
        fleet.platform.unreachableHosts.insert(lost->settings.host);
        fleet.platform.store.restore(empty);
        fleet.advance(2 * kSettleTimeout);
        CHECK(fleet.countHostsWithLog("\"hosts_counted\",\"hosts\":5") == kHosts - 1);
        CHECK(fleet.countHostsWithLog("\"hosts_counted\",\"hosts\":4") == 0);
    }
}
