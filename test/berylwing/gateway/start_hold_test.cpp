#include "support/gateway_harness.hpp"
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

} // namespace

TEST_CASE("Requests of callers that return while a host starts are answered, not refused", "[gateway][start]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("e1", "knox-a");
    // The entry of another host, whose digests the host waits for before it confirms its plan.
    harness.platform.store.write(
        ObjectKind::Host, "knox-a-2", { { "domain", "knox-a" }, { "address", "10.0.0.2" }, { "port", 7000 } });
    std::vector<std::shared_ptr<GatewayHarness::Answer>> answers;
    for (int request = 0; request < 30; ++request) {
        answers.push_back(harness.sendRequest("returning-" + std::to_string(request)));
        harness.advance(Duration { 15 });
    }
    harness.advance(Duration { 300 });
    for (const auto& answer : answers) {
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
    }
}

TEST_CASE("A host that cannot reach the store at its start refuses requests at once", "[gateway][start]")
{
    GatewayHarness harness;
    harness.platform.failureMode = PlatformFailureMode::Down;
    harness.advance(Duration { 50 });
    const auto sentAt = harness.time;
    const auto answer = harness.sendAndWait("early");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::NotRun);
    CHECK(answer->endedAt - sentAt <= Duration { 20 });
}
