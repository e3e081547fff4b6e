#include "soak/promises.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

const TimePoint kStart { Duration { 100'000 } };
constexpr Duration kSecond { 1000 };

/** Record of one correctly answered request; each test introduces a single defect. */
class SoundRecord : public SoakRecord {
public:
    SoundRecord()
    {
        this->workspaceOfKey = { { "shop-key", "shop" } };
        auto& request = this->attempts.emplace_back();
        request.id = "c1-1";
        request.kind = SoakRequestKind::Order;
        request.host = "knox-a-1";
        request.key = "shop-key";
        request.sentAt = kStart;
        request.timeout = 4 * kSecond;
        request.endedAt = kStart + Duration { 40 };
        request.status = 200;
        request.isComplete = true;
        request.isSigned = true;
        this->addRun(Duration { 5 });
    }

    SoakRun& addRun(Duration after)
    {
        auto& run = this->runs.emplace_back();
        run.attemptId = "c1-1";
        run.endpoint = "i-1";
        run.arrivedAt = kStart + after;
        run.hasRun = true;
        run.workspace = "shop";
        return run;
    }

    SoakAttempt& request() { return this->attempts.front(); }
};

bool breaks(const std::vector<BrokenPromise>& broken, const std::string& promise)
{
    return std::any_of(
        broken.begin(), broken.end(), [&promise](const BrokenPromise& each) { return each.promise == promise; });
}

bool breaksSafety(const SoakRecord& record, const std::string& promise)
{
    return breaks(checkSafety(record, {}), promise);
}

bool breaksTiming(const SoakRecord& record, const std::string& promise)
{
    return breaks(checkTiming(record, {}), promise);
}

} // namespace

TEST_CASE("A sound record violates no guarantee", "[soak]")
{
    const SoundRecord record;
    CHECK(checkSafety(record, {}).empty());
    CHECK(checkTiming(record, {}).empty());
}

TEST_CASE("The soak checks report answers that differ from the endpoint's", "[soak]")
{
    SoundRecord changed;
    changed.request().isIntact = false;
    CHECK(breaksSafety(changed, "whole answer"));
    SoundRecord unsignedAnswer;
    unsignedAnswer.request().isSigned = false;
    CHECK(breaksSafety(unsignedAnswer, "whole answer"));
    SoundRecord crossed;
    crossed.request().hasMatchingId = false;
    CHECK(breaksSafety(crossed, "own answer"));
    // A truncated stream is no success and is not reported as long as the bytes received match the endpoint's.
    SoundRecord broken;
    broken.request().isComplete = false;
    CHECK_FALSE(breaksSafety(broken, "whole answer"));
}

TEST_CASE("The soak checks report requests that ran too often", "[soak]")
{
    SoundRecord order;
    order.addRun(Duration { 20 });
    CHECK(breaksSafety(order, "at most once"));
    SoundRecord lookup;
    lookup.request().kind = SoakRequestKind::Lookup;
    lookup.addRun(Duration { 20 });
    CHECK(checkSafety(lookup, {}).empty());
    lookup.addRun(Duration { 30 });
    CHECK(breaksSafety(lookup, "attempts"));
    // A run that an endpoint crash interrupted does not count towards the limit of attempts.
    lookup.runs.back().isDisturbed = true;
    CHECK_FALSE(breaksSafety(lookup, "attempts"));
}

TEST_CASE("The soak checks report refusals of requests that ran", "[soak]")
{
    const auto status = GENERATE(408U, 421U, 429U, 503U);
    SoundRecord record;
    record.request().status = status;
    CHECK(breaksSafety(record, "a refusal is true"));
    record.runs.front().hasRun = false;
    CHECK_FALSE(breaksSafety(record, "a refusal is true"));
}

TEST_CASE("The soak checks report requests that were modified or run for another workspace", "[soak]")
{
    SoundRecord changed;
    changed.runs.front().requestDefect = "it has another body";
    CHECK(breaksSafety(changed, "unchanged request"));
    SoundRecord unknown;
    unknown.runs.front().attemptId = "c9-9";
    CHECK(breaksSafety(unknown, "unchanged request"));
    SoundRecord other;
    other.runs.front().workspace = "yard";
    CHECK(breaksSafety(other, "own workspace"));
}

TEST_CASE("The soak checks report processes that exit unexpectedly or fail to stop", "[soak]")
{
    SoundRecord crashed;
    crashed.unexpectedExits.emplace_back("knox-a-1");
    CHECK(breaksSafety(crashed, "processes go on"));
    SoundRecord failed;
    failed.stops.push_back({ "knox-a-1", kStart, kStart + kSecond, 1 });
    CHECK(breaksSafety(failed, "graceful stop"));
    SoundRecord late;
    late.stops.push_back({ "knox-a-2", kStart, kStart + 9 * kSecond });
    CHECK(breaksTiming(late, "graceful stop"));
}

TEST_CASE("The soak checks report requests that a planned stop interrupted", "[soak]")
{
    SoundRecord record;
    record.request().isComplete = false;
    record.request().endedAt = kStart + 2 * kSecond;
    const auto signalled = kStart + kSecond;
    record.stops.push_back({ "knox-a-1", signalled, signalled + 3 * kSecond });
    record.disturbances.push_back({ "knox-a-1", { signalled, signalled + 4 * kSecond } });
    CHECK(breaksTiming(record, "graceful stop"));
    // A kill during the stop excuses the host, even without a separate disturbance.
    record.stops.front().isKilled = true;
    CHECK_FALSE(breaksTiming(record, "graceful stop"));
    record.stops.front().isKilled = false;
    record.disturbances.push_back({ "knox-a-1", { signalled + kSecond, signalled + 4 * kSecond } });
    CHECK_FALSE(breaksTiming(record, "graceful stop"));
}

TEST_CASE("The soak checks report keys that stay valid too long, at any host", "[soak]")
{
    SoundRecord record;
    record.disturbances.push_back({ "", {} });
    record.keys["shop-key"] = { "shop-key", kStart - 60 * kSecond, kStart - 6 * kSecond };
    CHECK(breaksTiming(record, "revoked keys"));
    record.keys["shop-key"].revertedAt = kStart - 4 * kSecond;
    CHECK_FALSE(breaksTiming(record, "revoked keys"));
}

TEST_CASE("The soak checks report plans that are not in force at undisturbed hosts", "[soak]")
{
    SoundRecord record;
    const auto status = GENERATE(401U, 404U);
    record.request().status = status;
    record.request().routePlanVersion = 7;
    record.routes[7] = { "7", kStart - 3 * kSecond };
    record.keys["shop-key"] = { "shop-key", kStart - 3 * kSecond };
    CHECK(breaksTiming(record, "plan in force"));
    // A host that was cut off from the store, or has had too little time, may lack the change.
    record.disturbances.push_back({ "", { kStart - 4 * kSecond, kStart - 2 * kSecond } });
    CHECK_FALSE(breaksTiming(record, "plan in force"));
    record.disturbances.clear();
    record.routes[7].acknowledgedAt = kStart - kSecond;
    record.keys["shop-key"].acknowledgedAt = kStart - kSecond;
    CHECK_FALSE(breaksTiming(record, "plan in force"));
}

TEST_CASE("The soak checks report requests to endpoints and domains that were removed", "[soak]")
{
    SoundRecord leaving;
    leaving.drainingEndpoints.push_back({ "i-1", kStart - 3 * kSecond });
    CHECK(breaksTiming(leaving, "endpoints that leave"));
    leaving.drainingEndpoints.front().acknowledgedAt = kStart - kSecond;
    CHECK_FALSE(breaksTiming(leaving, "endpoints that leave"));
    SoundRecord withdrawn;
    withdrawn.domainOfEndpoint["i-1"] = "knox-b";
    withdrawn.withdrawnDomains.push_back({ "knox-b", kStart - 6 * kSecond });
    CHECK(breaksTiming(withdrawn, "withdrawn domains"));
    withdrawn.withdrawnDomains.front().revertedAt = kStart - kSecond;
    CHECK_FALSE(breaksTiming(withdrawn, "withdrawn domains"));
}

TEST_CASE("The soak checks report too many requests at a cold endpoint", "[soak]")
{
    SoundRecord record;
    record.coldEndpoints["i-1"] = { kStart, kStart + 3 * kSecond };
    for (int run = 0; run < 14; ++run)
        record.addRun(Duration { 50 * run });
    // Allowed within one second: 6 * 1.5 + 5 = 14 requests, including the run of the sound record.
    CHECK(breaksTiming(record, "cold endpoints"));
    record.runs.pop_back();
    CHECK_FALSE(breaksTiming(record, "cold endpoints"));
}

TEST_CASE("The soak checks report overdue requests and work for disconnected callers", "[soak]")
{
    SoundRecord endless;
    endless.request().endedAt = kStart + 5 * kSecond;
    CHECK(breaksTiming(endless, "an end in time"));
    SoundRecord gone;
    gone.request().disconnectedAt = kStart;
    for (int run = 0; run < 4; ++run)
        gone.addRun(kSecond);
    CHECK(breaksTiming(gone, "no work for callers that left"));
}

TEST_CASE("The soak checks report requests that go on at two endpoints", "[soak]")
{
    SoundRecord record;
    record.request().kind = SoakRequestKind::ResumableStream;
    record.runs.front().endedAt = kStart + Duration { 501 };
    auto& next = record.addRun(Duration { 100 });
    next.endpoint = "i-2";
    next.endedAt = kStart + kSecond;
    CHECK(breaksTiming(record, "one endpoint at a time"));
    record.runs.front().endedAt = kStart + Duration { 500 };
    CHECK_FALSE(breaksTiming(record, "one endpoint at a time"));
    // A host that cannot reach the first endpoint cannot end its work either.
    record.runs.front().endedAt.reset();
    CHECK(breaksTiming(record, "one endpoint at a time"));
    record.runs.front().isDisturbed = true;
    CHECK_FALSE(breaksTiming(record, "one endpoint at a time"));
    record.runs.front().isDisturbed = false;
    record.disturbances.push_back({ "knox-a-1", { kStart, kStart + kSecond } });
    CHECK_FALSE(breaksTiming(record, "one endpoint at a time"));
}

TEST_CASE("The soak checks report work that goes on for disconnected callers", "[soak]")
{
    SoundRecord record;
    record.request().kind = SoakRequestKind::Stream;
    record.request().disconnectedAt = kStart + Duration { 10 };
    record.runs.front().endedAt = kStart + Duration { 511 };
    CHECK(breaksTiming(record, "no work goes on for callers that left"));
    record.runs.front().endedAt = kStart + Duration { 510 };
    CHECK_FALSE(breaksTiming(record, "no work goes on for callers that left"));
    // Orders run to their end.
    record.runs.front().endedAt.reset();
    record.request().kind = SoakRequestKind::Order;
    CHECK_FALSE(breaksTiming(record, "no work goes on for callers that left"));
}

TEST_CASE("The soak checks report requests that fail after recovery", "[soak]")
{
    SoundRecord record;
    record.recoveryEndsAt = kStart;
    CHECK(checkTiming(record, {}).empty());
    record.request().status = 503;
    CHECK(breaksTiming(record, "service after faults"));
}
