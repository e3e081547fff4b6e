#include "berylwing/gateway/endpoint_directory.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

/** Directory with six endpoints of one service and a manual clock. */
class DirectoryFixture {
public:
    DirectoryFixture()
    {
        for (int number = 0; number < 6; ++number)
            this->put("e" + std::to_string(number));
    }

    void put(const std::string& id, bool isDraining = false, std::uint64_t startedAt = 1, Duration coldDuration = {})
    {
        EndpointRecord record;
        record.id = id;
        record.service = "engines";
        record.domain = id < "e3" ? "knox-a" : "knox-b";
        record.isDraining = isDraining;
        record.startedAt = startedAt;
        record.coldDuration = coldDuration;
        this->directory.put(std::move(record));
    }

    [[nodiscard]] std::size_t open() const { return this->directory.availableEndpoints("engines").size(); }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    DecisionLog log { this->clock, [](std::string_view lines) { return lines.size(); }, "" };
    EndpointDirectory directory { this->clock, this->log };
};

} // namespace

TEST_CASE("EndpointDirectory excludes draining, removed and withdrawn endpoints", "[gateway][directory]")
{
    DirectoryFixture fixture;
    fixture.put("e0", true);
    CHECK(fixture.open() == 5);
    fixture.directory.remove("e1");
    CHECK(fixture.open() == 4);
    fixture.directory.setDomainWithdrawn("knox-b", true);
    CHECK(fixture.open() == 1);
    fixture.directory.setDomainWithdrawn("knox-b", false);
    CHECK(fixture.open() == 4);
}

TEST_CASE(
    "EndpointDirectory makes a removed endpoint unavailable to requests that still refer to it", "[gateway][directory]")
{
    DirectoryFixture fixture;
    const auto endpoint = fixture.directory.availableEndpoints("engines").front();
    fixture.directory.remove(endpoint->record.id);
    CHECK_FALSE(fixture.directory.isAvailable(*endpoint));
}

TEST_CASE(
    "EndpointDirectory keeps entries that expired in an outage until the grace time has passed", "[gateway][directory]")
{
    DirectoryFixture fixture;
    fixture.directory.recordStoreLost();
    for (int number = 0; number < 6; ++number)
        fixture.directory.remove("e" + std::to_string(number));
    CHECK(fixture.open() == 6);
    fixture.time += Duration { 5000 };
    fixture.directory.removeExpired();
    CHECK(fixture.open() == 6);
    fixture.directory.recordStoreRegained();
    fixture.time += Duration { 1000 };
    fixture.put("e0");
    fixture.directory.removeExpired();
    CHECK(fixture.open() == 6);
    // Entries that are still missing two seconds after the outage are removed.
    fixture.time += Duration { 1000 };
    fixture.directory.removeExpired();
    CHECK(fixture.open() == 1);
}

TEST_CASE("EndpointDirectory excludes a single endpoint whose entry is missing after an outage", "[gateway][directory]")
{
    DirectoryFixture fixture;
    fixture.directory.recordStoreLost();
    fixture.directory.remove("e0");
    CHECK(fixture.open() == 5);
}

TEST_CASE("EndpointDirectory resets the state of an endpoint that restarted", "[gateway][directory]")
{
    DirectoryFixture fixture;
    const auto before = fixture.directory.all().at("e0");
    before->health.record(EndpointResult::Unreachable, fixture.time);
    fixture.put("e0", false, 2);
    const auto after = fixture.directory.all().at("e0");
    CHECK(before != after);
    CHECK_FALSE(after->health.isEjected(fixture.time));
}

TEST_CASE("EndpointDirectory removes endpoints that are not in a complete list", "[gateway][directory]")
{
    DirectoryFixture fixture;
    fixture.directory.retain({ "e1", "e2" });
    CHECK(fixture.open() == 2);
}

TEST_CASE("EndpointDirectory does not reopen leaving and removed endpoints that a restored store lists as open",
    "[gateway][directory][restore]")
{
    DirectoryFixture fixture;
    fixture.put("e0", true);
    fixture.directory.remove("e1");
    CHECK(fixture.open() == 4);
    fixture.directory.recordRestore();
    for (int number = 0; number < 6; ++number)
        fixture.put("e" + std::to_string(number));
    fixture.directory.retain({ "e0", "e1", "e2", "e3", "e4", "e5" });
    CHECK(fixture.open() == 4);
    fixture.put("e1");
    CHECK(fixture.open() == 5);
    fixture.put("e0", false, 2);
    CHECK(fixture.open() == 6);
}

TEST_CASE("EndpointDirectory keeps endpoints that a restored store lacks until they had time to write again",
    "[gateway][directory][restore]")
{
    DirectoryFixture fixture;
    fixture.directory.recordRestore();
    fixture.put("e0");
    fixture.directory.retain({ "e0" });
    fixture.time += Duration { 1500 };
    fixture.directory.removeExpired();
    CHECK(fixture.open() == 6);
    fixture.put("e1");
    fixture.time += Duration { 500 };
    fixture.directory.removeExpired();
    CHECK(fixture.open() == 2);
}

TEST_CASE("EndpointDirectory keeps domains withdrawn that a restored store lacks, for a bounded time",
    "[gateway][directory][restore]")
{
    DirectoryFixture fixture;
    fixture.directory.setDomainWithdrawn("knox-b", true);
    fixture.directory.keepWithdrawnDomains();
    fixture.directory.setWithdrawnDomains({});
    CHECK(fixture.open() == 3);
    SECTION("written again")
    {
        fixture.directory.setDomainWithdrawn("knox-b", true);
        fixture.time += Duration { 60'000 };
        CHECK(fixture.open() == 3);
        fixture.directory.setDomainWithdrawn("knox-b", false);
        CHECK(fixture.open() == 6);
    }
    SECTION("not written again")
    {
        fixture.time += Duration { 5000 };
        CHECK(fixture.open() == 6);
    }
}

TEST_CASE("EndpointDirectory does not take an earlier process of a restored store's copy for the running one",
    "[gateway][directory][restore]")
{
    DirectoryFixture fixture;
    fixture.put("e0", false, 2);
    fixture.put("e1", false, 2);
    fixture.directory.remove("e1");
    const auto running = fixture.directory.all().at("e0");
    fixture.directory.recordRestore();
    for (int number = 0; number < 6; ++number)
        fixture.put("e" + std::to_string(number));
    fixture.directory.retain({ "e0", "e1", "e2", "e3", "e4", "e5" });
    CHECK(fixture.directory.all().at("e0") == running);
    CHECK(fixture.open() == 4);
    fixture.put("e0", false, 2);
    CHECK(fixture.directory.all().at("e0") == running);
    CHECK(fixture.open() == 5);
    fixture.put("e1", false, 3);
    CHECK(fixture.open() == 6);
}

TEST_CASE(
    "EndpointDirectory does not make a warm endpoint cold by a restored store's copy", "[gateway][directory][restore]")
{
    DirectoryFixture fixture;
    fixture.directory.recordRestore();
    fixture.put("e0", false, 1, Duration { 8000 });
    fixture.directory.retain({ "e0", "e1", "e2", "e3", "e4", "e5" });
    CHECK_FALSE(fixture.directory.all().at("e0")->isCold(fixture.time));
    fixture.put("e0", false, 1, Duration { 8000 });
    CHECK(fixture.directory.all().at("e0")->isCold(fixture.time));
}
