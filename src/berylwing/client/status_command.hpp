#pragma once

#include "berylwing/client/command_line.hpp"
#include "berylwing/config/objects.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/store/platform_client.hpp"
#include <ostream>

namespace berylwing {

/** @brief Implements the command that shows the state of the fleet. */
class StatusCommand {
    /** Requests the status of a host; marks the host as unreachable if that fails. */
    [[nodiscard]] Task<nlohmann::json> fetchHostStatus(const RosterMember& member);
    void print(const nlohmann::json& fleet);

public:
    /**
     * @brief Creates the command.
     * @param clientOptions Options that apply to every command.
     * @param platformClient Client of the platform.
     * @param output Receives the status.
     */
    StatusCommand(const ClientOptions& clientOptions, PlatformClient& platformClient, std::ostream& output);

    /** @brief Requests the status of every host in the rosters and prints it. @return Exit code. */
    [[nodiscard]] Task<ExitCode> run();

private:
    const ClientOptions& options;
    PlatformClient& platform;
    std::ostream& out;
};

} // namespace berylwing
