#include "berylwing/config/settings.hpp"
#include "berylwing/core/finding.hpp"
#include "berylwing/daemon/daemon.hpp"
#include "berylwing/daemon/gateway_daemon.hpp"
#include "berylwing/daemon/process_signals.hpp"
#include "berylwing/telemetry/log.hpp"

#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <iterator>
#include <spdlog/spdlog.h>
#include <stdexcept>

DEFINE_string(settings, "", "Settings file, JSON with comments.");
DEFINE_bool(gateway, false, "Run as a gateway that forwards requests directly to the endpoints.");
DEFINE_bool(check_settings, false, "Validate the settings file, report all findings and exit.");
DEFINE_string(log_level, "", "Overrides the log level of the settings file: debug, info, warn or error.");
DEFINE_int64(
    drain_limit_ms, -1, "Overrides the longest time for a graceful stop in the settings file, in milliseconds.");

namespace {

constexpr int kExitUsage = 2;

std::string readFile(const std::string& path)
{
    std::ifstream file { path };
    if (!file)
        throw std::runtime_error { "cannot read " + path };
    return { std::istreambuf_iterator<char> { file }, {} };
}

berylwing::Settings loadSettings()
{
    auto settings = berylwing::readSettings(readFile(FLAGS_settings), FLAGS_settings);
    if (const auto level = berylwing::kLogLevelNames.find(FLAGS_log_level))
        settings.logLevel = *level;
    if (FLAGS_drain_limit_ms >= 0)
        settings.drainTimeout = berylwing::Duration { FLAGS_drain_limit_ms };
    return settings;
}

berylwing::GatewaySettings loadGatewaySettings()
{
    auto settings = berylwing::readGatewaySettings(readFile(FLAGS_settings), FLAGS_settings);
    if (const auto level = berylwing::kLogLevelNames.find(FLAGS_log_level))
        settings.logLevel = *level;
    return settings;
}

int runGateway()
{
    const auto settings = loadGatewaySettings();
    if (FLAGS_check_settings) {
        std::cout << FLAGS_settings << ": no findings\n";
        return EXIT_SUCCESS;
    }
    berylwing::configureLog(settings.logLevel, settings.host);
    return berylwing::runGatewayDaemon(settings, loadGatewaySettings);
}

} // namespace

int main(int argc, char** argv)
{
    berylwing::blockHandledSignals();
    gflags::SetUsageMessage("runs a berylwing host, for example: berylwingd --settings=host.json");
    gflags::SetVersionString("0.1.0");
    // Each of these flags can also be set by an environment variable, such as FLAGS_settings.
    gflags::SetCommandLineOption("tryfromenv", "settings,log_level,drain_limit_ms,gateway");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (FLAGS_gateway)
            return runGateway();
        const auto settings = loadSettings();
        if (FLAGS_check_settings) {
            std::cout << FLAGS_settings << ": no findings\n";
            return EXIT_SUCCESS;
        }
        berylwing::configureLog(settings.logLevel, settings.host);
        return berylwing::runDaemon(settings);
    } catch (const berylwing::ConfigurationError& error) {
        std::cerr << error.what();
        return kExitUsage;
    } catch (const std::exception& error) {
        spdlog::critical("{}", error.what());
        return EXIT_FAILURE;
    }
}
