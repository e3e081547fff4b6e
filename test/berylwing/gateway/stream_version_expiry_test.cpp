#include "support/stream_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("StreamVersionIndex forgets a stream when it has ended", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& origin = *fleet.othersFor(kStream)[0];
    auto& asking = *fleet.othersFor(kStream)[1];
    fleet.begin(origin, kStream);
    const auto early = fleet.lookUp(asking, kStream);
    const bool isRemoved = GENERATE(false, true);
    fleet.advance(kTtl - Duration { 10 });
    CHECK(early->version == kVersion);
    CHECK(asking.index->find(kStream) == kVersion);
    CHECK(origin.index->find(kStream) == kVersion);
    fleet.advance(Duration { 20 });
    for (auto& [name, host] : fleet.hosts) {
        if (isRemoved)
            host->index->removeExpired();
        CHECK(host->index->find(kStream) == std::nullopt);
    }
    const auto late = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 5 });
    CHECK(late->isDone);
    CHECK(late->version == std::nullopt);
    // An id that is used again is another stream.
    fleet.begin(origin, kStream, kOtherVersion);
    CHECK(fleet.keepersOf(kStream)[0]->index->find(kStream) == kOtherVersion);
}

TEST_CASE("StreamVersionIndex reports a stream again if it can be open for longer", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& origin = *fleet.othersFor(kStream)[0];
    fleet.begin(origin, kStream);
    fleet.sentCount = 0;
    const auto end = fleet.time + kTtl;
    origin.index->record(kStream, { kVersion, end + Duration { 500 } });
    origin.index->report(true);
    CHECK(fleet.sentCount == 0);
    // Small extensions add up.
    origin.index->record(kStream, { kVersion, end + Duration { 1400 } });
    origin.index->report(true);
    CHECK(fleet.sentCount == 2);
    fleet.advance(end + Duration { 1399 } - fleet.time);
    for (auto* keeper : fleet.keepersOf(kStream))
        CHECK(keeper->index->find(kStream) == kVersion);
}

TEST_CASE("StreamVersionIndex finds a stream whose report crosses the query if one keeper has it", "[gateway][streams]")
{
    StreamFleet fleet;
    const auto keepers = fleet.keepersOf(kStream);
    auto& origin = *fleet.othersFor(kStream)[0];
    auto& asking = *fleet.othersFor(kStream)[1];
    const auto slowCount = GENERATE(0U, 1U, 2U);
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        bool isSlow = false;
        for (std::size_t index = 0; index < slowCount; ++index)
            isSlow = isSlow || datagram.recipient == keepers[index]->entry.name;
        const bool isQuery = datagram.message.stream_queries_size() > 0;
        return std::vector<Duration> { isQuery ? Duration { 2 } : Duration { isSlow ? 5 : 1 } };
    };
    origin.index->record(kStream, { kVersion, fleet.time + kTtl });
    origin.index->report(true);
    const auto answer = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 20 });
    CHECK(answer->isDone);
    CHECK(answer->version == (slowCount < 2 ? std::optional { kVersion } : std::nullopt));
    const auto second = fleet.lookUp(asking, kStream);
    fleet.advance(Duration { 20 });
    CHECK(second->version == kVersion);
}

TEST_CASE("StreamVersionIndex reports open streams to a keeper that the roster gains", "[gateway][streams]")
{
    StreamFleet fleet;
    constexpr std::uint64_t kStreams = 200;
    for (std::uint64_t stream = 1; stream <= kStreams; ++stream)
        fleet.host("a-1").index->record(stream, { kVersion, fleet.time + kTtl });
    fleet.reportAll();
    fleet.advance(Duration { 5 });
    fleet.start(makeEntry("bb", 9));
    for (auto& [name, host] : fleet.hosts)
        fleet.listHosts(*host);
    std::map<std::uint64_t, std::set<std::string>> reports;
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        for (const auto stream : datagram.message.stream_report().streams())
            reports[stream].insert(datagram.recipient);
        return std::vector<Duration> { Duration { 1 } };
    };
    fleet.reportAll();
    fleet.advance(Duration { 5 });
    std::size_t moved = 0;
    for (std::uint64_t stream = 1; stream <= kStreams; ++stream) {
        const auto keepers = fleet.keepersOf(stream);
        for (auto* keeper : keepers)
            CHECK(keeper->index->find(stream) == kVersion);
        const bool isMoved = std::any_of(
            keepers.begin(), keepers.end(), [](const auto* keeper) { return keeper->entry.name == "bb-9"; });
        moved += static_cast<std::size_t>(isMoved);
        // The keepers that stay are not told again.
        CHECK(reports[stream] == (isMoved ? std::set<std::string> { "bb-9" } : std::set<std::string> {}));
    }
    CHECK(moved > 0);
    fleet.sentCount = 0;
    fleet.reportAll();
    CHECK(fleet.sentCount == 0);
}

TEST_CASE("StreamVersionIndex knows open streams while hosts are replaced one after the other", "[gateway][streams]")
{
    StreamFleet fleet;
    constexpr std::uint64_t kStreams = 100;
    for (std::uint64_t stream = 1; stream <= kStreams; ++stream)
        fleet.host("a-1").index->record(stream, { kVersion, fleet.time + kTtl });
    fleet.reportAll();
    fleet.advance(Duration { 5 });
    for (const auto* domain : { "a", "bb", "ccc" }) {
        for (int number = 1; number <= 3; ++number) {
            fleet.remove(makeEntry(domain, number).name);
            fleet.start(makeEntry(domain, number + 10));
            for (auto& [name, host] : fleet.hosts)
                fleet.listHosts(*host);
            fleet.reportAll();
            fleet.advance(kReportInterval);
        }
    }
    for (std::uint64_t stream = 1; stream <= kStreams; ++stream) {
        const auto answer = fleet.lookUp(fleet.host("a-11"), stream);
        fleet.advance(Duration { 5 });
        CHECK(answer->version == kVersion);
    }
}

TEST_CASE("StreamVersionIndex finds streams while the rosters of hosts differ by a host", "[gateway][streams]")
{
    StreamFleet fleet;
    // Only the host that asks knows the new one, which has just started.
    auto& late = fleet.start(makeEntry("bb", 9));
    auto& asking = fleet.host("ccc-1");
    asking.roster.put(late.entry);
    late.roster.put(asking.entry);
    for (std::uint64_t stream = 1; stream <= 100; ++stream) {
        fleet.begin(fleet.host("a-1"), stream);
        const auto answer = fleet.lookUp(asking, stream);
        fleet.advance(Duration { 5 });
        CHECK(answer->version == kVersion);
    }
}

TEST_CASE("StreamVersionIndex on a host that has just started learns of earlier streams", "[gateway][streams]")
{
    StreamFleet fleet;
    fleet.begin(fleet.host("a-1"), kStream);
    auto& late = fleet.start(makeEntry("dddd", 1));
    const auto early = fleet.lookUp(late, kStream);
    CHECK(early->isDone);
    CHECK(early->version == std::nullopt);
    for (auto& [name, host] : fleet.hosts)
        fleet.listHosts(*host);
    const auto answer = fleet.lookUp(late, kStream);
    fleet.advance(kLookUpTimeout);
    CHECK(answer->version == kVersion);
}

TEST_CASE("StreamVersionIndex drops the streams that end first when it is full", "[gateway][streams]")
{
    constexpr std::uint64_t kMaxRecords = 200'000;
    StreamFleet fleet { { "a" }, 1 };
    auto& index = *fleet.host("a-1").index;
    for (std::uint64_t stream = 1; stream <= kMaxRecords; ++stream)
        index.record(stream, { kVersion, fleet.time + kTtl + Duration { static_cast<Duration::rep>(stream) } });
    CHECK(index.find(1) == kVersion);
    index.record(kMaxRecords + 1, { kVersion, fleet.time + kTtl + Duration { 50 } });
    CHECK(index.find(1) == std::nullopt);
    CHECK(index.find(2) == kVersion);
    CHECK(index.find(kMaxRecords + 1) == kVersion);
    // A stream that ends before all others is not kept.
    index.record(kMaxRecords + 2, { kVersion, fleet.time + Duration { 1 } });
    CHECK(index.find(kMaxRecords + 2) == std::nullopt);
    CHECK(index.find(2) == kVersion);
    fleet.time += kTtl + Duration { 1000 };
    index.removeExpired();
    CHECK(index.find(1000) == std::nullopt);
    CHECK(index.find(1001) == kVersion);
}

TEST_CASE("StreamVersionIndex spreads a backlog of streams over several reports", "[gateway][streams]")
{
    StreamFleet fleet;
    constexpr std::uint64_t kStreams = 9000;
    constexpr int kReports = 5;
    auto& origin = fleet.host("a-1");
    std::size_t sentBytes = 0;
    fleet.findDelays = [&](const StreamFleet::Datagram& datagram) {
        sentBytes += datagram.message.ByteSizeLong();
        return std::vector<Duration> { Duration { 1 } };
    };
    for (std::uint64_t stream = 1; stream <= kStreams; ++stream)
        origin.index->record(stream, { kVersion, fleet.time + kTtl });
    for (int report = 0; report < kReports; ++report) {
        fleet.sentCount = 0;
        sentBytes = 0;
        origin.index->report(true);
        CHECK(fleet.sentCount <= 8);
        CHECK(sentBytes <= 64 * 1024);
        fleet.advance(Duration { 5 });
    }
    fleet.sentCount = 0;
    origin.index->report(true);
    CHECK(fleet.sentCount == 0);
    for (std::uint64_t stream = 1; stream <= kStreams; stream += 7) {
        for (auto* keeper : fleet.keepersOf(stream))
            REQUIRE(keeper->index->find(stream) == kVersion);
    }
}

TEST_CASE("StreamVersionIndex accepts messages with any content", "[gateway][streams]")
{
    StreamFleet fleet;
    auto& host = *fleet.keepersOf(kStream)[0];
    const auto sender = fleet.othersFor(kStream)[0]->entry;
    wire::FleetMessage uneven;
    for (const auto stream : { kStream, kStream + 1, kStream + 2 })
        uneven.mutable_stream_report()->add_streams(stream);
    uneven.mutable_stream_report()->add_versions(kVersion);
    uneven.mutable_stream_report()->add_versions(kVersion);
    uneven.mutable_stream_report()->add_ttls(1000);
    host.index->receive(sender, uneven);
    CHECK(host.index->find(kStream) == kVersion);
    CHECK(host.index->find(kStream + 1) == std::nullopt);
    // A stream that ends now is no longer open, and none is open for ever.
    host.index->receive(sender, makeReport(kStream + 1, kVersion, 0));
    CHECK(host.index->find(kStream + 1) == std::nullopt);
    host.index->receive(sender, makeReport(kStream + 2, kVersion, 0xFFFFFFFFU));
    CHECK(host.index->find(kStream + 2) == kVersion);
    fleet.advance(Duration { 300'000 });
    CHECK(host.index->find(kStream + 2) == std::nullopt);
    // Answers that nobody waits for have no effect.
    wire::FleetMessage unknown;
    unknown.add_unknown_streams(kStream);
    host.index->receive(sender, unknown);
    host.index->receive(sender, {});
    CHECK(fleet.sentCount == 0);
    wire::FleetMessage queries;
    for (std::uint64_t stream = 1; stream <= 7000; ++stream) {
        host.index->record(stream, { kVersion, fleet.time + kTtl });
        queries.add_stream_queries(stream);
    }
    host.index->receive(sender, queries);
    fleet.advance(Duration { 5 });
    for (std::uint64_t stream = 1; stream <= 7000; ++stream)
        REQUIRE(fleet.host(sender.name).index->find(stream) == kVersion);
}

TEST_CASE("StreamVersionIndex sends as many messages for a stream in a fleet of any size", "[gateway][streams]")
{
    const auto hostsPerDomain = GENERATE(2, 100);
    StreamFleet fleet { { "a", "bb", "ccc" }, hostsPerDomain };
    for (std::uint64_t stream = 1; stream <= 20; ++stream) {
        auto& origin = *fleet.othersFor(stream)[0];
        auto& asking = *fleet.othersFor(stream)[1];
        fleet.sentCount = 0;
        fleet.begin(origin, stream);
        CHECK(fleet.sentCount == 2);
        const auto answer = fleet.lookUp(asking, stream);
        fleet.advance(Duration { 5 });
        CHECK(answer->version == kVersion);
        CHECK(fleet.sentCount == 6);
    }
}

TEST_CASE(
    "StreamVersionIndex never tells a wrong version, whatever happens to messages and hosts", "[gateway][streams]")
{
    const auto seed = GENERATE(range(1U, 13U));
    std::mt19937 random { seed };
    const auto pick = [&random](std::size_t bound) {
        return std::uniform_int_distribution<std::size_t> { 0, bound - 1 }(random);
    };
    const auto versionOf = [](std::uint64_t stream) { return stream % 2 == 0 ? kVersion : kOtherVersion; };
    StreamFleet fleet;
    fleet.findDelays = [&](const StreamFleet::Datagram&) {
        std::vector<Duration> delays;
        for (auto copies = pick(4); copies > 0; --copies)
            delays.emplace_back(1 + pick(pick(4) == 0 ? 400 : 10));
        return delays;
    };
    const auto pickHost = [&]() -> StreamFleet::Host& {
        return *std::next(fleet.hosts.begin(), static_cast<std::ptrdiff_t>(pick(fleet.hosts.size())))->second;
    };
    std::vector<std::pair<std::uint64_t, std::shared_ptr<StreamFleet::Answer>>> answers;
    std::uint64_t lastStream = 0;
    for (int round = 0; round < 400; ++round) {
        for (int count = 0; count < 3; ++count) {
            ++lastStream;
            pickHost().index->record(lastStream, { versionOf(lastStream), fleet.time + Duration { 100 + pick(3000) } });
        }
        const auto earlier = lastStream - pick(std::min<std::size_t>(lastStream, 60));
        answers.emplace_back(earlier, fleet.lookUp(pickHost(), earlier));
        // Hosts leave the rosters of others and come back, each host at its own time.
        auto& changed = pickHost();
        if (pick(2) == 0)
            changed.roster.remove(pickHost().entry.name);
        else
            fleet.listHosts(changed);
        pickHost().isCutOff = pick(5) == 0;
        for (auto& [name, host] : fleet.hosts) {
            host->index->report(pick(4) != 0);
            if (pick(8) == 0)
                host->index->removeExpired();
        }
        fleet.advance(Duration { 20 });
    }
    fleet.advance(kLookUpTimeout);
    int found = 0;
    for (const auto& [stream, answer] : answers) {
        REQUIRE(answer->isDone);
        if (!answer->version)
            continue;
        ++found;
        REQUIRE(*answer->version == versionOf(stream));
    }
    INFO(found);
    CHECK(found > 50);
}
