#include "berylwing/gateway/crash_quarantine.hpp"

#include "support/gateway_harness.hpp"
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Registers of two hosts that exchange the crashes they observe. */
class QuarantineFixture {
public:
    wire::EndpointNotes crashesOf(CrashQuarantine& quarantine)
    {
        wire::EndpointNotes crashes;
        quarantine.appendTo(crashes);
        return crashes;
    }

    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    CrashQuarantine here { this->clock };
    CrashQuarantine there { this->clock };
};

constexpr std::uint64_t kRequest = 7;

/** Gateway with six endpoints, each of which breaks the connection during every request. */
class CrashBench : public GatewayHarness {
public:
    CrashBench()
    {
        this->putPlan(makePlan(1));
        for (const auto* id : { "a", "b", "c", "d", "e", "f" }) {
            this->putEndpoint(id, "knox-a");
            this->behaviors[id] = EndpointBehavior::Break;
        }
        this->advance(Duration { 300 });
    }

    /** Replaces each endpoint that received a request by a new process with another id, as after a crash. */
    void restartCrashedEndpoints()
    {
        for (; this->restarted < this->receivedRequests.size(); ++this->restarted) {
            const auto id = this->receivedRequests[this->restarted].endpoint;
            this->remove(ObjectKind::Endpoint, id);
            this->behaviors[id + "+"] = EndpointBehavior::Break;
            this->putEndpoint(id + "+", "knox-a");
        }
        this->advance(Duration { 600 });
    }

    /** Number of received requests whose endpoints have been replaced. */
    std::size_t restarted = 0;

    /** Sends the same request under several attempt ids. @return Number of times that it reached an endpoint. */
    std::size_t countExecutions(int attempts, const std::string& path)
    {
        const auto before = this->receivedRequests.size();
        for (int attempt = 0; attempt < attempts; ++attempt) {
            static_cast<void>(
                this->sendAndWait(path + std::to_string(this->receivedRequests.size() * 100 + attempt), path));
            this->advance(Duration { 2500 });
            this->restartCrashedEndpoints();
        }
        return this->receivedRequests.size() - before;
    }
};

} // namespace

TEST_CASE("CrashQuarantine quarantines a request that broke at three endpoints", "[gateway][crash]")
{
    QuarantineFixture fixture;
    CHECK(fixture.here.isEmpty());
    fixture.here.recordCrash(kRequest, 1);
    fixture.here.recordCrash(kRequest, 2);
    fixture.here.recordCrash(kRequest, 2);
    CHECK_FALSE(fixture.here.isQuarantined(kRequest));
    fixture.here.recordCrash(kRequest, 3);
    CHECK(fixture.here.isQuarantined(kRequest));
    CHECK_FALSE(fixture.here.isQuarantined(kRequest + 1));
    fixture.time += Duration { 61'000 };
    CHECK_FALSE(fixture.here.isQuarantined(kRequest));
    fixture.here.removeExpired();
    CHECK(fixture.here.isEmpty());
}

TEST_CASE("CrashQuarantine clears a request that was answered", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (std::uint32_t endpoint = 1; endpoint <= 2; ++endpoint)
        fixture.here.recordCrash(kRequest, endpoint);
    fixture.here.clear(kRequest);
    fixture.here.recordCrash(kRequest, 3);
    CHECK_FALSE(fixture.here.isQuarantined(kRequest));
}

TEST_CASE("CrashQuarantine combines the crashes of several hosts and passes each on once", "[gateway][crash]")
{
    QuarantineFixture fixture;
    fixture.here.recordCrash(kRequest, 1);
    fixture.here.recordCrash(kRequest, 2);
    fixture.there.recordCrash(kRequest, 3);
    CHECK(fixture.there.merge(fixture.crashesOf(fixture.here)).size() == 2);
    CHECK(fixture.there.merge(fixture.crashesOf(fixture.here)).empty());
    CHECK(fixture.there.isQuarantined(kRequest));
    CHECK_FALSE(fixture.here.isQuarantined(kRequest));
}

TEST_CASE("Gateway refuses a request that crashes endpoints, however often it is retried", "[gateway][crash]")
{
    for (const std::string path : { "/order/7", "/status/7" }) {
        CrashBench bench;
        // Three executions reach the threshold; a retry that is already under way may add a fourth.
        CHECK(bench.countExecutions(8, path) <= 4);
        const auto refused = bench.sendAndWait("last", path);
        REQUIRE(refused->outcome);
        CHECK(refused->outcome->reason == Refusal::Quarantined);
        CHECK(refused->outcome->execution == Execution::NotRun);
        // Other requests are not affected.
        for (auto& [id, manner] : bench.behaviors)
            manner = EndpointBehavior::Answer;
        bench.advance(Duration { 7000 });
        const auto other = bench.sendAndWait("other", "/order/8");
        REQUIRE(other->outcome);
        CHECK(other->outcome->isComplete());
    }
}

TEST_CASE(
    "Gateway does not quarantine a request that breaks occasionally and is answered in between", "[gateway][crash]")
{
    CrashBench bench;
    for (int round = 0; round < 6; ++round) {
        for (auto& [id, manner] : bench.behaviors)
            manner = round % 2 == 0 ? EndpointBehavior::Break : EndpointBehavior::Answer;
        static_cast<void>(bench.sendAndWait("order" + std::to_string(round), "/order/7"));
        bench.advance(Duration { 8000 });
    }
    const auto answer = bench.sendAndWait("last", "/order/7");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->reason != Refusal::Quarantined);
}
