#include "berylwing/gateway/endpoint_reach.hpp"

#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Host with eight engines and two desks in two failure domains. */
class ReachFixture {
public:
    ReachFixture()
    {
        for (int number = 0; number < 8; ++number)
            this->put("engine-" + std::to_string(number), "engines", number % 2 == 0 ? "knox" : "utah");
        this->put("desk-0", "desk", "knox");
        this->put("desk-1", "desk", "utah");
        this->reach.update();
    }

    void put(const std::string& id, const std::string& service, const std::string& domain)
    {
        EndpointRecord record;
        record.id = id;
        record.service = service;
        record.domain = domain;
        this->directory.put(record);
    }

    GatewayEndpoint& endpoint(const std::string& id) { return *this->directory.all().at(id); }

    /** Marks endpoints as unreachable, or lets a probe connect to them. */
    void setReachable(const std::string& prefix, int count, bool isReachable)
    {
        for (const auto& [id, each] : this->directory.all()) {
            if (!id.starts_with(prefix) || count-- <= 0)
                continue;
            each->health.requireProbe(this->time);
            if (isReachable)
                each->health.recordProbe(true, this->time);
        }
    }

    void update()
    {
        for (int count = 0; count < 2; ++count) {
            this->time += Duration { 100 };
            this->reach.update();
        }
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    DecisionLog log { this->clock, [](std::string_view lines) { return lines.size(); }, "knox-1" };
    EndpointDirectory directory { this->clock, this->log };
    int probes = 0;
    EndpointReach reach { this->clock, this->directory, [this] { ++this->probes; }, this->log };
};

} // namespace

TEST_CASE("A service is lost once none of its endpoints can be connected to", "[gateway][relay]")
{
    ReachFixture fixture;
    fixture.setReachable("engine", 7, false);
    fixture.update();
    CHECK_FALSE(fixture.reach.hasLost("engines"));
    CHECK(fixture.reach.isImpaired("engines"));
    fixture.setReachable("engine", 8, false);
    fixture.update();
    CHECK(fixture.reach.hasLost("engines"));
    CHECK_FALSE(fixture.reach.hasLost("desk"));
    CHECK_FALSE(fixture.reach.isImpaired("desk"));
}

TEST_CASE("A service is not lost while its endpoints answer the probes of one moment", "[gateway][relay]")
{
    ReachFixture fixture;
    fixture.setReachable("engine", 8, false);
    fixture.reach.update();
    fixture.setReachable("engine", 8, true);
    fixture.update();
    CHECK_FALSE(fixture.reach.hasLost("engines"));
}

TEST_CASE("A lost service is regained once more than half of its endpoints can be connected to", "[gateway][relay]")
{
    ReachFixture fixture;
    fixture.setReachable("engine", 8, false);
    fixture.update();
    REQUIRE(fixture.reach.hasLost("engines"));
    fixture.setReachable("engine", 4, true);
    fixture.update();
    CHECK(fixture.reach.hasLost("engines"));
    fixture.setReachable("engine", 5, true);
    fixture.update();
    CHECK_FALSE(fixture.reach.hasLost("engines"));
}

TEST_CASE("Lost endpoints that leave do not keep a service lost", "[gateway][relay]")
{
    ReachFixture fixture;
    fixture.setReachable("desk", 2, false);
    fixture.update();
    REQUIRE(fixture.reach.hasLost("desk"));
    fixture.directory.remove("desk-0");
    fixture.directory.remove("desk-1");
    fixture.update();
    CHECK_FALSE(fixture.reach.hasLost("desk"));
}

TEST_CASE("Failed connections to several endpoints of several domains let a host probe all", "[gateway][relay]")
{
    ReachFixture fixture;
    const auto fail = [&](const std::string& id) { fixture.reach.recordConnection(fixture.endpoint(id), false); };
    SECTION("three endpoints of two domains")
    {
        fail("engine-0");
        fail("engine-1");
        CHECK(fixture.probes == 0);
        fail("desk-0");
        CHECK(fixture.probes == 1);
        fail("engine-3");
        CHECK(fixture.probes == 1);
    }
    SECTION("one endpoint")
    {
        for (int count = 0; count < 10; ++count)
            fail("engine-0");
        CHECK(fixture.probes == 0);
    }
    SECTION("one of two domains")
    {
        for (const auto* id : { "engine-0", "engine-2", "engine-4", "desk-0" })
            fail(id);
        CHECK(fixture.probes == 0);
    }
    SECTION("a connection in between")
    {
        fail("engine-0");
        fail("engine-1");
        fixture.reach.recordConnection(fixture.endpoint("engine-2"), true);
        fail("engine-3");
        fail("engine-5");
        CHECK(fixture.probes == 0);
    }
    SECTION("failures over a long time")
    {
        for (const auto* id : { "engine-0", "engine-1", "engine-2", "engine-3" }) {
            fail(id);
            fixture.time += Duration { 1100 };
        }
        CHECK(fixture.probes == 0);
    }
}
