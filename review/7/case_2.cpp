// A release has ended, one host was restarted as planned, and its neighbour dies: the streams that it carried cannot go
// on at the restarted host, although only one software version serves.

#include "streams.hpp"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>

namespace {

using namespace review;

constexpr unsigned kEngines = 4;
constexpr unsigned kStreams = 40;
/** Taken-up streams from which on the rule counts. */
constexpr unsigned kMinTakenUp = 12;
/** Time for which a version can have open streams: twice the timeout, and what engines serve on without an entry. */
constexpr Duration kHistoryTime { 10'000 };
/** Time after a start from which on a machine is in touch. */
constexpr Duration kContactTime { 3000 };
constexpr std::size_t kNeighbour = 0;
constexpr std::size_t kRestarted = 1;

Task<void> play(Fleet& fleet, std::vector<Stream>& taken, std::vector<Stream>& fresh, bool isTroubled)
{
    auto& clock = fleet.clock;
    const std::vector<std::string> zones { "knox-a", "knox-b", "chatt-a", "chatt-b" };
    co_await clock.sleepFor(kHistoryTime + Duration { 2000 });
    fleet.note("release: engines of v2 come, those of v1 drain and leave");
    for (unsigned number = 0; number < kEngines; ++number) {
        fleet.putEngine(fmt::format("i-new-{}", number), "pool", zones[number], 20 + number, "v2");
        fleet.putEngine(
            fmt::format("i-old-{}", number), "pool", zones[number], number + 1, "v1", { { "state", "draining" } });
        co_await clock.sleepFor(Duration { 1000 });
    }
    co_await clock.sleepFor(Duration { 2500 });
    for (unsigned number = 0; number < kEngines; ++number) {
        fleet.store.remove("servers", fmt::format("i-old-{}", number));
        fleet.stopEngine(number + 1);
    }
    fleet.note("release: v1 is gone");
    const auto goneAt = clock.now();
    co_await clock.sleepFor(kHistoryTime + Duration { 1500 });
    auto& restarted = fleet.hosts[kRestarted]->process;
    const char* trouble = std::getenv("TROUBLE");
    if (trouble == nullptr || std::string { trouble } != "norestart") {
        fleet.note(fmt::format("planned: SIGTERM to {}", restarted.addresses().host));
        restarted.signal(SIGTERM);
        while (!restarted.pollExit())
            co_await clock.sleepFor(Duration { 20 });
        restarted.start();
        const bool isReady = co_await fleet.waitUntilReady(kRestarted, Duration { 10'000 });
        fleet.note(fmt::format("planned: it has started again and is {}", isReady ? "ready" : "not ready"));
    }
    co_await clock.sleepFor(kContactTime + Duration { 300 });
    unsigned done = 0;
    for (unsigned number = 0; number < kStreams; ++number) {
        taken[number].attempt = fmt::format("s{}", number);
        spawn(clock.executor(), "client", runStreamClient(fleet, taken[number], kNeighbour, kRestarted, done));
        fresh[number].attempt = fmt::format("n{}", number);
        spawn(clock.executor(), "client", runStreamClient(fleet, fresh[number], kRestarted, kRestarted, done));
        co_await clock.sleepFor(Duration { 15 });
    }
    co_await clock.sleepFor(Duration { 300 });
    if (isTroubled) {
        fleet.note(fmt::format("disruption: {} is killed {} ms after v1 was gone",
            fleet.hosts[kNeighbour]->process.addresses().host, (clock.now() - goneAt).count()));
        fleet.hosts[kNeighbour]->process.signal(SIGKILL);
    }
    while (done < 2 * kStreams)
        co_await clock.sleepFor(Duration { 20 });
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
        return 2;
    const bool isTroubled = hasTrouble();
    Fleet fleet { { arguments[1], arguments[2],
        { "knox-a", "knox-a", "knox-b", "knox-b", "chatt-a", "chatt-a", "chatt-b" } } };
    writeStreamRoute(fleet);
    const std::vector<std::string> zones { "knox-a", "knox-b", "chatt-a", "chatt-b" };
    for (unsigned number = 0; number < kEngines; ++number) {
        const auto id = fmt::format("i-old-{}", number);
        fleet.listenEngine(number + 1, makeStreamEngine(fleet, id, "v1"));
        fleet.putEngine(id, "pool", zones[number], number + 1, "v1");
        fleet.listenEngine(20 + number, makeStreamEngine(fleet, fmt::format("i-new-{}", number), "v2"));
    }
    if (!fleet.start())
        return 2;
    std::vector<Stream> taken(kStreams);
    std::vector<Stream> fresh(kStreams);
    fleet.run(play(fleet, taken, fresh, isTroubled));
    const auto takenUp = std::count_if(taken.begin(), taken.end(), [](const Stream& each) { return each.isTakenUp; });
    const auto goneOn = std::count_if(taken.begin(), taken.end(), [](const Stream& each) { return each.hasGoneOn; });
    const auto begun = std::count_if(fresh.begin(), fresh.end(), [](const Stream& each) { return !each.text.empty(); });
    const auto goOnShare = static_cast<double>(goneOn) / static_cast<double>(std::max<std::ptrdiff_t>(takenUp, 1));
    const auto beginShare = static_cast<double>(begun) / kStreams;
    const bool isBroken = takenUp >= kMinTakenUp && goOnShare < beginShare / 2;
    const auto result = fmt::format("{} streams taken up again, {} of them went on; {} of {} new streams began: {}",
        takenUp, goneOn, begun, kStreams, isBroken ? "LOST is broken" : "LOST holds");
    fleet.note(result);
    std::cout << result << '\n';
    return isBroken ? 1 : 0;
}
