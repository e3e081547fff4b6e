#include "berylwing/gateway/fleet_view.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

namespace {

using namespace berylwing;

/** Two hosts with the same endpoint in their directories. */
class FleetFixture {
public:
    struct Host {
        Host(const Clock& clock, const std::string& name, std::uint64_t incarnation)
            : log { clock, [](std::string_view lines) { return lines.size(); }, "" }
            , directory { clock, this->log }
            , view { clock, this->directory, name, "knox-a", incarnation }
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

TEST_CASE("FleetView adds the requests of other hosts to the load of an endpoint", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.here.endpoint().inFlight = 2;
    fixture.there.endpoint().inFlight = 3;
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    CHECK(fixture.here.endpoint().load() == 5);
    fixture.there.endpoint().inFlight = 0;
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    CHECK(fixture.here.endpoint().load() == 2);
}

// Guards against a group that waits for the news of a host that it no longer hears.
TEST_CASE(
    "FleetView gives no role to a host that has left, and counts its requests until they are old", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    auto digest = fixture.there.view.makeDigest();
    digest.set_interval_ms(3000);
    fixture.here.view.applyDigest(digest);
    REQUIRE(fixture.here.view.isPeerLive("there"));
    const bool isByList = GENERATE(false, true);
    if (isByList)
        fixture.here.view.retain({ "here" });
    else
        fixture.here.view.setListed("there", false);
    CHECK_FALSE(fixture.here.view.isPeerLive("there"));
    CHECK(fixture.here.view.isWatcher());
    CHECK(fixture.here.endpoint().load() == 3);
    // It may have told of its departure itself.
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    CHECK_FALSE(fixture.here.view.isPeerLive("there"));
    SECTION("until it starts again")
    {
        auto next = fixture.there.view.makeDigest();
        next.set_incarnation(2);
        fixture.here.view.applyDigest(next);
        CHECK(fixture.here.view.isPeerLive("there"));
    }
    SECTION("until it is listed again")
    {
        fixture.here.view.setListed("there", true);
        CHECK(fixture.here.view.isPeerLive("there"));
    }
}

TEST_CASE("FleetView counts a watcher as silent soon after its last news", "[gateway][fleet]")
{
    FleetFixture fixture;
    auto digest = fixture.there.view.makeDigest();
    digest.set_interval_ms(3000);
    digest.set_is_watcher(true);
    fixture.here.view.applyDigest(digest);
    fixture.time += Duration { 2500 };
    CHECK(fixture.here.view.isPeerLive("there"));
    auto update = fixture.there.view.makeNewsUpdate();
    update.set_is_watcher(true);
    CHECK(fixture.here.view.applyNewsUpdate(update));
    fixture.time += Duration { 1000 };
    CHECK(fixture.here.view.isPeerLive("there"));
    fixture.time += Duration { 300 };
    CHECK_FALSE(fixture.here.view.isPeerLive("there"));
    update.set_incarnation(2);
    CHECK_FALSE(fixture.here.view.applyNewsUpdate(update));
}

TEST_CASE("FleetView ignores reordered and duplicated digests and its own", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    const auto early = fixture.there.view.makeDigest();
    fixture.there.endpoint().inFlight = 1;
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    fixture.here.view.applyDigest(early);
    CHECK(fixture.here.endpoint().load() == 1);
    fixture.there.view.applyDigest(fixture.there.view.makeDigest());
    CHECK(fixture.there.endpoint().load() == 1);
}

TEST_CASE("FleetView accepts the first digest of a restarted host", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    for (int round = 0; round < 5; ++round)
        fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    FleetFixture::Host restarted { fixture.clock, "there", 2 };
    fixture.here.view.applyDigest(restarted.view.makeDigest());
    CHECK(fixture.here.endpoint().load() == 0);
}

TEST_CASE("FleetView follows a restarted host whose time of day was set back", "[gateway][fleet]")
{
    FleetFixture fixture;
    FleetFixture::Host former { fixture.clock, "there", 1'700'000'060'000 };
    former.endpoint().inFlight = 3;
    const auto late = former.view.makeDigest();
    fixture.here.view.applyDigest(former.view.makeDigest());
    FleetFixture::Host restarted { fixture.clock, "there", 1'700'000'000'000 };
    restarted.endpoint().inFlight = 1;
    CHECK(fixture.here.view.applyDigest(restarted.view.makeDigest()) == true);
    CHECK(fixture.here.endpoint().load() == 1);
    // A late digest of the former process does not bring it back.
    CHECK_FALSE(fixture.here.view.applyDigest(late));
    CHECK(fixture.here.endpoint().load() == 1);
}

TEST_CASE("FleetView trusts a host that sends less often for as long as it has announced", "[gateway][fleet]")
{
    FleetFixture fixture;
    auto digest = fixture.there.view.makeDigest();
    digest.set_interval_ms(1500);
    fixture.here.view.applyDigest(digest);
    fixture.time += Duration { 4000 };
    fixture.here.view.dropExpired();
    CHECK(fixture.here.view.isPeerLive("there"));
    fixture.time += Duration { 1000 };
    CHECK_FALSE(fixture.here.view.isPeerLive("there"));
}

TEST_CASE("FleetView tells the age of the loads that other hosts reported", "[gateway][fleet]")
{
    FleetFixture fixture;
    CHECK(fixture.here.view.loadAge() == Duration {});
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    fixture.time += Duration { 150 };
    CHECK(fixture.here.view.loadAge() == Duration { 150 });
    wire::GroupSummary summary;
    summary.set_domain("elsewhere");
    summary.mutable_loads();
    summary.set_loads_age_ms(100);
    fixture.there.view.applySummary(summary);
    fixture.time += Duration { 50 };
    // A delegate passes on how old the loads of other groups are, and they age further until its next digest.
    auto digest = fixture.there.view.makeDigest();
    digest.mutable_elsewhere();
    fixture.here.view.applyDigest(digest);
    fixture.time += Duration { 20 };
    CHECK(fixture.here.view.loadAge() == Duration { 170 });
}

TEST_CASE("FleetView drops the digest of a host that stays silent", "[gateway][fleet]")
{
    FleetFixture fixture;
    fixture.there.endpoint().inFlight = 3;
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    fixture.time += Duration { 2000 };
    fixture.here.view.dropExpired();
    CHECK(fixture.here.endpoint().load() == 3);
    fixture.time += Duration { 2000 };
    fixture.here.view.dropExpired();
    CHECK(fixture.here.endpoint().load() == 0);
}

TEST_CASE(
    "FleetView makes the two highest-ranked live hosts delegates, and the first of them watcher", "[gateway][fleet]")
{
    FleetFixture fixture;
    std::vector<std::unique_ptr<FleetFixture::Host>> hosts;
    for (const auto* name : { "a", "b", "c", "d", "e" })
        hosts.push_back(std::make_unique<FleetFixture::Host>(fixture.clock, name, 1));
    for (const auto& host : hosts)
        CHECK(host->view.isDelegate());
    const auto exchange = [&hosts](std::size_t silent) {
        for (std::size_t from = 0; from < hosts.size(); ++from) {
            const auto digest = hosts[from]->view.makeDigest();
            for (std::size_t to = 0; to < hosts.size() && from != silent; ++to) {
                if (to != from)
                    hosts[to]->view.applyDigest(digest);
            }
        }
    };
    const auto delegates = [&hosts](std::size_t silent) {
        std::vector<std::size_t> found;
        for (std::size_t host = 0; host < hosts.size(); ++host) {
            if (host != silent && hosts[host]->view.isDelegate())
                found.push_back(host);
        }
        return found;
    };
    exchange(hosts.size());
    exchange(hosts.size());
    const auto first = delegates(hosts.size());
    REQUIRE(first.size() == 2);
    const auto watchers = [&hosts] {
        return std::count_if(hosts.begin(), hosts.end(), [](const auto& host) { return host->view.isWatcher(); });
    };
    CHECK(watchers() == 1);
    for (const auto& host : hosts)
        CHECK(host->view.watcher().empty() == host->view.isWatcher());

    SECTION("another host replaces a delegate that falls silent")
    {
        for (int round = 0; round < 8; ++round) {
            fixture.time += Duration { 200 };
            exchange(first[0]);
        }
        const auto next = delegates(first[0]);
        CHECK(next.size() == 2);
        CHECK(std::count(next.begin(), next.end(), first[1]) == 1);
    }
    SECTION("a host that does not reach the store gives up its role")
    {
        hosts[first[0]]->view.setStoreReachable(false);
        exchange(hosts.size());
        exchange(hosts.size());
        const auto next = delegates(hosts.size());
        CHECK(next.size() == 2);
        CHECK(std::count(next.begin(), next.end(), first[0]) == 0);
    }
    SECTION("two hosts remain delegates while no host reaches the store, and only one of them watches it")
    {
        for (const auto& host : hosts)
            host->view.setStoreReachable(false);
        exchange(hosts.size());
        exchange(hosts.size());
        CHECK(delegates(hosts.size()).size() == 2);
        CHECK(watchers() == 1);
        for (const auto& host : hosts)
            CHECK(host->view.watcher().empty());
    }
}

TEST_CASE("FleetView adds the loads of other groups from their summaries and relays them", "[gateway][fleet]")
{
    FleetFixture fixture;
    wire::GroupSummary summary;
    summary.set_domain("chatt-a");
    summary.mutable_loads()->add_endpoints(fixture.here.endpoint().hash);
    summary.mutable_loads()->add_in_flight(7);
    summary.mutable_loads()->add_unread_tokens(900);
    fixture.there.view.applySummary(summary);
    CHECK(fixture.there.endpoint().load() == 7);
    fixture.there.endpoint().inFlight = 2;
    fixture.here.view.applyDigest(fixture.there.view.makeDigest());
    CHECK(fixture.here.endpoint().load() == 9);
    CHECK(fixture.here.endpoint().backlog() == 900);

    // A summary contains the loads of the own group, but not those of other groups.
    fixture.there.view.applyDigest(fixture.here.view.makeDigest());
    const auto group = fixture.there.view.makeGroupLoads();
    REQUIRE(group.in_flight_size() == 1);
    CHECK(group.in_flight(0) == 2);

    fixture.time += Duration { 4000 };
    fixture.there.view.dropExpired();
    CHECK(fixture.there.endpoint().load() == 2);
}

TEST_CASE("FleetView bounds the age of a message by its own clock, regardless of the transit time", "[gateway][fleet]")
{
    FleetFixture fixture;
    CHECK_FALSE(fixture.here.view.earliestSendTime(fixture.there.view.makeDigest()));
    const auto sentHere = fixture.time;
    fixture.there.view.applyDigest(fixture.here.view.makeDigest());
    fixture.time += Duration { 100 };
    auto digest = fixture.there.view.makeDigest();
    *digest.mutable_echo() = fixture.there.view.makeEcho("here");
    // The host is suspended while the message waits in its socket.
    fixture.time += Duration { 6000 };
    const auto sending = fixture.here.view.earliestSendTime(digest);
    REQUIRE(sending);
    CHECK(*sending == sentHere + Duration { 100 });
    const FleetFixture::Host restarted { fixture.clock, "here", 2 };
    CHECK_FALSE(restarted.view.earliestSendTime(digest));
}

TEST_CASE("FleetView tells since when a newer plan is known of its own group and of others", "[gateway][fleet]")
{
    FleetFixture fixture;
    auto digest = fixture.there.view.makeDigest();
    digest.set_plan_version(5);
    fixture.here.view.applyDigest(digest);
    const auto firstHeardAt = fixture.time;
    CHECK_FALSE(fixture.here.view.findNewerPlan(5));
    fixture.time += Duration { 300 };
    wire::GroupSummary summary;
    summary.set_group("ohio-a");
    summary.set_plan_version(7);
    fixture.here.view.applySummary(summary);
    CHECK(fixture.here.view.findNewerPlan(4) == firstHeardAt);
    CHECK(fixture.here.view.findNewerPlan(5) == fixture.time);
    CHECK(fixture.here.view.findNewerPlan(6) == fixture.time);
    // A delegate passes on what other groups have, also to hosts that receive no summaries.
    fixture.there.view.applyDigest(fixture.here.view.makeDigest());
    CHECK(fixture.there.view.findNewerPlan(6) == fixture.time);
    // A late summary of another group tells nothing new.
    fixture.time += Duration { 300 };
    summary.set_group("utah-a");
    summary.set_plan_version(6);
    fixture.here.view.applySummary(summary);
    CHECK(fixture.here.view.findNewerPlan(6) == fixture.time - Duration { 300 });
    CHECK_FALSE(fixture.here.view.findNewerPlan(7));
}

TEST_CASE("FleetView remembers a bounded number of plans", "[gateway][fleet]")
{
    FleetFixture fixture;
    const auto firstHeardAt = fixture.time;
    for (std::uint64_t version = 1; version <= 200; ++version) {
        auto update = fixture.there.view.makeDigest();
        update.set_plan_version(version);
        fixture.here.view.applyDigest(update);
        fixture.time += Duration { 10 };
    }
    CHECK(fixture.here.view.findNewerPlan(0) == firstHeardAt);
    CHECK(fixture.here.view.findNewerPlan(199) == fixture.time - Duration { 10 });
}
