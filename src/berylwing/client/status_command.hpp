#pragma once

#include "berylwing/client/command_line.hpp"
#include "berylwing/config/objects.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/store/platform_client.hpp"
#include <ostream>

namespace berylwing {

/** @brief Command that shows the fleet at a glance. */
class StatusCommand {
    [[nodiscard]] Task<nlohmann::json> fetchHostStatus(const RosterMember& member);
    void print(const nlohmann::json& fleet);

public:
    /**
     * @brief Creates the command.
     * @param clientOptions Options that hold for every command.
     * @param platformClient Client of the platform.
     * @param output Receives the status.
     */
    StatusCommand(const ClientOptions& clientOptions, PlatformClient& platformClient, std::ostream& output);

    /** @brief Asks every host of every roster and prints the fleet. @return Exit code. */
    [[nodiscard]] Task<ExitCode> run();

private:
    const ClientOptions& options;
    PlatformClient& platform;
    std::ostream& out;
};

} // namespace berylwing
