#include "support/gateway_harness.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Gateway with one endpoint and a route whose timeout is longer than the grace period of a stop. */
class StopHarness : public GatewayHarness {
public:
    StopHarness()
    {
        auto plan = makePlan(1);
        Route route;
        route.name = "long";
        route.hostname = "hooks.example";
        route.pathPrefix = "/long/";
        route.timeout = Duration { 60'000 };
        route.services = { { "engines", 1 } };
        plan.add(route);
        this->putPlan(plan);
        this->putEndpoint("engine", "knox-a");
        this->advance(Duration { 300 });
    }
};

bool isRefusedByStop(const GatewayHarness::Answer& answer)
{
    return answer.outcome && answer.outcome->reason == Refusal::HostLeaving
        && answer.outcome->execution == Execution::NotRun && answer.outcome->retryAfter > Duration {};
}

} // namespace

TEST_CASE("Stop refuses a request at once whose answer may not end within the grace period", "[gateway][stop]")
{
    StopHarness harness;
    harness.behaviors["engine"] = EndpointBehavior::Hang;
    harness.gateway->beginStop();
    harness.advance(Duration { 1000 });
    const auto longAnswer = harness.sendRequest("long", "/long/1");
    const auto unknown = harness.sendRequest("unknown", "/none/1");
    harness.advance(Duration { 10 });
    CHECK(isRefusedByStop(*longAnswer));
    CHECK(harness.countRuns("long") == 0);
    REQUIRE(unknown->outcome);
    CHECK(unknown->outcome->reason == Refusal::UnknownRoute);
    harness.behaviors["engine"] = EndpointBehavior::Answer;
    CHECK(harness.sendAndWait("order", "/order/1")->outcome->isComplete());
    harness.advance(Duration { 2000 });
    CHECK(isRefusedByStop(*harness.sendAndWait("late", "/order/2")));
}

TEST_CASE("Stop takes a request of a long route whose answers end soon", "[gateway][stop]")
{
    StopHarness harness;
    CHECK(harness.sendAndWait("before", "/long/1")->outcome->isComplete());
    harness.gateway->beginStop();
    harness.advance(Duration { 1000 });
    CHECK(harness.sendAndWait("after", "/long/2")->outcome->isComplete());
}

TEST_CASE("Stop refuses a request of a long route whose answers lately took longer than the rest", "[gateway][stop]")
{
    StopHarness harness;
    CHECK(harness.sendAndWait("short", "/long/1")->outcome->isComplete());
    harness.answerTime = Duration { 10'000 };
    CHECK(harness.sendAndWait("slow", "/long/2")->outcome->isComplete());
    harness.answerTime = Duration { 20 };
    CHECK(harness.sendAndWait("short again", "/long/3")->outcome->isComplete());
    harness.gateway->beginStop();
    CHECK(isRefusedByStop(*harness.sendAndWait("after", "/long/4")));
}
