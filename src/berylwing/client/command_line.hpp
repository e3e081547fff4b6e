#pragma once

#include "berylwing/client/exit_code.hpp"
#include "berylwing/config/settings.hpp"
#include <ostream>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Options that hold for every command. */
struct ClientOptions {
    SocketAddress platform;
    bool isJson = false;
    std::int64_t expectedVersion = -1;
};

/** @brief Text that explains all commands. */
extern const char* const kClientHelp;

/** @brief Command line of the operators' client. */
class CommandLine {
    [[nodiscard]] ExitCode dispatch(const std::vector<std::string>& arguments);
    [[nodiscard]] ExitCode explain(const std::vector<std::string>& arguments);

public:
    /**
     * @brief Creates a command line.
     * @param clientOptions Options that hold for every command.
     * @param output Receives results.
     * @param errors Receives what went wrong.
     */
    CommandLine(ClientOptions clientOptions, std::ostream& output, std::ostream& errors);

    /** @brief Runs a command. @param arguments Command with its arguments. @return Exit code of the process. */
    [[nodiscard]] ExitCode run(const std::vector<std::string>& arguments);

private:
    ClientOptions options;
    std::ostream& out;
    std::ostream& err;
};

} // namespace berylwing
