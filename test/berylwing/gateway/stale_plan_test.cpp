#include "support/gateway_harness.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Times at which a plan's confirmation is older than the deadline of changes (2 s) but its lease (5 s) still valid. */
constexpr Duration kFirstAge { 2100 };
constexpr Duration kLastAge { 4500 };
constexpr Duration kAgeStep { 200 };

/** Gateway whose store is down and whose plan was confirmed a while ago. */
class StalePlanHarness : public GatewayHarness {
public:
    explicit StalePlanHarness(Duration planAge)
    {
        this->putPlan(makePlan(1));
        this->putEndpoint("engine", "knox-a");
        this->advance(Duration { 3000 });
        this->platform.failureMode = PlatformFailureMode::Down;
        // The last watch before the outage confirmed the plan at an unknown moment, but not later than now.
        this->advance(planAge);
    }
};

bool isNotRun(const GatewayHarness::Answer& answer, Refusal reason)
{
    return answer.outcome && answer.outcome->reason == reason && answer.outcome->execution == Execution::NotRun
        && answer.outcome->retryAfter > Duration {};
}

} // namespace

TEST_CASE("Gateway does not deny routes and keys that a newer plan may have added", "[gateway][lease]")
{
    for (auto age = kFirstAge; age <= kLastAge; age += kAgeStep) {
        CAPTURE(age.count());
        StalePlanHarness harness { age };
        CHECK(isNotRun(*harness.sendAndWait("route", "/none/1"), Refusal::ConfigurationStale));
        CHECK(isNotRun(*harness.sendAndWait("key", "/status/1", "other-key"), Refusal::ConfigurationStale));
    }
}

TEST_CASE("Gateway serves the routes and keys of its plan until its lease ends", "[gateway][lease]")
{
    StalePlanHarness harness { Duration { 3000 } };
    const auto answer = harness.sendAndWait("one", "/status/1");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
}

TEST_CASE("Gateway denies unknown routes and keys while its plan is confirmed", "[gateway][lease]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(Duration { 300 });
    for (int second = 0; second < 20; ++second) {
        harness.advance(Duration { 1000 });
        CHECK(harness.sendAndWait("route", "/none/1")->outcome->reason == Refusal::UnknownRoute);
        CHECK(harness.sendAndWait("key", "/status/1", "other-key")->outcome->reason == Refusal::UnknownWorkspace);
    }
}

TEST_CASE("Gateway serves no requests while it does not know with which hosts it shares the fleet's limits",
    "[gateway][lease]")
{
    GatewayHarness harness;
    harness.platform.silentKinds = { ObjectKind::Host };
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(Duration { 1000 });
    CHECK_FALSE(harness.gateway->isReady());
    CHECK(isNotRun(*harness.sendAndWait("one", "/status/1"), Refusal::ConfigurationUnknown));
    harness.platform.silentKinds.clear();
    harness.advance(Duration { 10'000 });
    CHECK(harness.gateway->isReady());
    CHECK(harness.sendAndWait("two", "/status/1")->outcome->isComplete());
    // A host that has had the list serves with it, however old it is.
    harness.platform.silentKinds = { ObjectKind::Host };
    harness.advance(Duration { 30'000 });
    CHECK(harness.sendAndWait("three", "/status/1")->outcome->isComplete());
}
