#include "scenarios.hpp"

#include "support/gateway_fleet.hpp"
#include <algorithm>
#include <map>
#include <vector>

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

/** Upper bound of the control traffic of a host at the target fleet size. */
constexpr double kMaxBytesPerSecond = 12'000;
constexpr int kEndpoints = 100;
constexpr Duration kSettleDelay { 6000 };
/** Four changes of endpoint entries per second, as when some endpoints flap. */
constexpr Duration kChangeInterval { 250 };
constexpr int kChanges = 40;
constexpr double kSeconds = 10;

/** Returns the bytes per second of the host that has sent the most. */
double findMaxBytes(
    const std::map<GatewayFleet::Host*, std::size_t>& before, const std::vector<GatewayFleet::Host*>& hosts)
{
    std::size_t most = 0;
    for (auto* host : hosts)
        most = std::max(most, host->bytesSent - before.at(host));
    return static_cast<double>(most) / kSeconds;
}

void measureSize(Report& report, int hostsPerDomain)
{
    GatewayFleet fleet { hostsPerDomain, { "knox-a", "knox-b", "chatt-a" } };
    fleet.putPlan(1);
    for (int number = 0; number < kEndpoints; ++number)
        fleet.putEndpoint("engine-" + std::to_string(number));
    fleet.advance(kSettleDelay);
    std::map<GatewayFleet::Host*, std::size_t> before;
    std::vector<GatewayFleet::Host*> others;
    const auto delegates = fleet.delegates();
    for (const auto& [address, host] : fleet.hosts) {
        before[host.get()] = host->bytesSent;
        if (std::find(delegates.begin(), delegates.end(), host.get()) == delegates.end())
            others.push_back(host.get());
    }
    const auto calls = fleet.storeCalls();
    const auto processor = readProcessorSeconds();
    for (int change = 0; change < kChanges; ++change) {
        fleet.putEndpoint("flapping", change % 2 == 1);
        fleet.advance(kChangeInterval);
    }
    const auto size = "." + std::to_string(hostsPerDomain) + "_hosts_a_domain";
    const auto hosts = static_cast<double>(fleet.hosts.size());
    report.add({ "exchange.host" + size, findMaxBytes(before, others), "bytes/s, idle, the busiest that is no delegate",
        kMaxBytesPerSecond });
    report.add({ "exchange.watcher" + size, findMaxBytes(before, fleet.watchers()),
        "bytes/s, idle, the busiest watcher", kMaxBytesPerSecond });
    report.add({ "exchange.store_calls" + size, (fleet.storeCalls() - calls) / kSeconds, "calls/s, whole fleet" });
    report.add({ "exchange.processor" + size, (readProcessorSeconds() - processor) / kSeconds / hosts * 100,
        "% of a core a host, stand-ins included" });
}

} // namespace

void measureExchange(Report& report)
{
    for (const int hostsPerDomain : { 7, 17, 34, 52 })
        measureSize(report, hostsPerDomain);
}

} // namespace berylwing::measure
