#include "berylwing/gateway/fleet_view.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

/** Two hosts that see the same endpoint. */
class FleetFixture {
public:
    struct Host {
        Host(const Clock& clock, const std::string& name, std::uint64_t incarnation)
            : log { clock, [](std::string_view lines) { return lines.size(); }, "" }
            , directory { clock, this->log }
            , view { clock, this->directory, name, incarnation }
        {
            EndpointRecord record;
            record.id = "engine";
            this->directory.put(std::move(record));
        }

        GatewayEndpoint& endpoint() { return *this->directory.all().at("engine"); }

        DecisionLog log;
        EndpointDirectory directory;
        FleetView view;
    };

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    Host here { this->clock, "here", 1 };
    Host there { this->clock, "there", 1 };
};

} // namespace

TEST_CASE("FleetView adds up what other hosts have at an endpoint", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.here.endpoint().inFlight = 2;
    fixture.there.endpoint().inFlight = 3;
    fixture.here.view.take(fixture.there.view.describe());
    CHECK(fixture.here.endpoint().load() == 5);
    fixture.there.endpoint().inFlight = 0;
    fixture.here.view.take(fixture.there.view.describe());
    CHECK(fixture.here.endpoint().load() == 2);
}

TEST_CASE("FleetView ignores digests that were overtaken, doubled or its own", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    const auto early = fixture.there.view.describe();
    fixture.there.endpoint().inFlight = 1;
    fixture.here.view.take(fixture.there.view.describe());
    fixture.here.view.take(early);
    CHECK(fixture.here.endpoint().load() == 1);
    fixture.there.view.take(fixture.there.view.describe());
    CHECK(fixture.there.endpoint().load() == 1);
}

TEST_CASE("FleetView takes the first digest of a host that started again", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    for (int round = 0; round < 5; ++round)
        fixture.here.view.take(fixture.there.view.describe());
    FleetFixture::Host restarted { fixture.clock, "there", 2 };
    fixture.here.view.take(restarted.view.describe());
    CHECK(fixture.here.endpoint().load() == 0);
}

TEST_CASE("FleetView forgets a host that has been silent", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    fixture.here.view.take(fixture.there.view.describe());
    fixture.time += Duration { 2000 };
    fixture.here.view.dropSilent();
    CHECK(fixture.here.endpoint().load() == 3);
    fixture.time += Duration { 2000 };
    fixture.here.view.dropSilent();
    CHECK(fixture.here.endpoint().load() == 0);
}
