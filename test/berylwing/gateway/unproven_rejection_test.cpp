#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };

/** Gateway with three endpoints of which all behave alike. */
class FailingHarness : public GatewayHarness {
public:
    FailingHarness()
    {
        this->putPlan(makePlan(1));
        for (const auto* id : { "a", "b", "c" })
            this->putEndpoint(id, "knox-a");
        this->advance(kSettleDelay);
    }

    void setAllBehaviors(EndpointBehavior behavior)
    {
        for (const auto* id : { "a", "b", "c" })
            this->behaviors[id] = behavior;
    }
};

bool isRefused(const GatewayHarness::Answer& answer, Refusal reason, Execution execution)
{
    return answer.outcome && answer.outcome->reason == reason && answer.outcome->execution == execution;
}

} // namespace

// Guards against orders that ran and are answered with a status by which this host promises that they did not.
TEST_CASE("Gateway does not pass on a status that promises that the request did not run", "[gateway][once]")
{
    for (const unsigned status : { 408, 429, 503 }) {
        CAPTURE(status);
        FailingHarness harness;
        harness.failureStatus = status;
        harness.setAllBehaviors(EndpointBehavior::Fail);
        const auto order = harness.sendAndWait("order", "/order/1");
        CHECK(order->status == 0);
        CHECK(isRefused(*order, Refusal::EndpointBroken, Execution::Unknown));
        CHECK(harness.countRuns("order") == 1);
        const auto repeated = harness.sendAndWait("status", "/status/1");
        CHECK(repeated->status == 0);
        CHECK(isRefused(*repeated, Refusal::EndpointBroken, Execution::Unknown));
        CHECK(harness.countRuns("status") == 2);
        harness.advance(kSettleDelay);
        CHECK(harness.logText.find("\"status\":" + std::to_string(status)) != std::string::npos);
    }
}

TEST_CASE(
    "Gateway repeats a request elsewhere after a rejection that does not tell that it did not run", "[gateway][retry]")
{
    for (const unsigned status : { 408, 429, 503 }) {
        CAPTURE(status);
        FailingHarness harness;
        harness.failureStatus = status;
        harness.setAllBehaviors(EndpointBehavior::Fail);
        const auto answer = harness.sendRequest("status", "/status/1");
        harness.setAllBehaviors(EndpointBehavior::Answer);
        harness.advance(kSettleDelay);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
        CHECK(answer->status == 200);
    }
}
