#pragma once

#include "berylwing/client/exit_code.hpp"
#include "berylwing/config/settings.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include "berylwing/store/platform_client.hpp"
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Options that apply to every command. */
struct ClientOptions {
    /** Server of the platform's object API. */
    SocketAddress platform;
    /** Whether results are printed as JSON instead of tables. */
    bool isJson = false;
    /** Version that a write replaces; zero if the object must not exist, negative for the version read before. */
    std::int64_t expectedVersion = -1;
    /** File of the routing plan that a checked one is compared to, or "store"; empty to compare it to none. */
    std::string against;
};

/** @brief What the platform of a gateway brings along to read its routing plans. */
struct PlanAccess {
    PlanLister list;
    /** Creates the transport to the store at an address. */
    std::function<PlatformClient::Transport(SocketAddress)> connect;
};

/** @brief Usage text of the client. */
extern const char* const kClientHelp;

/** @brief Parses and runs the commands of the operators' client. */
class CommandLine {
    [[nodiscard]] ExitCode dispatch(const std::vector<std::string>& arguments);
    [[nodiscard]] ExitCode explain(const std::vector<std::string>& arguments);
    [[nodiscard]] ExitCode auditLoads(const std::vector<std::string>& arguments);
    [[nodiscard]] ExitCode checkPlan(const std::string& path);

public:
    /**
     * @brief Creates a command line.
     * @param clientOptions Options that apply to every command.
     * @param planAccess Functions to read routing plans.
     * @param output Receives results.
     * @param errors Receives error messages.
     */
    CommandLine(ClientOptions clientOptions, PlanAccess planAccess, std::ostream& output, std::ostream& errors);

    /** @brief Runs a command. @param arguments Command with its arguments. @return Exit code of the process. */
    [[nodiscard]] ExitCode run(const std::vector<std::string>& arguments);

private:
    ClientOptions options;
    PlanAccess plans;
    std::ostream& out;
    std::ostream& err;
};

} // namespace berylwing
