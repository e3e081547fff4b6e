#include "scenarios.hpp"

#include <gflags/gflags.h>
#include <spdlog/spdlog.h>

DEFINE_string(only, "", "Name of the only scenario to run, for example \"relay\"; empty runs all.");

int main(int argc, char** argv)
{
    using namespace berylwing::measure;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    spdlog::set_level(spdlog::level::off);
    Report report;
    struct Scenario {
        const char* name;
        void (*run)(Report&);
    };
    constexpr Scenario kScenarios[] { { "control", measureControl }, { "configuration", measureConfiguration },
        { "ledger", measureLedger }, { "relay", measureRelay }, { "placement", measurePlacement },
        { "recovery", measureRecovery }, { "exchange", measureExchange } };
    for (const auto& scenario : kScenarios) {
        if (FLAGS_only.empty() || FLAGS_only == scenario.name)
            scenario.run(report);
    }
    return report.countMisses() == 0 ? 0 : 1;
}
