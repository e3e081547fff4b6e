// Hosts that have not watched a service for long enough, and what they learn of its versions from others.
#include "support/versions_fixture.hpp"

#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

namespace {

/** Two hosts, one of them a writer, that have seen a release begin and end. */
class ReleasedFleet : public VersionsFixture {
public:
    ReleasedFleet()
    {
        this->isAskingOthers = true;
        this->writer = &this->addHost("a", true);
        this->other = &this->addHost("b");
        for (auto* host : { this->writer, this->other })
            host->put("e1", "1");
        this->advance(kLifetime + Duration { 200 });
        for (auto* host : { this->writer, this->other })
            host->put("e2", "1.1");
        this->advance(Duration { 3000 });
        for (auto* host : { this->writer, this->other })
            host->directory.remove("e1");
    }

    Host& startLate(const std::string& name)
    {
        auto& host = this->addHost(name);
        host.put("e2", "1.1");
        this->advance(Duration { 200 });
        return host;
    }

    Host* writer = nullptr;
    Host* other = nullptr;
};

} // namespace

// Guards against streams that are refused at a host restarted after a release, while the store still tells two versions
// and nobody keeps the streams any more (review/7).
TEST_CASE("A host that starts after a release has ended goes by what others have watched", "[gateway][versions]")
{
    ReleasedFleet fleet;
    fleet.advance(kLifetime + Duration { 500 });
    REQUIRE_FALSE(fleet.other->versions.isReportRequired());
    auto& late = fleet.startLate("c");
    CHECK(fleet.find(late) == kNew);
    CHECK_FALSE(late.versions.isReportRequired());
    CHECK(late.calls.empty());

    // What a host was told it tells others, so that the hosts of a fleet may be restarted one after the other.
    fleet.writer->isSuspended = true;
    fleet.other->isSuspended = true;
    fleet.advance(Duration { 2000 });
    auto& last = fleet.startLate("d");
    CHECK(fleet.find(last) == kNew);
}

TEST_CASE("A host that starts while streams of two versions are open relies on the keepers", "[gateway][versions]")
{
    ReleasedFleet fleet;
    auto& late = fleet.startLate("c");
    CHECK_FALSE(fleet.find(late));
    CHECK(late.versions.isReportRequired());
    SECTION("although the store tells only one")
    {
        storeOnly(fleet, "1.1");
        CHECK_FALSE(fleet.find(late));
    }
    SECTION("until they are over")
    {
        fleet.advance(kLifetime + Duration { 4500 });
        CHECK(fleet.find(late) == kNew);
        CHECK_FALSE(late.versions.isReportRequired());
    }
}

// Guards against streams that nobody can tell the version of, because hosts that have just started do not report them.
TEST_CASE("Hosts that all start at once report their streams until they know the only version", "[gateway][versions]")
{
    VersionsFixture fixture;
    fixture.isAskingOthers = true;
    std::vector<VersionsFixture::Host*> hosts;
    for (const auto* name : { "a", "b", "c" }) {
        hosts.push_back(&fixture.addHost(name, std::string { name } == "a"));
        hosts.back()->put("e1", "1.1");
    }
    fixture.advance(Duration { 200 });
    for (auto* host : hosts) {
        CHECK(host->versions.isReportRequired());
        CHECK_FALSE(fixture.find(*host));
    }
    fixture.advance(kLifetime);
    for (auto* host : hosts) {
        CHECK_FALSE(host->versions.isReportRequired());
        CHECK(fixture.find(*host) == kNew);
        CHECK(host->questions <= 12);
    }
}

TEST_CASE("A host that was out of touch asks again, and tells nothing meanwhile", "[gateway][versions]")
{
    ReleasedFleet fleet;
    fleet.advance(kLifetime + Duration { 500 });
    auto& late = fleet.startLate("c");
    CHECK(fleet.find(late) == kNew);
    late.isCurrent = false;
    fleet.advance(Duration { 1000 });
    CHECK(late.versions.isReportRequired());
    CHECK_FALSE(late.versions.tellVersion(VersionExchange::hashService(kService)));
    for (auto* host : { fleet.writer, fleet.other })
        host->put("e3", "1.2");
    fleet.advance(Duration { 200 });
    for (auto* host : { fleet.writer, fleet.other })
        host->directory.remove("e3");
    late.isCurrent = true;
    fleet.advance(Duration { 500 });
    CHECK_FALSE(fleet.find(late));
}

TEST_CASE("A service without several versions or without resumable streams costs no questions", "[gateway][versions]")
{
    VersionsFixture fixture;
    fixture.isAskingOthers = true;
    auto& host = fixture.addHost("a");
    fixture.addHost("b");
    host.put("e1", "1", "batch");
    host.put("e2", "", "untold");
    fixture.advance(kLifetime + Duration { 200 });
    CHECK(host.questions == 0);
    CHECK_FALSE(host.versions.isReportRequired());
}
