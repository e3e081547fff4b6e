#include "berylwing/gateway/endpoint_health.hpp"

#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

const TimePoint kStart { Duration { 1'000'000 } };

} // namespace

TEST_CASE("EndpointHealth ejects an endpoint that failed several of its last requests", "[gateway][health]")
{
    EndpointHealth health;
    health.record(EndpointResult::Failed, kStart);
    health.record(EndpointResult::Success, kStart);
    health.record(EndpointResult::Failed, kStart);
    CHECK_FALSE(health.isEjected(kStart));
    health.record(EndpointResult::Failed, kStart);
    CHECK(health.isEjected(kStart));
    CHECK_FALSE(health.isEjected(kStart + Duration { 1000 }));
}

TEST_CASE("EndpointHealth resets its history after a time without failures", "[gateway][health]")
{
    EndpointHealth health;
    for (int round = 0; round < 10; ++round) {
        const auto now = kStart + Duration { round * 11'000 };
        health.record(EndpointResult::Failed, now);
        health.record(EndpointResult::Failed, now);
        CHECK_FALSE(health.isEjected(now));
    }
}

TEST_CASE("EndpointHealth lengthens the ejection each time an endpoint fails again", "[gateway][health]")
{
    EndpointHealth health;
    auto now = kStart;
    Duration last {};
    for (int round = 0; round < 3; ++round) {
        for (int failure = 0; failure < 3; ++failure)
            health.record(EndpointResult::Failed, now);
        Duration length {};
        while (health.isEjected(now + length))
            length += Duration { 100 };
        CHECK(length > last);
        last = length;
        now += length;
    }
    CHECK(last <= Duration { 6000 });
}

TEST_CASE("EndpointHealth ejects an unreachable endpoint until a probe connects to it", "[gateway][health]")
{
    EndpointHealth health;
    health.record(EndpointResult::Unreachable, kStart);
    const auto late = kStart + Duration { 60'000 };
    CHECK(health.isEjected(late));
    CHECK_FALSE(health.tryBeginProbe(kStart));
    REQUIRE(health.tryBeginProbe(late));
    CHECK_FALSE(health.tryBeginProbe(late));
    health.recordProbe(false, late);
    CHECK(health.isEjected(late + Duration { 60'000 }));
    CHECK_FALSE(health.tryBeginProbe(late + Duration { 100 }));
    REQUIRE(health.tryBeginProbe(late + Duration { 1000 }));
    health.recordProbe(true, late + Duration { 1000 });
    CHECK_FALSE(health.isEjected(late + Duration { 1000 }));
}

TEST_CASE("EndpointHealth ejects an overloaded endpoint for a short time", "[gateway][health]")
{
    EndpointHealth health;
    health.record(EndpointResult::Shed, kStart);
    CHECK(health.isEjected(kStart));
    CHECK_FALSE(health.isEjected(kStart + Duration { 200 }));
}
