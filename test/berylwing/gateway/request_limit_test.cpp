#include "support/engine_fleet.hpp"
#include "support/gateway_harness.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kContactTime { 3000 };
/** The same for the users' larger fleets. */
constexpr Duration kLargeFleetContactTime { 4000 };
constexpr EngineFleet::Network kLossyNetwork { Duration { 1 }, Duration { 300 }, 0.1 };

EngineFleet::Traffic makeTraffic(double perSecond)
{
    EngineFleet::Traffic traffic;
    traffic.soundPerSecond = perSecond;
    return traffic;
}

/** Counts the requests that an engine got since a time. */
std::ptrdiff_t countAt(const EngineFleet& fleet, std::size_t engine, TimePoint since)
{
    return std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
        [&](const auto& arrival) { return arrival.engine == engine && arrival.at > since; });
}

} // namespace

TEST_CASE("Hosts together do not exceed the request limit that an engine names", "[gateway][limit]")
{
    EngineFleet fleet { {}, kLossyNetwork, 1 };
    const auto traffic = makeTraffic(140);
    fleet.run(traffic, Duration { 3000 });
    for (std::size_t engine = 0; engine < 12; ++engine)
        fleet.setLimit(engine, 0.5 + static_cast<double>(engine) * 0.7);
    fleet.run(traffic, Duration { 10'000 });
    fleet.restart(2);
    fleet.hosts()[4]->isIsolated = true;
    fleet.run(traffic, Duration { 5000 });
    fleet.hosts()[4]->isIsolated = false;
    fleet.restart(5);
    fleet.run(traffic, Duration { 10'000 });
    CHECK(fleet.maxExcess(kContactTime) <= 0);
    // The other engines have room for what does not fit.
    const auto refused = fleet.countSound(Refusal::NoEndpoint) + fleet.countSound(Refusal::EndpointAtBound);
    CHECK(refused == 0);
}

TEST_CASE("The hosts of a large fleet divide a request limit that is lower than their number", "[gateway][limit]")
{
    EngineFleet fleet { { 4, 17, 60 }, { Duration { 1 }, Duration { 20 }, 0.02 }, 2 };
    const auto traffic = makeTraffic(400);
    fleet.run(traffic, Duration { 2000 });
    for (std::size_t engine = 0; engine < 42; ++engine)
        fleet.setLimit(engine, 2);
    fleet.run(traffic, Duration { 14'000 });
    CHECK(fleet.maxExcess(kLargeFleetContactTime) <= 0);
}

TEST_CASE("An engine that no longer names a request limit gets requests as before", "[gateway][limit]")
{
    EngineFleet fleet { {}, kLossyNetwork, 3 };
    auto traffic = makeTraffic(140);
    // No prompt comes twice; others would stay at the engine that has them in its cache.
    traffic.secondSegments = 1'000'000;
    for (std::size_t engine = 0; engine < 6; ++engine)
        fleet.setLimit(engine, 1);
    fleet.run(traffic, Duration { 8000 });
    CHECK(fleet.maxExcess(kContactTime) <= 0);
    for (std::size_t engine = 0; engine < 6; ++engine)
        fleet.setLimit(engine, std::nullopt);
    fleet.run(traffic, Duration { 4000 });
    const auto since = fleet.time;
    fleet.run(traffic, Duration { 5000 });
    std::ptrdiff_t others = 0;
    for (std::size_t engine = 6; engine < 12; ++engine)
        others += countAt(fleet, engine, since);
    for (std::size_t engine = 0; engine < 6; ++engine)
        CHECK(countAt(fleet, engine, since) * 2 >= others / 6);
}

TEST_CASE("Requests beyond the limits of all engines are refused at once", "[gateway][limit]")
{
    EngineFleet fleet { { 1, 7, 4 }, kLossyNetwork, 4 };
    const auto traffic = makeTraffic(60);
    constexpr double kLimit = 6;
    for (std::size_t engine = 0; engine < 4; ++engine)
        fleet.setLimit(engine, kLimit);
    fleet.run(traffic, Duration { 5000 });
    const auto since = fleet.time;
    constexpr Duration kLength { 10'000 };
    fleet.run(traffic, kLength);
    CHECK(fleet.maxExcess(kContactTime) <= 0);
    for (const auto& call : fleet.calls) {
        if (call->outcome && call->outcome->reason && call->sentAt > since) {
            CHECK(call->outcome->execution == Execution::NotRun);
            CHECK(call->outcome->retryAfter > Duration {});
            CHECK(call->endedAt - call->sentAt <= Duration { 10 });
        }
    }
    // Most of what the engines take is used.
    std::ptrdiff_t arrivals = 0;
    for (std::size_t engine = 0; engine < 4; ++engine)
        arrivals += countAt(fleet, engine, since);
    CHECK(static_cast<double>(arrivals) >= 0.6 * 4 * kLimit * static_cast<double>(kLength.count()) / 1000);
}

TEST_CASE("A rejection that names no limit does not end the limit of an endpoint", "[gateway][limit]")
{
    for (const auto rejection : { EndpointBehavior::Shed, EndpointBehavior::Misdirected }) {
        CAPTURE(static_cast<int>(rejection));
        GatewayHarness harness;
        harness.putPlan(GatewayHarness::makePlan(1));
        harness.putEndpoint("a", "knox-a");
        harness.requestLimit = 0.5;
        harness.advance(Duration { 300 });
        CHECK(harness.sendAndWait("named")->outcome->isComplete());
        harness.advance(Duration { 4000 });
        harness.behaviors["a"] = rejection;
        CHECK_FALSE(harness.sendAndWait("rejected")->outcome->isComplete());
        harness.behaviors["a"] = EndpointBehavior::Answer;
        const auto received = harness.receivedRequests.size();
        const auto answer = harness.sendAndWait("next");
        CHECK(answer->outcome->reason == Refusal::EndpointAtBound);
        CHECK(answer->outcome->execution == Execution::NotRun);
        CHECK(answer->outcome->retryAfter > Duration { 1000 });
        CHECK(harness.receivedRequests.size() == received);
    }
}
