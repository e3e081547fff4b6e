#include "support/engine_fleet.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Requests with a deadly segment that the users' rule allows after all hosts had time to learn of the fifth crash. */
constexpr std::ptrdiff_t kMaxLateRequests = 3;
constexpr Duration kContactTime { 3000 };
/** The same for the users' larger fleets. */
constexpr Duration kLargeFleetContactTime { 4000 };
constexpr EngineFleet::Network kLossyNetwork { Duration { 1 }, Duration { 300 }, 0.1 };

/** Traffic with deadly segments, each below other segments that sound requests share. */
EngineFleet::Traffic makeTraffic(double deadlyPerSecond, std::vector<std::string> deadlySegments)
{
    EngineFleet::Traffic traffic;
    traffic.soundPerSecond = 60;
    traffic.deadlyPerSecond = deadlyPerSecond;
    traffic.deadlySegments = std::move(deadlySegments);
    return traffic;
}

/** Counts the requests with a segment that reached engines after all hosts had time to learn of the fifth crash. */
std::ptrdiff_t countLate(const EngineFleet& fleet, const std::string& segment, Duration contactTime = kContactTime)
{
    const auto fifth = fleet.crashTime(segment, 5);
    return fifth == TimePoint::max() ? 0 : fleet.countArrivals(segment, fifth + contactTime);
}

} // namespace

TEST_CASE("A prompt segment does not go on crashing engines when no two of its requests are alike", "[gateway][crash]")
{
    for (const double rate : { 0.5, 2.0, 8.0 }) {
        EngineFleet fleet { {}, kLossyNetwork, 1 };
        fleet.deadly = { "deadly" };
        fleet.run(makeTraffic(rate, { "deadly" }), Duration { 40'000 });
        CAPTURE(rate);
        CHECK(countLate(fleet, "deadly") <= kMaxLateRequests);
        CHECK(fleet.countSound(Refusal::Quarantined) == 0);
    }
}

TEST_CASE("Two prompt segments that crash engines are told apart from other crashes", "[gateway][crash]")
{
    EngineFleet fleet { {}, kLossyNetwork, 2 };
    fleet.deadly = { "deadly-0", "deadly-1" };
    const auto traffic = makeTraffic(3, { "deadly-0", "deadly-1" });
    for (std::size_t engine = 0; engine < 12; ++engine) {
        fleet.run(traffic, Duration { 2500 });
        fleet.crash(engine);
    }
    for (const auto* segment : { "deadly-0", "deadly-1" })
        CHECK(countLate(fleet, segment) <= kMaxLateRequests);
    CHECK(fleet.countSound(Refusal::Quarantined) == 0);
}

TEST_CASE("Crashes that no prompt caused do not quarantine sound prompts", "[gateway][crash]")
{
    EngineFleet fleet { {}, kLossyNetwork, 3 };
    // All requests share one of two first segments, so that each of these is in flight at most engines.
    auto traffic = makeTraffic(0, {});
    traffic.firstSegments = 2;
    for (int round = 0; round < 6; ++round) {
        fleet.run(traffic, Duration { 4000 });
        for (std::size_t engine = 0; engine < (round % 2 == 0 ? 9U : 18U); ++engine)
            fleet.crash(engine);
    }
    fleet.run(traffic, Duration { 8000 });
    CHECK(fleet.countSound(Refusal::Quarantined) == 0);
}

TEST_CASE("Hosts that start or return from a cut refuse a deadly segment", "[gateway][crash]")
{
    EngineFleet fleet { {}, kLossyNetwork, 4 };
    fleet.deadly = { "deadly" };
    const auto traffic = makeTraffic(2, { "deadly" });
    auto& hosts = fleet.hosts();
    hosts[6]->isIsolated = true;
    fleet.run(traffic, Duration { 12'000 });
    hosts[6]->isIsolated = false;
    const auto known = fleet.time;
    // One after the other, so that at the end no process is left that has seen a crash.
    for (std::size_t host = 0; host < hosts.size(); ++host) {
        fleet.restart(host);
        fleet.run(traffic, kContactTime);
    }
    fleet.run(traffic, Duration { 10'000 });
    const auto late = std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(),
        [&](const auto& arrival) { return arrival.segments.size() == 4 && arrival.at > known + kContactTime; });
    CHECK(late <= kMaxLateRequests);
    CHECK(fleet.countSound(Refusal::Quarantined) == 0);
}

TEST_CASE("The hosts of a large fleet learn of a deadly segment in time and within their traffic", "[gateway][crash]")
{
    EngineFleet fleet { { 4, 17, 60 }, { Duration { 1 }, Duration { 20 }, 0.02 }, 5 };
    fleet.deadly = { "deadly" };
    auto traffic = makeTraffic(4, { "deadly" });
    traffic.soundPerSecond = 200;
    fleet.run(traffic, Duration { 20'000 });
    CHECK(countLate(fleet, "deadly", kLargeFleetContactTime) <= kMaxLateRequests);
    CHECK(fleet.countSound(Refusal::Quarantined) == 0);
}
