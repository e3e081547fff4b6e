#include "scenarios.hpp"

#include "support/test_fleet.hpp"

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

constexpr double kMaxControlBytes = 12'000;
constexpr double kMaxCoreShare = 2.3;
constexpr double kMaxMegabytes = 32;
constexpr int kEnginesForEachHost = 13;
constexpr int kSeconds = 10;
constexpr double kBytesInMegabyte = 1e6;

std::uint64_t sumControlBytes(TestFleet& fleet)
{
    std::uint64_t bytes = 0;
    for (const auto& host : fleet.hosts())
        bytes += fleet.host(host).metrics().controlBytes();
    return bytes;
}

std::uint64_t sumPlatformCalls(TestFleet& fleet)
{
    std::uint64_t calls = 0;
    for (const auto& host : fleet.hosts())
        calls += fleet.host(host).metrics().platformCalls();
    return calls;
}

void measureAt(Report& report, int hosts)
{
    const auto heapBefore = readHeapBytes();
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.hostsPerDomain = hosts;
    plan.enginesPerDomain = hosts * kEnginesForEachHost;
    plan.servicesPerDomain = 0;
    startFleet(fleet, plan);
    fleet.advance(Duration { 5000 });
    const auto suffix = "." + std::to_string(hosts) + "_hosts";
    const auto perHost = [hosts](double value) { return value / hosts; };
    const auto run = [&](const std::string& phase) {
        const auto bytes = sumControlBytes(fleet);
        const auto calls = sumPlatformCalls(fleet);
        const auto processor = readProcessorSeconds();
        fleet.advance(Duration { kSeconds * 1000 });
        const auto used = perHost(readProcessorSeconds() - processor) / kSeconds * 100;
        report.add({ "control.bytes_per_second." + phase + suffix,
            perHost(static_cast<double>(sumControlBytes(fleet) - bytes)) / kSeconds, "B/s a host", kMaxControlBytes });
        report.add({ "control.core_share." + phase + suffix, used, "% of a core a host", kMaxCoreShare });
        report.add({ "control.platform_calls." + phase + suffix,
            static_cast<double>(sumPlatformCalls(fleet) - calls) / kSeconds, "calls/s of the domain" });
    };
    run("calm");
    report.add({ "control.memory.calm" + suffix, perHost(readHeapBytes() - heapBefore) / kBytesInMegabyte, "MB a host",
        kMaxMegabytes });
    fleet.kill("knox-1");
    run("host_killed");
    fleet.start("knox-1", "knox");
    run("host_returns");
}

} // namespace

void measureControl(Report& report)
{
    for (const int hosts : { 7, 13, 26, 52 })
        measureAt(report, hosts);
}

} // namespace berylwing::measure
