#include "support/stream_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("StreamVersionIndex finds the version of a stream that another host began", "[gateway][streams]")
{
    const auto stream = GENERATE(range(1, 20));
    StreamFleet fleet;
    const auto id = static_cast<std::uint64_t>(stream);
    fleet.begin(fleet.host("a-1"), id);
    for (auto& [name, host] : fleet.hosts) {
        const auto answer = fleet.lookUp(*host, id);
        fleet.advance(Duration { 5 });
        CHECK(answer->isDone);
        CHECK(answer->version == kVersion);
    }
}

TEST_CASE("StreamVersionIndex keeps working after the host that began a stream is lost", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& origin = *fleet.othersFor(kStream)[0];
    auto& asking = *fleet.othersFor(kStream)[1];
    fleet.begin(origin, kStream);
    origin.isCutOff = true;
    const bool isKeeperLost = GENERATE(false, true);
    fleet.keepersOf(kStream)[0]->isCutOff = isKeeperLost;
    const auto answer = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 5 });
    CHECK(answer->isDone);
    CHECK(answer->version == kVersion);
}

TEST_CASE("StreamVersionIndex keeps what it has learned and does not report it", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& asking = *fleet.othersFor(kStream)[1];
    fleet.begin(*fleet.othersFor(kStream)[0], kStream);
    const auto answer = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 5 });
    CHECK(asking.index->find(kStream) == kVersion);
    fleet.sentCount = 0;
    fleet.reportAll();
    const auto second = fleet.lookUp(asking, kStream);
    CHECK(second->isDone);
    CHECK(second->version == kVersion);
    CHECK(fleet.sentCount == 0);
}

TEST_CASE("StreamVersionIndex does not report what it has learned when the roster changes", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& asking = fleet.host("ccc-1");
    int learned = 0;
    for (std::uint64_t stream = 1; stream <= 100; ++stream) {
        const auto others = fleet.othersFor(stream);
        if (std::find(others.begin(), others.end(), &asking) == others.end())
            continue;
        fleet.begin(fleet.host("a-1"), stream);
        static_cast<void>(fleet.lookUp(asking, stream));
        fleet.advance(Duration { 5 });
        learned += static_cast<int>(asking.index->find(stream) == kVersion);
    }
    CHECK(learned > 50);
    fleet.start(makeEntry("dddd", 1));
    for (auto& [name, host] : fleet.hosts)
        fleet.listHosts(*host);
    fleet.sentCount = 0;
    asking.index->report(true);
    CHECK(fleet.sentCount == 0);
    fleet.host("a-1").index->report(true);
    CHECK(fleet.sentCount > 0);
}

TEST_CASE("StreamVersionIndex sends nothing until several versions are in service", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& origin = *fleet.othersFor(kStream)[0];
    auto& asking = *fleet.othersFor(kStream)[1];
    origin.index->record(kStream, { kVersion, fleet.time + kTtl });
    origin.index->record(kStream + 1, { kVersion, fleet.time + Duration { 500 } });
    for (int round = 0; round < 10; ++round) {
        origin.index->report(false);
        fleet.advance(kReportInterval);
    }
    CHECK(fleet.sentCount == 0);
    origin.index->report(true);
    fleet.advance(Duration { 5 });
    CHECK(fleet.sentCount == 2);
    const auto open = fleet.lookUp(asking, kStream);
    const auto ended = fleet.lookUp(asking, kStream + 1);
    fleet.advance(Duration { 5 });
    CHECK(open->version == kVersion);
    CHECK(ended->isDone);
    CHECK(ended->version == std::nullopt);
    fleet.sentCount = 0;
    origin.index->report(true);
    CHECK(fleet.sentCount == 0);
}

TEST_CASE("StreamVersionIndex hears only keepers that have kept streams for a stream's lifetime", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& asking = *fleet.othersFor(kStream)[0];
    fleet.advance(kTtl);
    for (auto* keeper : fleet.keepersOf(kStream))
        fleet.startIndex(*keeper);
    fleet.advance(kTtl - Duration { 1000 });
    const auto early = fleet.lookUp(asking, kStream, kTtl);
    fleet.advance(Duration { 5 });
    CHECK(early->isDone);
    CHECK_FALSE(early->isHeard);
    fleet.advance(Duration { 1000 });
    const auto late = fleet.lookUp(asking, kStream, kTtl);
    fleet.advance(Duration { 5 });
    CHECK(late->isHeard);
}

TEST_CASE("StreamVersionIndex ends a look-up as unknown once all keepers do not know the stream", "[gateway][streams]")
{
    StreamFleet fleet;
    const auto startedAt = fleet.time;
    const auto answer = fleet.lookUp(*fleet.othersFor(kStream)[0], kStream);
    CHECK_FALSE(answer->isDone);
    fleet.advance(Duration { 5 });
    CHECK(answer->isDone);
    CHECK(answer->version == std::nullopt);
    CHECK(answer->endedAt == startedAt + Duration { 2 });
    CHECK(fleet.sentCount == 4);
}

TEST_CASE("StreamVersionIndex ends a look-up as unknown after its timeout if hosts do not answer", "[gateway][streams]")
{
    // Hosts of an earlier version ignore queries.
    StreamFleet fleet;
    const auto silentCount = GENERATE(1U, 2U);
    for (std::size_t index = 0; index < silentCount; ++index)
        fleet.keepersOf(kStream)[index]->isCutOff = true;
    const auto startedAt = fleet.time;
    const auto answer = fleet.lookUp(*fleet.othersFor(kStream)[0], kStream);
    fleet.advance(kLookUpTimeout - Duration { 1 });
    CHECK_FALSE(answer->isDone);
    fleet.advance(Duration { 1 });
    CHECK(answer->isDone);
    CHECK(answer->version == std::nullopt);
    CHECK(answer->endedAt == startedAt + kLookUpTimeout);
    CHECK(fleet.sentCount <= 12);
}

TEST_CASE("StreamVersionIndex asks hosts again whose query or answer was lost", "[gateway][streams]")
{
    StreamFleet fleet;
    fleet.begin(*fleet.othersFor(kStream)[0], kStream);
    const bool isQueryLost = GENERATE(false, true);
    int lost = 0;
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        if (lost < 2 && (datagram.message.stream_queries_size() > 0) == isQueryLost) {
            ++lost;
            return std::vector<Duration> {};
        }
        return std::vector<Duration> { Duration { 1 } };
    };
    const auto startedAt = fleet.time;
    const auto answer = fleet.lookUp(*fleet.othersFor(kStream)[1], kStream);
    fleet.advance(kLookUpTimeout);
    CHECK(lost == 2);
    CHECK(answer->version == kVersion);
    CHECK(answer->endedAt == startedAt + kAnswerTimeout + Duration { 2 });
}

TEST_CASE("StreamVersionIndex does not ask hosts again that have answered", "[gateway][streams]")
{
    StreamFleet fleet;
    const auto silent = fleet.keepersOf(kStream)[0]->entry.name;
    std::map<std::string, int> queries;
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        queries[datagram.recipient] += datagram.message.stream_queries_size();
        return datagram.recipient == silent ? std::vector<Duration> {} : std::vector<Duration> { Duration { 1 } };
    };
    const auto answer = fleet.lookUp(*fleet.othersFor(kStream)[0], kStream);
    fleet.advance(kLookUpTimeout);
    CHECK(answer->isDone);
    CHECK(queries[silent] > 1);
    CHECK(queries[fleet.keepersOf(kStream)[1]->entry.name] == 1);
}

TEST_CASE("StreamVersionIndex waits for the second keeper if the first one returned empty", "[gateway][streams]")
{
    StreamFleet fleet;
    fleet.begin(*fleet.othersFor(kStream)[0], kStream);
    auto& empty = *fleet.keepersOf(kStream)[0];
    fleet.startIndex(empty);
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        const bool isSlow = datagram.sender.name != empty.entry.name && datagram.message.has_stream_report();
        return std::vector<Duration> { isSlow ? Duration { 90 } : Duration { 1 } };
    };
    const auto answer = fleet.lookUp(*fleet.othersFor(kStream)[1], kStream);
    fleet.advance(Duration { 50 });
    CHECK_FALSE(answer->isDone);
    fleet.advance(Duration { 50 });
    CHECK(answer->version == kVersion);
    // The empty host finds it like any other.
    const auto own = fleet.lookUp(empty, kStream);
    fleet.advance(kLookUpTimeout);
    CHECK(own->version == kVersion);
}

TEST_CASE("StreamVersionIndex does not wait if there is no other keeper", "[gateway][streams]")
{
    StreamFleet fleet { { "a" }, 1 };
    const auto alone = fleet.lookUp(fleet.host("a-1"), kStream);
    CHECK(alone->isDone);
    CHECK(alone->version == std::nullopt);
    fleet.host("a-1").index->record(kStream, { kVersion, fleet.time + kTtl });
    fleet.reportAll();
    CHECK(fleet.host("a-1").index->find(kStream) == kVersion);
    CHECK(fleet.sentCount == 0);
}

TEST_CASE("StreamVersionIndex answers all look-ups of a stream that wait at once", "[gateway][streams]")
{
    StreamFleet fleet;
    fleet.begin(*fleet.othersFor(kStream)[0], kStream);
    auto& asking = *fleet.othersFor(kStream)[1];
    std::vector<std::shared_ptr<StreamFleet::Answer>> answers(3);
    for (auto& answer : answers)
        answer = fleet.lookUp(asking, kStream);
    const auto unknown = fleet.lookUp(asking, kStream + 1);
    const auto recorded = fleet.lookUp(asking, kStream + 2);
    asking.index->record(kStream + 2, { kOtherVersion, fleet.time + kTtl });
    fleet.advance(Duration { 5 });
    for (const auto& answer : answers)
        CHECK(answer->version == kVersion);
    CHECK(unknown->isDone);
    CHECK(unknown->version == std::nullopt);
    CHECK(recorded->version == kOtherVersion);
}

TEST_CASE("StreamVersionIndex cannot tell the version of a stream that is recorded with two", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& origin = *fleet.othersFor(kStream)[0];
    auto& other = *fleet.othersFor(kStream)[1];
    auto& asking = *fleet.othersFor(kStream)[2];
    fleet.begin(origin, kStream);
    const bool isOnOneHost = GENERATE(false, true);
    auto& contradicting = isOnOneHost ? origin : other;
    fleet.begin(contradicting, kStream, kOtherVersion);
    const auto answer = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 5 });
    CHECK(answer->version == 0U);
    // It stays so, whatever is recorded later.
    fleet.begin(contradicting, kStream, kVersion);
    for (auto* keeper : fleet.keepersOf(kStream))
        CHECK(keeper->index->find(kStream) == 0U);
    CHECK(asking.index->find(kStream) == 0U);
}

TEST_CASE("StreamVersionIndex cannot tell the version if its keepers contradict each other", "[gateway][streams]")
{
    StreamFleet fleet;
    const auto keepers = fleet.keepersOf(kStream);
    auto& asking = *fleet.othersFor(kStream)[0];
    keepers[0]->index->receive(asking.entry, makeReport(kStream, kVersion, 10'000));
    keepers[1]->index->receive(asking.entry, makeReport(kStream, kOtherVersion, 10'000));
    const auto answer = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 5 });
    CHECK(answer->isDone);
    CHECK(answer->version == 0U);
}
