#include "support/versions_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("A service of one version costs two calls of a writer, and none of other hosts", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    auto& other = fixture.addHost("b");
    for (auto* host : { &writer, &other }) {
        host->put("e1", "1");
        host->put("e2", "1");
    }
    fixture.advance(kLifetime - Duration { 300 });
    CHECK(writer.calls.empty());
    fixture.advance(3 * kLifetime);
    CHECK(fixture.find(writer) == kOld);
    CHECK(fixture.find(other) == kOld);
    CHECK(fixture.stored() == kOnlyOld);
    CHECK(writer.calls.size() == 2);
    CHECK(writer.countCalls(PlatformOperation::Put) == 1);
    CHECK(other.calls.empty());
    CHECK_FALSE(writer.versions.isAnyMixed());
}

TEST_CASE("A host that has just started asks the store once", "[gateway]")
{
    VersionsFixture fixture;
    storeOnly(fixture, "1");
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(Duration { 200 });
    CHECK(fixture.find(host) == kOld);
    CHECK(fixture.find(host) == kOld);
    fixture.advance(kLifetime);
    CHECK(fixture.find(host) == kOld);
    CHECK(host.calls.size() == 1);
    CHECK(host.countCalls(PlatformOperation::List) == 1);
}

// Guards against streams that go on at the only version in sight after all hosts were down while it replaced another.
TEST_CASE("A host that starts does not know what was in service before if the store does not tell", "[gateway]")
{
    VersionsFixture fixture;
    auto& host = fixture.addHost("a", true);
    host.put("e1", "1.1");
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    fixture.advance(kLifetime);
    CHECK(fixture.find(host) == kNew);
}

TEST_CASE("A host that starts after a service was replaced as a whole knows of the version before", "[gateway]")
{
    VersionsFixture fixture;
    auto& former = fixture.addHost("a", true);
    former.put("e1", "1");
    fixture.advance(2 * kLifetime);
    REQUIRE(fixture.stored() == kOnlyOld);
    former.isSuspended = true;
    auto& host = fixture.addHost("b", true);
    host.put("e2", "1.1");
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    fixture.advance(3 * kLifetime);
    CHECK(fixture.find(host) == kNew);
    CHECK(fixture.stored() == kOnlyNew);
}

TEST_CASE("Take-ups that ask at the same time share one call for all services", "[gateway]")
{
    VersionsFixture fixture;
    storeOnly(fixture, "1");
    storeOnly(fixture, "1", "other");
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    host.put("e2", "1", "other");
    fixture.advance(Duration { 200 });
    const std::vector questions { fixture.ask(host), fixture.ask(host), fixture.ask(host, "other") };
    for (const auto& question : questions)
        CHECK_FALSE(question->isAnswered);
    fixture.advance(Duration { 50 });
    CHECK(questions[0]->answer == kOld);
    CHECK(questions[1]->answer == kOld);
    CHECK(questions[2]->answer == hashVersion("other", "1"));
    CHECK(host.calls.size() == 1);
}

TEST_CASE("A service is mixed until the streams of the version that left are over", "[gateway]")
{
    VersionsFixture fixture;
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    host.put("e2", "1.1");
    CHECK_FALSE(fixture.find(host));
    fixture.advance(Duration { 200 });
    CHECK(host.versions.isAnyMixed());
    CHECK(host.countLines("\"versions_mixed\"") == 1);
    host.directory.remove("e1");
    fixture.advance(kLifetime - Duration { 300 });
    CHECK_FALSE(fixture.find(host));
    fixture.advance(Duration { 500 });
    CHECK(fixture.find(host) == kNew);
    CHECK_FALSE(host.versions.isAnyMixed());
    CHECK(host.countLines("\"versions_settled\"") == 1);
    CHECK(host.countLines("\"versions\":\"1,1.1\"") == 1);
    CHECK(host.calls.empty());
}

TEST_CASE("A version counts while its endpoints drain, and when an id returns with another version", "[gateway]")
{
    VersionsFixture fixture;
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    SECTION("draining")
    {
        EndpointRecord record;
        record.id = "e2";
        record.service = kService;
        record.version = "1.1";
        record.isDraining = true;
        host.directory.put(std::move(record));
    }
    SECTION("same id") { host.put("e1", "1.1"); }
    SECTION("missing in an outage of the store")
    {
        host.put("e2", "1.1");
        host.directory.recordStoreLost();
        host.directory.remove("e2");
    }
    CHECK_FALSE(fixture.find(host));
    CHECK(host.calls.empty());
}

TEST_CASE("Writers store both versions while a service is mixed, and the one that is left later", "[gateway]")
{
    VersionsFixture fixture;
    std::vector<VersionsFixture::Host*> hosts;
    for (const auto* name : { "a", "b", "c" })
        hosts.push_back(&fixture.addHost(name, std::string { name } != "c"));
    for (auto* host : hosts)
        host->put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    for (auto* host : hosts)
        host->put("e2", "1.1");
    fixture.advance(Duration { 10'000 });
    CHECK(fixture.stored() == std::set<std::string> { "1", "1.1" });
    // Each writer reads and writes for the first version and writes for both, and one of two reads after its conflict.
    CHECK(hosts[0]->calls.size() + hosts[1]->calls.size() <= 8);
    CHECK(hosts[2]->calls.empty());
    for (auto* host : hosts)
        host->directory.remove("e1");
    fixture.advance(2 * kLifetime - Duration { 300 });
    CHECK(fixture.stored().size() == 2);
    fixture.advance(Duration { 1000 });
    CHECK(fixture.stored() == kOnlyNew);
    fixture.advance(3 * kLifetime);
    CHECK(hosts[0]->calls.size() + hosts[1]->calls.size() <= 11);
    CHECK(hosts[2]->calls.empty());
}

TEST_CASE("A single writer makes one call when a service becomes mixed, and one for the end", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    REQUIRE(fixture.stored() == kOnlyOld);
    writer.calls.clear();
    writer.put("e2", "1.1");
    fixture.advance(kLifetime);
    CHECK(writer.calls.size() == 1);
    CHECK(writer.countCalls(PlatformOperation::Put) == 1);
    writer.directory.remove("e1");
    fixture.advance(4 * kLifetime);
    CHECK(writer.calls.size() == 2);
    CHECK(writer.countCalls(PlatformOperation::Put) == 2);
    CHECK(fixture.stored() == kOnlyNew);
}

TEST_CASE("A host that starts late learns of a version that left before", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    writer.directory.remove("e1");
    fixture.advance(Duration { 1000 });
    auto& late = fixture.addHost("b");
    late.put("e2", "1.1");
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(late));
    CHECK_FALSE(fixture.find(late));
    CHECK(late.calls.size() == 1);
    fixture.advance(kLifetime);
    CHECK(fixture.find(late) == kNew);
    CHECK(late.calls.size() == 1);
    CHECK(late.countCalls(PlatformOperation::Put) == 0);
}

TEST_CASE("An object that no writer remembers is corrected by the host that found it", "[gateway]")
{
    VersionsFixture fixture;
    fixture.platform.store.write(ObjectKind::ServiceVersions, kService, { { "versions", { "1", "1.1" } } });
    const bool isWriter = GENERATE(true, false);
    auto& host = fixture.addHost("a", isWriter);
    host.put("e2", "1.1");
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    fixture.advance((isWriter ? 1 : 2) * kLifetime - Duration { 1000 });
    CHECK(fixture.stored().size() == 2);
    fixture.advance(Duration { 2000 });
    CHECK(fixture.stored() == kOnlyNew);
    CHECK(host.calls.size() == 2);
}
