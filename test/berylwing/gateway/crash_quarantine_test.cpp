#include "berylwing/gateway/crash_quarantine.hpp"

#include "support/gateway_harness.hpp"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Quarantine of one host with its log. */
struct QuarantineHost {
    explicit QuarantineHost(const Clock& clock, bool isTrialHost = false)
        : log { clock, [](std::string_view lines) { return lines.size(); }, "" }
        , quarantine { clock, this->log, [isTrialHost](std::uint64_t) { return isTrialHost; } }
    {
    }

    DecisionLog log;
    CrashQuarantine quarantine;
};

constexpr CrashSuspect kFirstSegment { 1, 0 };
constexpr CrashSuspect kSecondSegment { 2, 1 };
constexpr CrashSuspect kRequest { 7, kWholeRequest };

/** Quarantines of hosts that exchange reports. */
class QuarantineFixture {
public:
    /** Advances the clock and updates the hosts as their maintenance does. */
    void advance(Duration length)
    {
        constexpr Duration kMaintenanceInterval { 100 };
        for (const auto until = this->time + length; this->time < until;) {
            this->time += std::min(kMaintenanceInterval, until - this->time);
            for (auto* host : { &this->here, &this->there, &this->started })
                host->quarantine.update();
        }
    }

    /** Crashes an endpoint during requests of a host, some time after the last crash. */
    void crash(QuarantineHost& host, const std::vector<CrashSuspect>& suspects)
    {
        host.quarantine.recordCrash(suspects, ++this->crashes);
        this->advance(kCrashInterval);
    }

    /** Sends the report of one host to another. */
    static void report(
        QuarantineHost& from, QuarantineHost& to, CrashQuarantine::Scope scope = CrashQuarantine::Scope::Own)
    {
        wire::CrashReport report;
        from.quarantine.appendTo(report, scope);
        to.quarantine.merge(report, "other");
    }

    /** Lets two hosts report to each other for some time, in messages that take long. */
    void exchangeLateReports(Duration length)
    {
        constexpr Duration kMinTransit { 100 };
        int messages = 0;
        for (const auto until = this->time + length; this->time < until;) {
            for (const bool isReply : { false, true }) {
                wire::CrashReport report;
                (isReply ? this->there : this->here).quarantine.appendTo(report, CrashQuarantine::Scope::All);
                this->advance(kMinTransit * (1 + ++messages % 4));
                (isReply ? this->here : this->there).quarantine.merge(report, "other");
            }
        }
    }

    [[nodiscard]] bool isRefused(QuarantineHost& host, const CrashSuspect& suspect)
    {
        this->advance(kDecisionTime);
        return host.quarantine.findRefusal({ suspect }).has_value();
    }

    static constexpr Duration kCrashInterval { 500 };
    static constexpr Duration kDecisionTime { 400 };
    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    QuarantineHost here { this->clock, true };
    QuarantineHost there { this->clock };
    /** Host that has just started. */
    QuarantineHost started { this->clock };
    std::uint32_t crashes = 0;
};

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
    CHECK(fixture.here.quarantine.isEmpty());
    fixture.crash(fixture.here, { kRequest });
    fixture.crash(fixture.here, { kRequest });
    fixture.here.quarantine.recordCrash({ kRequest }, fixture.crashes);
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
    fixture.crash(fixture.here, { kRequest });
    CHECK(fixture.isRefused(fixture.here, kRequest));
    CHECK_FALSE(fixture.isRefused(fixture.here, { kRequest.subject + 1, kWholeRequest }));
}

TEST_CASE("CrashQuarantine forgets a cause that is not sent any more", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash(fixture.there, { kRequest });
    CHECK(fixture.isRefused(fixture.there, kRequest));
    fixture.advance(std::chrono::hours { 2 });
    CHECK_FALSE(fixture.isRefused(fixture.there, kRequest));
    CHECK(fixture.there.quarantine.isEmpty());
}

TEST_CASE("CrashQuarantine clears a request that was answered", "[gateway][crash]")
{
    QuarantineFixture fixture;
    fixture.crash(fixture.here, { kRequest });
    fixture.crash(fixture.here, { kRequest });
    fixture.here.quarantine.recordAnswer({ kRequest });
    fixture.crash(fixture.here, { kRequest });
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
}

TEST_CASE("CrashQuarantine counts crashes at the same moment once", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (std::uint32_t endpoint = 1; endpoint <= 9; ++endpoint)
        fixture.here.quarantine.recordCrash({ kFirstSegment }, endpoint);
    CHECK_FALSE(fixture.isRefused(fixture.here, kFirstSegment));
}

TEST_CASE("CrashQuarantine blames the most specific segment that explains the crashes", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (std::uint64_t request = 10; request < 13; ++request)
        fixture.crash(fixture.here, { kFirstSegment, kSecondSegment, { request, kWholeRequest } });
    CHECK(fixture.isRefused(fixture.here, kSecondSegment));
    CHECK_FALSE(fixture.isRefused(fixture.here, kFirstSegment));
    // Requests with other second segments crash endpoints too, so that the first one is to blame.
    for (std::uint64_t request = 20; request < 22; ++request)
        fixture.crash(fixture.here, { kFirstSegment, { request, 1 }, { request + 100, kWholeRequest } });
    CHECK(fixture.isRefused(fixture.here, kFirstSegment));
}

TEST_CASE("CrashQuarantine blames a segment although its requests are retried", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (std::uint64_t request = 10; request < 13; ++request) {
        fixture.crash(fixture.here, { kSecondSegment, { request, kWholeRequest } });
        fixture.crash(fixture.here, { kSecondSegment, { request, kWholeRequest } });
    }
    CHECK(fixture.isRefused(fixture.here, kSecondSegment));
}

TEST_CASE("CrashQuarantine does not blame a segment for crashes that another one explains", "[gateway][crash]")
{
    QuarantineFixture fixture;
    constexpr CrashSuspect kSound { 3, 1 };
    for (std::uint32_t count = 0; count < 4; ++count) {
        // Both break in the same crashes, but for the first one.
        if (count > 0)
            fixture.here.quarantine.recordCrash({ kSound }, fixture.crashes + 1);
        fixture.crash(fixture.here, { kSecondSegment });
    }
    CHECK(fixture.isRefused(fixture.here, kSecondSegment));
    CHECK_FALSE(fixture.isRefused(fixture.here, kSound));
}

TEST_CASE("CrashQuarantine does not blame a segment that broke once with each of several causes", "[gateway][crash]")
{
    QuarantineFixture fixture;
    constexpr CrashSuspect kSound { 3, 1 };
    for (int round = 0; round < 2; ++round) {
        for (std::uint64_t cause = 10; cause < 13; ++cause) {
            if (round > 0)
                fixture.here.quarantine.recordCrash({ kSound }, fixture.crashes + 1);
            fixture.crash(fixture.here, { { cause + 100, 1 }, { cause, 2 } });
        }
    }
    CHECK_FALSE(fixture.isRefused(fixture.here, kSound));
}

TEST_CASE("A cause is tried again in time although hosts repeat it in late messages", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash(fixture.here, { kRequest });
    CHECK(fixture.isRefused(fixture.here, kRequest));
    fixture.exchangeLateReports(std::chrono::minutes { 11 });
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
}

TEST_CASE("An answer from before the crashes does not end a quarantine although hosts repeat it", "[gateway][crash]")
{
    QuarantineFixture fixture;
    fixture.crash(fixture.here, { kRequest });
    fixture.here.quarantine.recordAnswer({ kRequest });
    for (int count = 0; count < 4; ++count)
        fixture.crash(fixture.here, { kRequest });
    CHECK(fixture.isRefused(fixture.here, kRequest));
    fixture.exchangeLateReports(std::chrono::minutes { 1 });
    CHECK(fixture.isRefused(fixture.here, kRequest));
    CHECK(fixture.isRefused(fixture.there, kRequest));
}

TEST_CASE("All hosts lift a quarantine although the first answer came right after the last crash", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash(fixture.here, { kRequest });
    fixture.report(fixture.here, fixture.there);
    CHECK(fixture.isRefused(fixture.here, kRequest));
    CHECK(fixture.isRefused(fixture.there, kRequest));
    fixture.here.quarantine.recordAnswer({ kRequest });
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
    fixture.advance(Duration { 1000 });
    fixture.here.quarantine.recordAnswer({ kRequest });
    fixture.report(fixture.there, fixture.here);
    fixture.report(fixture.here, fixture.there);
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
    CHECK_FALSE(fixture.isRefused(fixture.there, kRequest));
}

TEST_CASE("CrashQuarantine combines the crashes of several hosts", "[gateway][crash]")
{
    QuarantineFixture fixture;
    fixture.crash(fixture.here, { kRequest });
    fixture.crash(fixture.here, { kRequest });
    fixture.crash(fixture.there, { kRequest });
    fixture.report(fixture.here, fixture.there);
    fixture.report(fixture.here, fixture.there);
    CHECK(fixture.isRefused(fixture.there, kRequest));
    CHECK_FALSE(fixture.isRefused(fixture.here, kRequest));
}

TEST_CASE("Hosts that start later learn of causes and of repeated crashes", "[gateway][crash]")
{
    QuarantineFixture fixture;
    fixture.crash(fixture.here, { kRequest });
    fixture.crash(fixture.here, { kRequest });
    fixture.advance(std::chrono::minutes { 1 });
    fixture.report(fixture.here, fixture.there);
    fixture.crash(fixture.there, { kRequest });
    CHECK(fixture.isRefused(fixture.there, kRequest));
    fixture.advance(std::chrono::minutes { 1 });
    fixture.report(fixture.there, fixture.started);
    CHECK(fixture.isRefused(fixture.started, kRequest));
}

TEST_CASE("One host tries a cause after a while, and its answer ends the quarantine everywhere", "[gateway][crash]")
{
    QuarantineFixture fixture;
    for (int count = 0; count < 3; ++count)
        fixture.crash(fixture.here, { kSecondSegment });
    fixture.report(fixture.here, fixture.there);
    fixture.report(fixture.here, fixture.started);
    CHECK(fixture.isRefused(fixture.there, kSecondSegment));
    fixture.advance(std::chrono::minutes { 11 });
    CHECK(fixture.isRefused(fixture.there, kSecondSegment));
    CHECK_FALSE(fixture.isRefused(fixture.here, kSecondSegment));
    // Only one request is sent until the result of the trial is known.
    CHECK(fixture.isRefused(fixture.here, kSecondSegment));
    SECTION("An answer")
    {
        fixture.here.quarantine.recordAnswer({ kSecondSegment });
        fixture.report(fixture.here, fixture.there);
        CHECK_FALSE(fixture.isRefused(fixture.there, kSecondSegment));
        // A host that has missed the answer brings the cause up again.
        fixture.advance(Duration { 10'000 });
        fixture.report(fixture.started, fixture.there);
        CHECK_FALSE(fixture.isRefused(fixture.there, kSecondSegment));
        fixture.report(fixture.there, fixture.started);
        CHECK_FALSE(fixture.isRefused(fixture.started, kSecondSegment));
    }
    SECTION("A crash")
    {
        fixture.crash(fixture.here, { kSecondSegment });
        fixture.advance(std::chrono::minutes { 11 });
        CHECK(fixture.isRefused(fixture.here, kSecondSegment));
        fixture.advance(std::chrono::minutes { 10 });
        CHECK_FALSE(fixture.isRefused(fixture.here, kSecondSegment));
    }
}

TEST_CASE("Reports of crashes are bounded, and what does not fit follows", "[gateway][crash]")
{
    QuarantineFixture fixture;
    constexpr std::uint32_t kCrashes = 300;
    for (std::uint32_t crash = 1; crash <= kCrashes; ++crash)
        fixture.here.quarantine.recordCrash({ { crash, kWholeRequest } }, crash);
    constexpr std::size_t kMaxReportBytes = 800;
    std::set<std::uint64_t> reported;
    for (int message = 0; message < 12; ++message) {
        fixture.advance(Duration { 200 });
        wire::CrashReport report;
        fixture.here.quarantine.appendTo(report, CrashQuarantine::Scope::Own);
        CHECK(report.ByteSizeLong() <= kMaxReportBytes);
        reported.insert(report.suspects().begin(), report.suspects().end());
    }
    CHECK(reported.size() == kCrashes);
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
