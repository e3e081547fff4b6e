#include "support/engine_fleet.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr std::uint32_t kSlots = 12;
/** Requests that may wait at an engine that is not brittle. */
constexpr std::size_t kUsualRoom = 60;
constexpr Duration kContactTime { 3000 };
constexpr Duration kBrittleTime { 15'000 };

EngineFleet::Traffic makeTraffic(double perSecond)
{
    EngineFleet::Traffic traffic;
    traffic.soundPerSecond = perSecond;
    return traffic;
}

/** Lets the engines of a fleet be brittle while more is asked of them than they can do. @return Engines that fell. */
int playBrittle(EngineFleet& fleet, double perSecond, double limit)
{
    fleet.setBrittle(std::nullopt, kUsualRoom);
    const auto traffic = makeTraffic(perSecond);
    fleet.run(traffic, Duration { 4000 });
    fleet.setBrittle(limit, kUsualRoom);
    fleet.run(traffic, kContactTime);
    fleet.setBrittle(limit, kSlots + 2);
    fleet.run(traffic, kBrittleTime);
    return fleet.fallCount();
}

} // namespace

// Guards against hosts that together make brittle engines fall over (LIMIT).
TEST_CASE("Brittle engines do not fall over while too much is asked of them", "[gateway][brittle]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    CAPTURE(seed);
    EngineFleet fleet { { 1, 7, 18, kSlots }, { Duration { 1 }, Duration { 20 }, 0.02 }, seed };
    CHECK(playBrittle(fleet, 900, 5) <= 2 + 18 / 10);
}

TEST_CASE(
    "Brittle engines of a large fleet do not fall over although hosts learn of each other late", "[gateway][brittle]")
{
    EngineFleet fleet { { 4, 15, 30, kSlots }, { Duration { 1 }, Duration { 150 }, 0.05 }, 4 };
    CHECK(playBrittle(fleet, 1200, 5) <= 2 + 30 / 10);
}

TEST_CASE("Engines that are no longer brittle get requests as before", "[gateway][brittle]")
{
    EngineFleet fleet { { 1, 7, 18, kSlots }, { Duration { 1 }, Duration { 20 }, 0.02 }, 5 };
    playBrittle(fleet, 300, 5);
    fleet.setBrittle(std::nullopt, kUsualRoom);
    fleet.run(makeTraffic(300), Duration { 3000 });
    const auto refused = fleet.countSound(Refusal::NoRoom);
    const auto served = fleet.countSound(std::nullopt);
    fleet.run(makeTraffic(300), Duration { 5000 });
    CHECK(fleet.countSound(Refusal::NoRoom) == refused);
    CHECK(fleet.countSound(std::nullopt) - served > 300 * 5 * 9 / 10);
}
