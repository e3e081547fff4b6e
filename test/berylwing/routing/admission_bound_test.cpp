#include "support/chat_load.hpp"
#include "support/fault_matrix.hpp"
#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <random>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kWarmUp { 4000 };
constexpr Duration kFaultTime { 4000 };
constexpr Duration kRecoveryTime { 4000 };

/** @brief Creates a plan with a single engine, so that the load reaches its capacity. @return Plan. */
FleetPlan saturatedPlan()
{
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.hostsPerDomain = 4;
    plan.enginesPerDomain = 1;
    plan.servicesPerDomain = 0;
    return plan;
}

/** @brief Counts the instants at which an engine runs more requests than its capacity. */
class CapacityMonitor {
public:
    CapacityMonitor(TestFleet& testFleet, std::vector<std::string> engineNames, std::uint32_t maxRequests)
        : fleet { testFleet }
        , engines { std::move(engineNames) }
        , capacity { maxRequests }
    {
        this->fleet.invariant = [this] {
            for (const auto& name : this->engines) {
                if (this->fleet.endpoints.at(name).model.running > this->capacity)
                    ++this->violations;
            }
        };
    }

    std::uint32_t violations = 0;

private:
    TestFleet& fleet;
    std::vector<std::string> engines;
    std::uint32_t capacity;
};

} // namespace

TEST_CASE("No engine gets more than its capacity with any fault at any step", "[routing][matrix]")
{
    int cells = 0;
    forEachCell([&](Step step, Fault fault) {
        INFO("step " << kStepNames[step] << ", fault " << kFaultNames[fault]);
        TestFleet fleet;
        startFleet(fleet, saturatedPlan());
        CapacityMonitor monitor { fleet, { "knox-engine-0" }, 8 };
        ChatLoad load { fleet, 24, 1 };
        load.run(kWarmUp);
        FaultCell cell { fleet, step, fault, "knox-engine-0" };
        load.run(kFaultTime);
        cell.end();
        load.run(kRecoveryTime);
        CHECK(monitor.violations == 0);
        CHECK(fleet.endpoints.maxRunning("knox-engine-0") <= 8);
        ++cells;
    });
    std::cout << "matrix capacity: " << cells << " cells run\n";
}

TEST_CASE("No engine gets more than its capacity while hosts flap, pause and disagree", "[routing][chaos]")
{
    for (unsigned seed = 1; seed <= 40; ++seed) {
        INFO("seed " << seed);
        TestFleet fleet;
        auto plan = saturatedPlan();
        plan.hostsPerDomain = 5;
        startFleet(fleet, plan);
        CapacityMonitor monitor { fleet, { "knox-engine-0" }, 8 };
        ChatLoad load { fleet, 60, seed };
        load.run(kWarmUp);
        std::mt19937 random { seed };
        for (int event = 0; event < 25; ++event) {
            const auto hosts = fleet.hosts();
            const auto& host = hosts[random() % hosts.size()];
            const auto& other = hosts[random() % hosts.size()];
            switch (random() % 10) {
            case 0:
                if (hosts.size() > 2)
                    fleet.kill(host);
                break;
            case 1:
                fleet.start("knox-" + std::to_string(random() % 6), "knox");
                break;
            case 2:
            case 3:
                fleet.pause(host);
                break;
            case 4:
                for (const auto& each : hosts)
                    fleet.resume(each);
                break;
            case 5:
                if (host != other)
                    fleet.cut(host, other, random() % 2 == 0);
                break;
            case 6:
                fleet.healAll();
                break;
            case 7:
                fleet.platform.failureMode = static_cast<PlatformFailureMode>(random() % 5);
                break;
            case 8:
                fleet.platform.failureMode = PlatformFailureMode::None;
                fleet.platform.unreachableHosts.clear();
                break;
            case 9:
                fleet.platform.unreachableHosts.insert(host);
                break;
            }
            load.run(Duration { 100 + static_cast<int>(random() % 1500) });
        }
        CHECK(monitor.violations == 0);
        CHECK(fleet.endpoints.maxRunning("knox-engine-0") <= 8);
    }
}

TEST_CASE("An acting owner waits until the engine's load is within the silent owner's share", "[routing]")
{
    TestFleet fleet;
    startFleet(fleet, saturatedPlan());
    CapacityMonitor monitor { fleet, { "knox-engine-0" }, 8 };
    ChatLoad load { fleet, 60, 1 };
    load.run(kWarmUp);
    fleet.endpoints.tokens = 300;
    load.run(kWarmUp);
    REQUIRE(fleet.endpoints.at("knox-engine-0").model.running == 8);
    const auto owner = fleet.ownerOf("knox-engine-0");
    for (const auto& host : fleet.hosts()) {
        if (host != owner)
            fleet.cut(owner, host);
    }
    load.run(Duration { 15'000 });
    CHECK(monitor.violations == 0);
    fleet.healAll();
    load.run(kRecoveryTime);
    CHECK(monitor.violations == 0);
}

TEST_CASE("A cold engine stays within its cold limit once its restart is noticed", "[routing][cold]")
{
    TestFleet fleet;
    auto plan = saturatedPlan();
    plan.enginesPerDomain = 2;
    startFleet(fleet, plan);
    // A slow connect leaves admitted requests waiting when the engine turns cold; they have to be held back as well.
    fleet.endpoints.connectTime = Duration { 200 };
    ChatLoad load { fleet, 24, 1 };
    load.run(kWarmUp);
    // The owner notices a restart by a new boot id or a broken connection.
    auto& model = fleet.endpoints.at("knox-engine-0").model;
    bool wasKnownCold = false;
    std::uint32_t previousFalls = 0;
    std::uint32_t violations = 0;
    fleet.invariant = [&] {
        if (wasKnownCold && model.overloadCrashes > previousFalls)
            ++violations;
        previousFalls = model.overloadCrashes;
        const auto owner = fleet.ownerOf("knox-engine-0");
        wasKnownCold = !owner.empty() && fleet.host(owner).registry().find("knox-engine-0")->lifecycle.limit() <= 1;
    };
    int noticedRestarts = 0;
    for (int round = 0; round < 10; ++round) {
        fleet.endpoints.restart("knox-engine-0");
        load.run(Duration { 2000 });
        noticedRestarts += wasKnownCold ? 1 : 0;
        CHECK(model.running <= 1);
        model.warm = true;
        load.run(Duration { 3000 });
    }
    CHECK(noticedRestarts == 10);
    CHECK(violations == 0);
}

TEST_CASE("The endpoints of a killed host serve requests again within three seconds", "[routing][recovery]")
{
    TestFleet fleet;
    auto plan = saturatedPlan();
    plan.enginesPerDomain = 4;
    startFleet(fleet, plan);
    ChatLoad load { fleet, 16, 1 };
    load.run(kWarmUp);
    for (int engine = 0; engine < 4; ++engine) {
        const auto name = "knox-engine-" + std::to_string(engine);
        const auto owner = fleet.ownerOf(name);
        REQUIRE_FALSE(owner.empty());
        fleet.kill(owner);
        const auto before = fleet.endpoints.at(name).model.startedRequests;
        load.run(Duration { 3000 });
        INFO("engine " << engine);
        CHECK(fleet.endpoints.at(name).model.startedRequests > before);
        fleet.start(owner, "knox");
        load.run(Duration { 14'000 });
    }
}

TEST_CASE("A new host takes over its endpoints without a refused request", "[routing][handoff]")
{
    TestFleet fleet;
    auto plan = saturatedPlan();
    plan.enginesPerDomain = 4;
    startFleet(fleet, plan);
    ChatLoad load { fleet, 6, 1 };
    load.run(kWarmUp);
    for (int host = 4; host < 8; ++host) {
        fleet.start("knox-" + std::to_string(host), "knox");
        load.run(Duration { 3000 });
    }
    const auto handoffs = [&fleet] {
        std::uint64_t count = 0;
        for (const auto& name : fleet.hosts())
            count += fleet.host(name).metrics().count(Incident::HandoffTaken);
        return count;
    };
    CHECK(handoffs() > 0);
    // A host that is still starting refuses requests; a load balancer would not send it any.
    std::size_t failed = 0;
    for (const auto& chat : load.endedChats)
        failed += !chat.answer->isComplete() && chat.answer->outcome.reason != Refusal::HostLeaving ? 1 : 0;
    CHECK(failed == 0);
}
