#include "berylwing/client/command_line.hpp"
#include "platform/objects.hpp"
#include "platform/store_transport.hpp"

#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <string>
#include <vector>

DEFINE_string(platform, "127.0.0.1:7000", "Address and port of the platform's object API.");
DEFINE_bool(json, false, "Print JSON instead of tables.");
DEFINE_int64(expected_version, -1, "Write only if the object has this version; 0 if it must not exist.");
DEFINE_string(against, "", "Routing plan that check-plan compares with: a file, or \"store\" for the one in force.");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage(berylwing::kClientHelp);
    gflags::SetVersionString("0.1.0");
    gflags::SetCommandLineOption("tryfromenv", "platform");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto platform = berylwing::parseSocketAddress(FLAGS_platform);
    if (!platform) {
        std::cerr << "--platform: found " << FLAGS_platform << ", allowed: ADDRESS:PORT\n";
        return static_cast<int>(berylwing::ExitCode::Usage);
    }
    try {
        berylwing::CommandLine commandLine { { *platform, FLAGS_json, FLAGS_expected_version, FLAGS_against },
            { berylwing::platform::listPlan, berylwing::platform::makeStoreTransport }, std::cout, std::cerr };
        return static_cast<int>(commandLine.run(std::vector<std::string>(argv + 1, argv + argc)));
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
