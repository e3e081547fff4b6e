#include "berylwing/gateway/stream_version_index.hpp"

#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr std::uint32_t kVersion = 101;
constexpr std::uint32_t kOtherVersion = 202;
constexpr std::uint64_t kStream = 7;
constexpr Duration kTtl { 30'000 };
constexpr Duration kReportInterval { 100 };
constexpr Duration kLookUpTimeout { 200 };
constexpr Duration kAnswerTimeout { 60 };

HostEntry makeEntry(const std::string& domain, int number)
{
    const auto name = domain + "-" + std::to_string(number);
    const auto address = "10." + std::to_string(domain.size()) + "." + std::to_string(number) + ".1";
    return { name, domain, { address, 7000 } };
}

/** Hosts whose indexes exchange messages through a network in memory. */
class StreamFleet {
public:
    struct Host {
        HostEntry entry;
        HostRoster roster;
        std::unique_ptr<StreamVersionIndex> index;
        /** Whether all messages to and from the host are lost. */
        bool isCutOff = false;
    };

    struct Datagram {
        HostEntry sender;
        std::string recipient;
        wire::FleetMessage message;
    };

    /** Result of a look-up. */
    struct Answer {
        bool isDone = false;
        std::optional<std::uint32_t> version;
        TimePoint endedAt {};
    };

    explicit StreamFleet(const std::vector<std::string>& domains = { "a", "bb", "ccc" }, int hostsPerDomain = 3)
    {
        for (const auto& domain : domains) {
            for (int number = 1; number <= hostsPerDomain; ++number)
                this->start(makeEntry(domain, number));
        }
        for (auto& [name, host] : this->hosts)
            this->listHosts(*host);
    }

    ~StreamFleet() { this->context.destroyPending(); }
    StreamFleet(const StreamFleet&) = delete;
    StreamFleet& operator=(const StreamFleet&) = delete;

    /** Starts a host that knows no other. */
    Host& start(const HostEntry& entry)
    {
        auto& host = this->hosts[entry.name];
        host.reset(new Host { entry, HostRoster { entry }, nullptr });
        this->startIndex(*host);
        return *host;
    }

    /** Replaces the index of a host by an empty one, as when its process starts again. */
    void startIndex(Host& host)
    {
        host.index = std::make_unique<StreamVersionIndex>(
            this->clock, host.roster, [this, &host](const HostEntry& recipient, const wire::FleetMessage& message) {
                this->send(host, recipient, message);
            });
    }

    /** Puts all hosts into the roster of a host. */
    void listHosts(Host& host)
    {
        for (const auto& [name, other] : this->hosts)
            host.roster.put(other->entry);
    }

    /** Removes a host for good. */
    void remove(const std::string& name)
    {
        this->hosts.erase(name);
        for (auto& [otherName, other] : this->hosts)
            other->roster.remove(name);
    }

    void send(const Host& sender, const HostEntry& recipient, const wire::FleetMessage& message)
    {
        ++this->sentCount;
        REQUIRE(message.ByteSizeLong() <= 60 * 1024);
        const Datagram datagram { sender.entry, recipient.name, message };
        for (const auto delay : this->findDelays(datagram))
            this->inFlight.emplace(this->time + delay, datagram);
    }

    void deliver(const Datagram& datagram)
    {
        const auto found = this->hosts.find(datagram.recipient);
        const auto sender = this->hosts.find(datagram.sender.name);
        if (found == this->hosts.end() || sender == this->hosts.end())
            return;
        auto& recipient = *found->second;
        const bool isCutOff = recipient.isCutOff || sender->second->isCutOff;
        if (!isCutOff && recipient.roster.find(datagram.sender.name) != nullptr)
            recipient.index->receive(datagram.sender, datagram.message);
    }

    void advance(Duration length)
    {
        const auto until = this->time + length;
        this->context.poll();
        while (this->time < until) {
            this->time += Duration { 1 };
            this->clock.fireDue();
            while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->time) {
                const auto datagram = this->inFlight.extract(this->inFlight.begin()).mapped();
                this->deliver(datagram);
            }
            this->context.restart();
            this->context.poll();
        }
    }

    void reportAll()
    {
        for (auto& [name, host] : this->hosts)
            host->index->report(true);
    }

    /** Records a stream and reports it to its keepers. */
    void begin(Host& host, std::uint64_t stream, std::uint32_t version = kVersion)
    {
        host.index->record(stream, { version, this->time + kTtl });
        host.index->report(true);
        this->advance(Duration { 5 });
    }

    std::shared_ptr<Answer> lookUp(Host& host, std::uint64_t stream)
    {
        auto answer = std::make_shared<Answer>();
        auto run = [](StreamFleet& fleet, StreamVersionIndex& index, std::uint64_t stream,
                       std::shared_ptr<Answer> answer) -> Task<void> {
            answer->version = co_await index.lookUp(stream);
            answer->isDone = true;
            answer->endedAt = fleet.time;
        };
        spawn(this->context.get_executor(), "look-up", run(*this, *host.index, stream, answer));
        this->context.restart();
        this->context.poll();
        return answer;
    }

    Host& host(const std::string& name) { return *this->hosts.at(name); }

    std::vector<Host*> keepersOf(std::uint64_t stream)
    {
        StreamKeepers keepers { this->hosts.begin()->second->roster };
        std::vector<Host*> found;
        for (const auto* keeper : keepers.find(stream)) {
            if (keeper != nullptr)
                found.push_back(this->hosts.at(keeper->entry.name).get());
        }
        return found;
    }

    /** Returns hosts that do not keep a stream. */
    std::vector<Host*> othersFor(std::uint64_t stream)
    {
        const auto keepers = this->keepersOf(stream);
        std::vector<Host*> others;
        for (auto& [name, host] : this->hosts) {
            if (std::find(keepers.begin(), keepers.end(), host.get()) == keepers.end())
                others.push_back(host.get());
        }
        return others;
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    /** Returns the delay of each copy of a datagram that arrives. */
    std::function<std::vector<Duration>(const Datagram&)> findDelays
        = [](const Datagram&) { return std::vector<Duration> { Duration { 1 } }; };
    std::multimap<TimePoint, Datagram> inFlight;
    int sentCount = 0;
    std::map<std::string, std::unique_ptr<Host>> hosts;
};

/** Returns a report as a host would send it. */
wire::FleetMessage makeReport(std::uint64_t stream, std::uint32_t version, std::uint32_t ttl)
{
    wire::FleetMessage message;
    message.mutable_stream_report()->add_streams(stream);
    message.mutable_stream_report()->add_versions(version);
    message.mutable_stream_report()->add_ttls(ttl);
    return message;
}

} // namespace

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
