#include "soak/promises.hpp"
#include "soak/soak.hpp"

#include <boost/asio/io_context.hpp>
#include <exception>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_uint32(seed, 1, "Seed of the faults and of the callers' choices.");
DEFINE_uint32(block, 10, "Second byte of the loopback addresses; concurrent soaks need different ones.");
DEFINE_string(program, "build/release/src/berylwing/berylwingd", "Path of the daemon that hosts run.");
DEFINE_string(folder, "", "Folder for settings and logs.");
DEFINE_uint32(hosts, 7, "Number of hosts.");
DEFINE_uint32(engines, 6, "Number of model engines.");
DEFINE_uint32(services, 3, "Number of application servers.");
DEFINE_uint32(callers, 24, "Number of callers.");
DEFINE_uint32(faults_ms, 15'000, "Window in which faults start, in milliseconds.");
DEFINE_uint32(gap_ms, 500, "Mean time between the starts of two faults, in milliseconds.");
DEFINE_uint32(max_fault_ms, 6000, "Maximum duration of a fault, in milliseconds.");
DEFINE_string(only, "", "Kinds of faults to inject, separated by commas; all if empty.");
DEFINE_bool(timing, true, "Also check the guarantees that have a time bound.");

namespace {

using namespace berylwing;
using namespace berylwing::test;

std::set<SoakFault> parseKinds(const std::string& text)
{
    std::set<SoakFault> kinds;
    std::istringstream list { text };
    std::string name;
    while (std::getline(list, name, ',')) {
        const auto kind = kSoakFaultNames.find(name);
        if (!kind)
            throw std::invalid_argument { "unknown kind of fault: " + name };
        kinds.insert(*kind);
    }
    return kinds;
}

SoakOptions readOptions()
{
    SoakOptions options;
    options.seed = FLAGS_seed;
    options.addressBlock = FLAGS_block;
    options.program = FLAGS_program;
    options.folder = FLAGS_folder;
    options.hosts = FLAGS_hosts;
    options.engines = FLAGS_engines;
    options.services = FLAGS_services;
    options.callers = FLAGS_callers;
    options.faultWindow = Duration { FLAGS_faults_ms };
    options.meanFaultInterval = Duration { FLAGS_gap_ms };
    options.maxFaultDuration = Duration { FLAGS_max_fault_ms };
    options.enabledFaults = parseKinds(FLAGS_only);
    if (!FLAGS_timing) {
        options.recoveryTime = {};
        options.verificationTime = {};
    }
    return options;
}

void printSummary(const Soak& soak, const std::vector<BrokenPromise>& broken)
{
    const auto& seen = soak.observations();
    std::size_t served = 0;
    for (const auto& attempt : seen.attempts)
        served += attempt.isComplete && attempt.status == 200 ? 1 : 0;
    const nlohmann::json summary { { "seed", FLAGS_seed }, { "requests", seen.attempts.size() }, { "served", served },
        { "arrivals", seen.runs.size() }, { "planned_stops", seen.stops.size() }, { "own_delays", soak.stallCount() },
        { "faults", soak.faultCounts() }, { "broken_promises", broken.size() } };
    std::cout << summary.dump() << '\n';
    for (const auto& each : broken) {
        const nlohmann::json line { { "seed", FLAGS_seed }, { "promise", each.promise }, { "what", each.what } };
        std::cout << line.dump() << '\n';
    }
}

int runSoak()
{
    const auto options = readOptions();
    if (options.folder.empty())
        throw std::invalid_argument { "--folder is missing" };
    std::filesystem::create_directories(options.folder);
    boost::asio::io_context context { 1 };
    Clock clock { context.get_executor() };
    Soak soak { clock, options };
    spawn(context.get_executor(), "soak", [](Soak& running, boost::asio::io_context& runningContext) -> Task<void> {
        co_await running.run();
        runningContext.stop();
    }(soak, context));
    context.run();
    auto broken = checkSafety(soak.observations(), {});
    if (FLAGS_timing) {
        const auto late = checkTiming(soak.observations(), {});
        broken.insert(broken.end(), late.begin(), late.end());
    }
    printSummary(soak, broken);
    return broken.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(
        "runs hosts as real processes, injects faults from outside and checks the guarantees of the fleet");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return runSoak();
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
