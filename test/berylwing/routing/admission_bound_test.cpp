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
constexpr Duration kAfter { 4000 };

/** One engine in each domain, so that the load reaches its capacity. */
FleetPlan saturatedPlan()
{
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.hostsPerDomain = 4;
    plan.enginesPerDomain = 1;
    plan.servicesPerDomain = 0;
    return plan;
}

/** Requires at each instant that no engine has more than it bears. */
class BoundCheck {
public:
    BoundCheck(TestFleet& testFleet, std::vector<std::string> engineNames, std::uint32_t mostRequests)
        : fleet { testFleet }
        , engines { std::move(engineNames) }
        , capacity { mostRequests }
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
        BoundCheck bound { fleet, { "knox-engine-0" }, 8 };
        ChatLoad load { fleet, 24, 1 };
        load.run(kWarmUp);
        FaultCell cell { fleet, step, fault, "knox-engine-0" };
        load.run(kFaultTime);
        cell.end();
        load.run(kAfter);
        CHECK(bound.violations == 0);
        CHECK(fleet.endpoints.mostRunning("knox-engine-0") <= 8);
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
        BoundCheck bound { fleet, { "knox-engine-0" }, 8 };
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
                fleet.platform.trouble = static_cast<PlatformTrouble>(random() % 5);
                break;
            case 8:
                fleet.platform.trouble = PlatformTrouble::None;
                fleet.platform.cutOff.clear();
                break;
            case 9:
                fleet.platform.cutOff.insert(host);
                break;
            }
            load.run(Duration { 100 + static_cast<int>(random() % 1500) });
        }
        CHECK(bound.violations == 0);
        CHECK(fleet.endpoints.mostRunning("knox-engine-0") <= 8);
    }
}

TEST_CASE("A stand-in waits until the engine is within the first host's share", "[routing]")
{
    TestFleet fleet;
    startFleet(fleet, saturatedPlan());
    BoundCheck bound { fleet, { "knox-engine-0" }, 8 };
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
    CHECK(bound.violations == 0);
    fleet.healAll();
    load.run(kAfter);
    CHECK(bound.violations == 0);
}

TEST_CASE("A cold engine never gets more than it bears from the first sign on", "[routing][cold]")
{
    TestFleet fleet;
    auto plan = saturatedPlan();
    plan.enginesPerDomain = 2;
    startFleet(fleet, plan);
    // Requests that wait for their connection when the engine turns cold have to be held back, too.
    fleet.endpoints.connectTime = Duration { 200 };
    ChatLoad load { fleet, 24, 1 };
    load.run(kWarmUp);
    // The first sign is whatever shows the owner a new boot id or a broken connection; it makes the endpoint cold.
    auto& model = fleet.endpoints.at("knox-engine-0").model;
    bool knewCold = false;
    std::uint32_t fallsBefore = 0;
    std::uint32_t violations = 0;
    fleet.invariant = [&] {
        if (knewCold && model.falls > fallsBefore)
            ++violations;
        fallsBefore = model.falls;
        const auto owner = fleet.ownerOf("knox-engine-0");
        knewCold = !owner.empty() && fleet.host(owner).registry().find("knox-engine-0")->lifecycle.limit() <= 1;
    };
    int signs = 0;
    for (int round = 0; round < 10; ++round) {
        fleet.endpoints.restart("knox-engine-0");
        load.run(Duration { 2000 });
        signs += knewCold ? 1 : 0;
        CHECK(model.running <= 1);
        model.warm = true;
        load.run(Duration { 3000 });
    }
    CHECK(signs == 10);
    CHECK(violations == 0);
}

TEST_CASE("The endpoints of a killed host serve again within three seconds", "[routing][recovery]")
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
        const auto before = fleet.endpoints.at(name).model.begun;
        load.run(Duration { 3000 });
        INFO("engine " << engine);
        CHECK(fleet.endpoints.at(name).model.begun > before);
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
    // Requests to a host that is still starting are refused by it; the balancer would not send them there.
    std::size_t failed = 0;
    for (const auto& chat : load.ended)
        failed += !chat.answer->isWhole() && chat.answer->outcome.reason != Refusal::HostLeaving ? 1 : 0;
    CHECK(failed == 0);
}
