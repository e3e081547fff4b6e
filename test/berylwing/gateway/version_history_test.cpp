#include "support/versions_fixture.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("A host that was cut off asks the store again for versions that came and went", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    auto& host = fixture.addHost("b");
    writer.put("e1", "1");
    host.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    CHECK(fixture.find(host) == kOld);
    host.isCurrent = false;
    const auto question = fixture.ask(host);
    CHECK(question->isAnswered);
    CHECK_FALSE(question->answer);
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    writer.directory.remove("e2");
    fixture.advance(Duration { 1000 });
    CHECK(host.calls.empty());
    host.isCurrent = true;
    // The answers of before the next update are not known to be complete.
    CHECK_FALSE(fixture.ask(host)->answer);
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    CHECK(host.countCalls(PlatformOperation::List) == 1);
    fixture.advance(kLifetime);
    CHECK(fixture.find(host) == kOld);
    CHECK(host.calls.size() == 1);
}

TEST_CASE("A host that was suspended does not rely on what it saw before", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    auto& host = fixture.addHost("b");
    writer.put("e1", "1");
    host.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    host.isSuspended = true;
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1500 });
    writer.directory.remove("e2");
    const auto question = fixture.ask(host);
    CHECK(question->isAnswered);
    CHECK_FALSE(question->answer);
    CHECK(host.calls.empty());
    host.isSuspended = false;
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    CHECK(host.calls.size() == 1);
}

TEST_CASE("A host that loses touch while it asks the store answers nothing", "[gateway]")
{
    VersionsFixture fixture;
    storeOnly(fixture, "1");
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(Duration { 200 });
    const auto question = fixture.ask(host);
    host.isCurrent = false;
    fixture.advance(Duration { 150 });
    CHECK(question->isAnswered);
    CHECK_FALSE(question->answer);
    host.isCurrent = true;
    fixture.advance(Duration { 200 });
    CHECK(fixture.find(host) == kOld);
    CHECK(host.calls.size() == 2);
}

TEST_CASE("A host whose call fails answers nothing and waits before it calls again", "[gateway]")
{
    VersionsFixture fixture;
    storeOnly(fixture, "1");
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(Duration { 200 });
    fixture.platform.failureMode = PlatformFailureMode::Down;
    for (int take = 0; take < 5; ++take)
        CHECK_FALSE(fixture.find(host));
    CHECK(host.calls.size() == 1);
    CHECK(host.countLines("\"version_history_failed\"") == 1);
    fixture.platform.failureMode = PlatformFailureMode::None;
    CHECK_FALSE(fixture.find(host));
    CHECK(host.calls.size() == 1);
    fixture.advance(Duration { 500 });
    CHECK(fixture.find(host) == kOld);
    CHECK(host.calls.size() == 2);
}

TEST_CASE("A writer tries again with a delay while the store is away", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    fixture.platform.failureMode = PlatformFailureMode::Down;
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 450 });
    CHECK(writer.calls.size() == 1);
    fixture.advance(Duration { 10'000 });
    CHECK(writer.calls.size() <= 6);
    CHECK(writer.countLines("\"version_history_failed\"") == 1);
    fixture.platform.failureMode = PlatformFailureMode::None;
    fixture.advance(Duration { 4500 });
    CHECK(fixture.stored().size() == 2);
    const auto calls = writer.calls.size();
    fixture.advance(Duration { 10'000 });
    CHECK(writer.calls.size() == calls);
}

TEST_CASE("A write whose answer is lost, or that takes effect late, is found done", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    fixture.platform.failureMode = GENERATE(PlatformFailureMode::AnswersLost, PlatformFailureMode::WritesDelayed);
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 300 });
    fixture.platform.failureMode = PlatformFailureMode::None;
    fixture.advance(Duration { 5000 });
    CHECK(fixture.stored() == std::set<std::string> { "1", "1.1" });
    CHECK(writer.calls.size() == 3);
}

TEST_CASE("A writer that has just started keeps what others stored, and drops it when it knows better", "[gateway]")
{
    VersionsFixture fixture;
    fixture.platform.store.write(ObjectKind::ServiceVersions, kService, { { "versions", { "0.9", "1" } } });
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    CHECK(fixture.stored() == std::set<std::string> { "0.9", "1", "1.1" });
    CHECK(writer.calls.size() == 3);
    fixture.advance(kLifetime);
    writer.put("e3", "1.2");
    fixture.advance(Duration { 1000 });
    CHECK(fixture.stored() == std::set<std::string> { "1", "1.1", "1.2" });
    CHECK(writer.calls.size() == 4);
}

TEST_CASE("Writers that see different versions converge", "[gateway]")
{
    VersionsFixture fixture;
    auto& first = fixture.addHost("a", true);
    auto& second = fixture.addHost("b", true);
    first.put("e1", "1");
    second.put("e1", "1");
    first.put("e2", "1.1");
    second.put("e3", "1.2");
    fixture.advance(Duration { 5000 });
    CHECK(fixture.stored() == std::set<std::string> { "1", "1.1", "1.2" });
    const auto calls = first.calls.size() + second.calls.size();
    CHECK(calls <= 5);
    fixture.advance(kLifetime);
    CHECK(first.calls.size() + second.calls.size() == calls);
}

TEST_CASE("Versions that a restored store lacks are written again", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    fixture.advance(Duration { 200 });
    const auto copy = fixture.platform.store;
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    REQUIRE(fixture.stored().size() == 2);
    fixture.platform.store.restore(copy);
    CHECK(fixture.stored().empty());
    auto& reader = fixture.addHost("b");
    reader.put("e2", "1.1");
    fixture.advance(Duration { 200 });
    // The store answers in an era in which this host does not know the endpoints yet.
    CHECK_FALSE(fixture.find(reader));
    fixture.advance(Duration { 600 });
    writer.listedEra = reader.listedEra = 2;
    writer.versions.recordRestore();
    reader.versions.recordRestore();
    // The object is not there yet.
    const auto question = fixture.ask(reader);
    CHECK(question->isAnswered);
    CHECK_FALSE(question->answer);
    fixture.advance(Duration { 300 });
    CHECK(fixture.stored().size() == 2);
    fixture.advance(Duration { 3000 });
    CHECK_FALSE(fixture.find(reader));
    CHECK(reader.calls.size() == 2);
}

TEST_CASE("An object that a restore brings back is corrected again", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    const auto copy = fixture.platform.store;
    writer.directory.remove("e1");
    fixture.advance(2 * kLifetime + Duration { 1000 });
    REQUIRE(fixture.stored() == kOnlyNew);
    fixture.platform.store.restore(copy);
    writer.versions.recordRestore();
    fixture.advance(Duration { 500 });
    CHECK(fixture.stored().size() == 2);
    fixture.advance(kLifetime);
    CHECK(fixture.stored() == kOnlyNew);
}

TEST_CASE("An object of odd content is logged, and nothing is known of its service", "[gateway]")
{
    VersionsFixture fixture;
    const auto odd = GENERATE(nlohmann::json::array({ 1 }), nlohmann::json { { "versions", "1" } },
        nlohmann::json { { "versions", { 1, 2 } } }, nlohmann::json { { "other", true } }, nlohmann::json(7));
    CAPTURE(odd.dump());
    fixture.platform.store.write(ObjectKind::ServiceVersions, kService, odd);
    storeOnly(fixture, "1", "other");
    auto& host = fixture.addHost("a", true);
    host.put("e1", "1");
    host.put("e2", "1", "other");
    fixture.advance(Duration { 200 });
    CHECK_FALSE(fixture.find(host));
    CHECK(fixture.find(host, "other") == hashVersion("other", "1"));
    CHECK(host.calls.size() == 1);
    CHECK(host.countLines("\"version_history_failed\"") == 1);
    SECTION("it is replaced when the service is mixed")
    {
        host.put("e3", "1.1");
        fixture.advance(Duration { 1000 });
        CHECK(fixture.stored() == std::set<std::string> { "1", "1.1" });
    }
    SECTION("it is replaced later")
    {
        fixture.advance(kLifetime + Duration { 1000 });
        CHECK(fixture.find(host) == kOld);
        CHECK(fixture.stored() == kOnlyOld);
    }
}

TEST_CASE("Nothing is known of a service without endpoints, without versions or without resumable streams", "[gateway]")
{
    VersionsFixture fixture;
    auto& host = fixture.addHost("a");
    host.put("e1", "1", "batch");
    host.put("e2", "1.1", "batch");
    host.put("e3", "", "untold");
    fixture.advance(kLifetime + Duration { 200 });
    for (const auto* service : { "batch", "untold", "unknown", "" }) {
        const auto question = fixture.ask(host, service);
        CHECK(question->isAnswered);
        CHECK_FALSE(question->answer);
    }
    CHECK_FALSE(host.versions.isAnyMixed());
    CHECK(host.calls.empty());
}

TEST_CASE("A service that vanishes is forgotten, and one that returns is watched anew", "[gateway]")
{
    VersionsFixture fixture;
    auto& writer = fixture.addHost("a", true);
    writer.put("e1", "1");
    writer.put("e2", "1.1");
    fixture.advance(Duration { 1000 });
    CHECK(fixture.stored().size() == 2);
    writer.directory.remove("e1");
    writer.directory.remove("e2");
    fixture.advance(2 * kLifetime + Duration { 1000 });
    CHECK(fixture.stored().empty());
    CHECK_FALSE(writer.versions.isAnyMixed());
    const auto calls = writer.calls.size();
    fixture.advance(kLifetime);
    CHECK(writer.calls.size() == calls);
    CHECK_FALSE(fixture.find(writer));
    writer.put("e4", "1");
    CHECK_FALSE(fixture.find(writer));
    CHECK(writer.calls.size() == calls + 1);
    fixture.advance(kLifetime + Duration { 200 });
    CHECK(fixture.find(writer) == kOld);
}

TEST_CASE("A version that began streams by a longer timeout is remembered after the plan shortens it", "[gateway]")
{
    VersionsFixture fixture;
    auto& host = fixture.addHost("a");
    host.put("e1", "1");
    fixture.advance(kLifetime + Duration { 200 });
    host.put("e2", "1.1");
    fixture.advance(Duration { 200 });
    host.directory.remove("e1");
    host.streamLifetime = GENERATE(Duration { 2000 }, Duration {});
    fixture.advance(kLifetime - Duration { 500 });
    CHECK(host.versions.isAnyMixed());
    CHECK_FALSE(fixture.find(host));
    fixture.advance(Duration { 1000 });
    CHECK_FALSE(host.versions.isAnyMixed());
}

TEST_CASE("A gateway stores the versions of a service that is mixed, also after a restore of the store", "[gateway]")
{
    GatewayHarness harness;
    harness.putPlan(GatewayHarness::makePlan(1));
    const auto put = [&harness](const std::string& id, const std::string& version) {
        harness.platform.store.write(ObjectKind::Endpoint, id,
            { { "service", "engines" }, { "version", version }, { "domain", "knox-a" }, { "draining", false },
                { "cold_ms", 0 } });
    };
    const auto storedBody = [&harness] { return harness.platform.store.body(ObjectKind::ServiceVersions, "engines"); };
    put("e1", "1");
    harness.advance(Duration { 2000 });
    CHECK(storedBody().empty());
    const auto copy = harness.platform.store;
    put("e2", "1.1");
    harness.advance(Duration { 1000 });
    CHECK(storedBody() == R"({"versions":["1","1.1"]})");
    harness.platform.store.restore(copy);
    REQUIRE(storedBody().empty());
    harness.advance(Duration { 6000 });
    CHECK(storedBody() == R"({"versions":["1","1.1"]})");
}
