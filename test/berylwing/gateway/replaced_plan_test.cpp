#include "support/gateway_harness.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };

/** Returns a plan with one route for unrepeatable requests. */
RoutingPlan makePlanWithRoute(std::uint64_t version, Duration timeout, std::uint64_t weight)
{
    RoutingPlan plan { version };
    Route route;
    route.name = "order";
    route.hostname = "hooks.example";
    route.pathPrefix = "/order/";
    route.timeout = timeout;
    route.services = { { "engines", weight } };
    plan.add(route);
    plan.add(ServiceTraits { "engines", 100, 9.3, Duration { 3000 } });
    plan.add(KeyHolder { "shop", std::nullopt }, { "shop-key" });
    return plan;
}

/** Gateway with one endpoint that takes two seconds for an answer, and a request in progress there. */
class RunningHarness : public GatewayHarness {
public:
    RunningHarness()
    {
        this->putPlan(makePlanWithRoute(1, Duration { 5000 }, 1));
        this->putEndpoint("engine", "knox-a");
        this->answerTime = Duration { 2000 };
        this->advance(kSettleDelay);
        this->running = this->sendRequest("running", "/order/1");
        this->advance(kSettleDelay);
    }

    std::shared_ptr<Answer> running;
};

} // namespace

TEST_CASE("Request in progress is answered though the new plan has no route or service for it", "[gateway][plan]")
{
    RunningHarness harness;
    RoutingPlan plan { 2 };
    plan.add(KeyHolder { "shop", std::nullopt }, { "other-key" });
    harness.putPlan(plan);
    harness.advance(Duration { 2500 });
    REQUIRE(harness.running->outcome);
    CHECK(harness.running->outcome->isComplete());
    CHECK(harness.countRuns("running") == 1);
    const auto later = harness.sendAndWait("later", "/order/2");
    REQUIRE(later->outcome);
    CHECK(later->outcome->execution == Execution::NotRun);
}

TEST_CASE("Request in progress keeps the timeout of the plan by which it was taken", "[gateway][plan]")
{
    RunningHarness harness;
    harness.putPlan(makePlanWithRoute(2, Duration { 500 }, 1));
    harness.advance(Duration { 2500 });
    REQUIRE(harness.running->outcome);
    CHECK(harness.running->outcome->isComplete());
}

TEST_CASE("Request for a route whose shares are all zero is refused as not run", "[gateway][plan]")
{
    GatewayHarness harness;
    harness.putPlan(makePlanWithRoute(1, Duration { 5000 }, 0));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(kSettleDelay);
    const auto answer = harness.sendAndWait("one", "/order/1");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->reason == Refusal::NoEndpoint);
    CHECK(answer->outcome->execution == Execution::NotRun);
    CHECK(harness.countRuns("one") == 0);
}

TEST_CASE("Request whose endpoint leaves with the plan while the host connects to it is refused", "[gateway][plan]")
{
    GatewayHarness harness;
    harness.putPlan(makePlanWithRoute(1, Duration { 5000 }, 1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(kSettleDelay);
    harness.behaviors["engine"] = EndpointBehavior::Silent;
    const auto answer = harness.sendRequest("one", "/order/1");
    harness.putPlan(RoutingPlan { 2 });
    harness.remove(ObjectKind::Endpoint, "engine");
    harness.advance(Duration { 1000 });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::NotRun);
    CHECK(harness.countRuns("one") == 0);
}

// Guards against a fleet that admits every caller once its last workspace is removed.
TEST_CASE("Gateway admits no caller to a route with keys after the last workspace was removed", "[gateway][lease]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(kSettleDelay);
    CHECK(harness.sendAndWait("before", "/status/1")->outcome->isComplete());
    auto plan = GatewayHarness::makePlan(2, {});
    REQUIRE(plan.requiresKeys());
    harness.putPlan(plan);
    harness.advance(Duration { 5000 });
    for (const auto* key : { "shop-key", "other-key", "" }) {
        CAPTURE(key);
        const auto id = std::string { "after-" } + key;
        const auto refused = harness.sendAndWait(id, "/status/1", key);
        REQUIRE(refused->outcome);
        CHECK(refused->outcome->reason == Refusal::UnknownWorkspace);
        CHECK(refused->outcome->execution == Execution::NotRun);
        CHECK(harness.countRuns(id) == 0);
    }
    CHECK(harness.sendAndWait("public", "/open/1", "")->outcome->isComplete());
}
