#include "support/gateway_fleet.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time in which hosts that start together find each other. */
constexpr Duration kStartTimeout { 8000 };
/** Calls to the store that a host may make when the whole fleet starts. */
constexpr int kMaxCallsOfStart = 10;
constexpr int kHostsPerDomain = 40;

const std::vector<std::string> kDomains { "knox-a", "knox-b" };

/** Fleet whose failure domains are too large for a single group. */
class LargeFleet : public GatewayFleet {
public:
    LargeFleet()
        : GatewayFleet { kHostsPerDomain, kDomains, { Duration { 4000 }, Duration { 4000 }, Duration { 5000 } } }
    {
        this->putPlan(1);
        for (int number = 1; number <= 50; ++number)
            this->putEndpoint("engine-" + std::to_string(number));
        this->advance(kStartTimeout);
    }

    [[nodiscard]] int hostCount() const { return static_cast<int>(this->hosts.size()); }

    /** Returns every third host. */
    [[nodiscard]] std::vector<Host*> everyThirdHost() const
    {
        std::vector<Host*> chosen;
        std::size_t index = 0;
        for (const auto& [address, host] : this->hosts) {
            if (index++ % 3 == 0)
                chosen.push_back(host.get());
        }
        return chosen;
    }

    [[nodiscard]] std::size_t countLines(const std::string& text) const
    {
        std::size_t count = 0;
        for (const auto& [address, host] : this->hosts) {
            for (auto at = host->logText.find(text); at != std::string::npos; at = host->logText.find(text, at + 1))
                ++count;
        }
        return count;
    }

    /** Counts the calls of all hosts to the store in some time. */
    int countCalls(Duration length)
    {
        const auto before = this->storeCalls();
        this->advance(length);
        return this->storeCalls() - before;
    }
};

} // namespace

TEST_CASE("A large fleet that starts makes few calls of each host to the store", "[gateway][large]")
{
    LargeFleet fleet;
    CHECK(fleet.storeCalls() < kMaxCallsOfStart * fleet.hostCount());
    CHECK(fleet.countHostsWithLog("\"plan\":1") == fleet.hosts.size());
    CHECK(fleet.countHostsWithLog("\"lines_dropped\"") == 0);
    // All processes end at the same time, and start again beside the entries of their predecessors.
    const auto before = fleet.storeCalls();
    for (const auto& [address, host] : fleet.hosts)
        fleet.restart(*host);
    fleet.advance(kStartTimeout);
    CHECK(fleet.storeCalls() - before < kMaxCallsOfStart * fleet.hostCount());
}

TEST_CASE("The watchers of a large fleet remain the same in calm, also when digests are lost", "[gateway][large]")
{
    constexpr int kSeconds = 20;
    LargeFleet fleet;
    fleet.messageLoss = GENERATE(0.0, 0.1);
    const auto changes = fleet.countLines("\"roles_changed\"");
    const auto calls = fleet.countCalls(Duration { kSeconds * 1000 });
    CHECK(fleet.countLines("\"roles_changed\"") == changes);
    // The stated limit is 0.1 calls of each host and second.
    CHECK(calls * 10 < fleet.hostCount() * kSeconds);
}

TEST_CASE("Hosts of a large fleet that the store turns away leave the calls to their watcher", "[gateway][large]")
{
    LargeFleet fleet;
    for (auto* host : fleet.everyThirdHost())
        fleet.platform.unreachableHosts.insert(host->settings.host);
    CHECK(fleet.countCalls(Duration { 9000 }) < kMaxCallsOfStart * fleet.hostCount());
    fleet.platform.unreachableHosts.clear();
    fleet.putPlan(7);
    fleet.advance(Duration { 4000 });
    CHECK(fleet.countHostsWithLog("\"plan\":7") == fleet.hosts.size());
}

TEST_CASE("Hosts of a large fleet that are cut off do not call the store more than others", "[gateway][large]")
{
    LargeFleet fleet;
    for (auto* host : fleet.everyThirdHost()) {
        fleet.platform.unreachableHosts.insert(host->settings.host);
        host->isIsolated = true;
    }
    CHECK(fleet.countCalls(Duration { 9000 }) < 2 * kMaxCallsOfStart * fleet.hostCount());
    for (const auto& [address, host] : fleet.hosts)
        host->isIsolated = false;
    fleet.platform.unreachableHosts.clear();
    fleet.putPlan(7);
    fleet.putEndpoint("engine-1", true);
    fleet.advance(Duration { 4000 });
    CHECK(fleet.countHostsWithLog("\"plan\":7") == fleet.hosts.size());
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
}

TEST_CASE("All hosts of a large fleet learn of changes in time when all watchers are lost", "[gateway][large]")
{
    LargeFleet fleet;
    const auto watchers = fleet.watchers();
    for (auto* watcher : watchers)
        watcher->isIsolated = true;
    fleet.putPlan(7);
    fleet.putEndpoint("engine-1", true);
    const auto calls = fleet.countCalls(Duration { 4000 });
    CHECK(fleet.countHostsWithLog("\"plan\":7") == fleet.hosts.size());
    CHECK(fleet.countHostsWithLog("\"endpoint\":\"engine-1\",\"service\":\"engines\",\"state\":\"leaving\"")
        == fleet.hosts.size());
    CHECK(calls < kMaxCallsOfStart * fleet.hostCount());
}

TEST_CASE("Control traffic of hosts and delegates of a large fleet stays within its limits", "[gateway][large]")
{
    constexpr std::size_t kMaxHostBytesPerSecond = 12'000;
    constexpr std::size_t kMaxDelegateBytesPerSecond = 125'000;
    LargeFleet fleet;
    std::map<const GatewayFleet::Host*, std::size_t> before;
    for (const auto& [address, host] : fleet.hosts)
        before[host.get()] = host->bytesSent;
    fleet.advance(Duration { 10'000 });
    std::map<const GatewayFleet::Host*, std::size_t> limits;
    for (const auto* host : fleet.delegates())
        limits[host] = kMaxDelegateBytesPerSecond;
    for (const auto& [host, bytes] : before)
        CHECK((host->bytesSent - bytes) / 10 <= std::max(limits[host], kMaxHostBytesPerSecond));
}
