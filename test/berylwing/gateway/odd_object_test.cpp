#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("Gateway follows the store after a document whose parser fails", "[gateway][store]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    // Neither has the fields that the parser takes for granted.
    harness.platform.store.write(ObjectKind::Endpoint, "a-odd", { { "service", "engines" } });
    harness.platform.store.write(ObjectKind::RoutingPlan, "a-odd", { { "version", 99 } });
    harness.putEndpoint("engine-1", "knox-a");
    harness.advance(Duration { 1500 });
    CHECK(harness.sendAndWait("one", "/status/1")->outcome->isComplete());
    harness.platform.store.write(ObjectKind::Endpoint, "odd", { { "service", "engines" } });
    harness.platform.store.write(ObjectKind::RoutingPlan, "main", { { "version", 99 } });
    harness.advance(Duration { 1500 });
    harness.putPlan(GatewayHarness::makePlan(2, { "new-key" }));
    harness.putEndpoint("engine-2", "knox-a");
    harness.remove(ObjectKind::Endpoint, "engine-1");
    harness.advance(Duration { 1500 });
    CHECK(harness.sendAndWait("two", "/status/1", "new-key")->outcome->isComplete());
    REQUIRE(harness.receivedRequests.size() == 2);
    CHECK(harness.receivedRequests.back().endpoint == "engine-2");
    CHECK(harness.logText.find("\"event\":\"endpoint_rejected\"") != std::string::npos);
    CHECK(harness.logText.find("\"event\":\"plan_rejected\"") != std::string::npos);
}

TEST_CASE(
    "Gateway sends nothing to an endpoint whose entry became invalid in an outage of the store", "[gateway][store]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(Duration { 1500 });
    harness.platform.failureMode = PlatformFailureMode::Down;
    harness.advance(Duration { 1000 });
    harness.platform.store.write(ObjectKind::Endpoint, "engine", { { "slots", 1 } });
    harness.platform.failureMode = PlatformFailureMode::None;
    harness.advance(Duration { 1000 });
    REQUIRE(harness.logText.find("\"event\":\"endpoint_rejected\"") != std::string::npos);
    const auto answer = harness.sendAndWait("one", "/status/1");
    CHECK_FALSE(answer->outcome->isComplete());
    CHECK(harness.receivedRequests.empty());
}
