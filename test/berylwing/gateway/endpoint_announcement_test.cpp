#include "berylwing/gateway/announced_stops.hpp"
#include "support/gateway_harness.hpp"
#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kPause { 5000 };
/** Time after a rejection from which on an endpoint counts the requests in its pause. */
constexpr Duration kPauseTolerance { 500 };

/** Host with two endpoints. */
class TwoEndpoints : public GatewayHarness {
public:
    TwoEndpoints()
    {
        this->putPlan(makePlan(1));
        this->putEndpoint("e1", "knox-a");
        this->putEndpoint("e2", "knox-a");
        this->advance(Duration { 500 });
    }

    /** Sends requests until one has reached an endpoint. */
    void sendUntilReceived(const std::string& endpoint)
    {
        for (int request = 0; request < 50 && this->countAt(endpoint, TimePoint::min()) == 0; ++request)
            static_cast<void>(this->sendAndWait("first-" + std::to_string(request), "/status/1"));
        REQUIRE(this->countAt(endpoint, TimePoint::min()) > 0);
    }

    /** Sends requests for some time. @return Requests that were answered. */
    int sendFor(Duration length, const std::string& prefix)
    {
        int answered = 0;
        int request = 0;
        for (const auto until = this->time + length; this->time < until; ++request) {
            const auto answer = this->sendAndWait(prefix + std::to_string(request), "/status/1");
            answered += answer->outcome && answer->outcome->isComplete() ? 1 : 0;
            this->advance(Duration { 50 });
        }
        return answered;
    }

    [[nodiscard]] std::ptrdiff_t countAt(const std::string& endpoint, TimePoint since) const
    {
        return std::count_if(this->receivedRequests.begin(), this->receivedRequests.end(),
            [&](const ReceivedRequest& request) { return request.endpoint == endpoint && request.at > since; });
    }
};

/** Host that knows two processes of endpoints. */
struct DirectoryFixture {
    DirectoryFixture(const Clock& clock, std::uint64_t startOfFirst)
        : log { clock, [](std::string_view lines) { return lines.size(); }, "" }
        , directory { clock, this->log }
        , stops { clock, this->directory, this->log }
    {
        this->put("e1", startOfFirst);
        this->put("e2", 1);
    }

    void put(const std::string& id, std::uint64_t startedAt)
    {
        EndpointRecord record;
        record.id = id;
        record.service = "engines";
        record.startedAt = startedAt;
        this->directory.put(std::move(record));
    }

    [[nodiscard]] std::size_t available() const { return this->directory.availableEndpoints("engines").size(); }

    DecisionLog log;
    EndpointDirectory directory;
    AnnouncedStops stops;
};

} // namespace

TEST_CASE("An endpoint that announces its stop in an answer gets no further requests", "[gateway][announcement]")
{
    TwoEndpoints fixture;
    fixture.stoppingEndpoints.insert("e1");
    const bool isStoreDown = GENERATE(false, true);
    if (isStoreDown)
        fixture.platform.failureMode = PlatformFailureMode::Down;
    fixture.sendUntilReceived("e1");
    const auto announcedAt = fixture.time;
    // The entry in the store is older than the answer.
    fixture.putEndpoint("e1", "knox-a");
    const auto answered = fixture.sendFor(Duration { 3000 }, "later-");
    CHECK(answered > 10);
    CHECK(fixture.countAt("e1", announcedAt) == 0);
}

TEST_CASE("The next process of an endpoint that announced its stop gets requests", "[gateway][announcement]")
{
    TwoEndpoints fixture;
    fixture.stoppingEndpoints.insert("e1");
    fixture.sendUntilReceived("e1");
    fixture.remove(ObjectKind::Endpoint, "e1");
    fixture.advance(Duration { 1000 });
    // The entry of the same process does not make it available again.
    fixture.putEndpoint("e1", "knox-a");
    fixture.advance(Duration { 1000 });
    const auto announcedAt = fixture.time;
    static_cast<void>(fixture.sendFor(Duration { 1000 }, "same-"));
    CHECK(fixture.countAt("e1", announcedAt) == 0);
    fixture.stoppingEndpoints.clear();
    fixture.platform.store.write(ObjectKind::Endpoint, "e1",
        { { "service", "engines" }, { "domain", "knox-a" }, { "draining", false }, { "cold_ms", 0 },
            { "started_at", 7 } });
    fixture.advance(Duration { 1000 });
    static_cast<void>(fixture.sendFor(Duration { 3000 }, "next-"));
    CHECK(fixture.countAt("e1", announcedAt) > 0);
}

TEST_CASE("Hosts tell each other of announced stops, also those that start later", "[gateway][announcement]")
{
    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    const Clock clock { context.get_executor(), [&time] { return time; } };
    DirectoryFixture first { clock, 1 };
    DirectoryFixture second { clock, 1 };
    first.stops.recordAnswer(*first.directory.all().at("e1"));
    // The first two messages are lost.
    for (int message = 0; message < 3; ++message) {
        wire::StopReport report;
        first.stops.appendTo(report, false);
        time += Duration { 300 };
        if (message == 2)
            second.stops.merge(report, "first");
    }
    CHECK(first.available() == 1);
    CHECK(second.available() == 1);
    time += Duration { 20'000 };
    DirectoryFixture late { clock, 1 };
    DirectoryFixture restarted { clock, 2 };
    wire::StopReport report;
    second.stops.appendTo(report, true);
    late.stops.merge(report, "second");
    restarted.stops.merge(report, "second");
    CHECK(late.available() == 1);
    CHECK(restarted.available() == 2);
}

TEST_CASE("Reports of announced stops have a bounded size, and all of them are told in turn", "[gateway][announcement]")
{
    constexpr int kStops = 200;
    constexpr std::size_t kMaxReportBytes = 400;
    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    const Clock clock { context.get_executor(), [&time] { return time; } };
    DirectoryFixture host { clock, 1 };
    DirectoryFixture other { clock, 1 };
    for (int number = 0; number < kStops; ++number) {
        for (auto* fixture : { &host, &other })
            fixture->put("stopping-" + std::to_string(number), 1);
        host.stops.recordAnswer(*host.directory.all().at("stopping-" + std::to_string(number)));
    }
    for (int message = 0; message < 10; ++message) {
        wire::StopReport report;
        host.stops.appendTo(report, false);
        CHECK(report.ByteSizeLong() <= kMaxReportBytes);
        other.stops.merge(report, "host");
        time += Duration { 200 };
    }
    CHECK(other.available() == 2);
}

TEST_CASE("An endpoint that rejects a request with a pause gets none until its end", "[gateway][announcement]")
{
    TwoEndpoints fixture;
    fixture.behaviors["e1"] = EndpointBehavior::Shed;
    fixture.pauses["e1"] = kPause;
    fixture.sendUntilReceived("e1");
    const auto rejectedAt = fixture.time;
    CHECK(fixture.sendFor(kPause - kPauseTolerance, "later-") > 10);
    CHECK(fixture.countAt("e1", rejectedAt + kPauseTolerance) <= 2);
    fixture.behaviors["e1"] = EndpointBehavior::Answer;
    static_cast<void>(fixture.sendFor(Duration { 4000 }, "after-"));
    CHECK(fixture.countAt("e1", rejectedAt + kPause) > 0);
}

TEST_CASE("A later, shorter pause does not end an earlier one", "[gateway][announcement]")
{
    TwoEndpoints fixture;
    fixture.behaviors["e1"] = EndpointBehavior::Shed;
    fixture.answerTime = Duration { 100 };
    fixture.pauses["e1"] = kPause;
    // Several requests reach the endpoint before its first rejection; the last rejection names a shorter time.
    for (int request = 0; request < 20; ++request)
        static_cast<void>(fixture.sendRequest("together-" + std::to_string(request), "/status/1"));
    fixture.advance(Duration { 50 });
    for (int request = 0; request < 20; ++request)
        static_cast<void>(fixture.sendRequest("second-" + std::to_string(request), "/status/1"));
    REQUIRE(fixture.countAt("e1", TimePoint::min()) > 1);
    fixture.advance(Duration { 52 });
    fixture.pauses["e1"] = Duration { 100 };
    fixture.advance(Duration { 100 });
    const auto since = fixture.time + kPauseTolerance;
    static_cast<void>(fixture.sendFor(kPause - Duration { 1000 }, "later-"));
    CHECK(fixture.countAt("e1", since) <= 2);
}

TEST_CASE("A request is refused at once while all endpoints of its service want none", "[gateway][announcement]")
{
    TwoEndpoints fixture;
    for (const auto* endpoint : { "e1", "e2" }) {
        fixture.behaviors[endpoint] = EndpointBehavior::Shed;
        fixture.pauses[endpoint] = kPause;
    }
    fixture.sendUntilReceived("e1");
    fixture.sendUntilReceived("e2");
    const auto received = fixture.receivedRequests.size();
    fixture.advance(Duration { 1000 });
    const auto sentAt = fixture.time;
    const auto answer = fixture.sendAndWait("waiting", "/status/1");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::NotRun);
    CHECK(answer->endedAt - sentAt <= Duration { 10 });
    CHECK(fixture.receivedRequests.size() == received);
    // The shortest pause has less than four seconds left; callers return within a second after its end.
    CHECK(answer->outcome->retryAfter >= Duration { 3000 });
    CHECK(answer->outcome->retryAfter <= Duration { 5000 });
}
