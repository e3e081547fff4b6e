#pragma once

#include "berylwing/client/command_line.hpp"
#include "berylwing/config/objects.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/store/platform_client.hpp"
#include <ostream>
#include <string>

namespace berylwing {

/** @brief Implements the commands that read and change configuration objects. */
class ObjectCommands {
    /** Writes an object over the expected version, unless the stored document is already equal. */
    [[nodiscard]] Task<ExitCode> write(ObjectKind kind, std::string name, nlohmann::json value);
    /** Reads an object again after the response to its write was lost, to find out if the write took effect. */
    [[nodiscard]] Task<ExitCode> resolveUnknownOutcome(ObjectKind kind, std::string name, nlohmann::json value);
    [[nodiscard]] ExitCode reportConflict(const std::string& name);

public:
    /**
     * @brief Creates the commands.
     * @param clientOptions Options that apply to every command.
     * @param platformClient Client of the platform.
     * @param output Receives results.
     * @param errors Receives error messages.
     */
    ObjectCommands(
        const ClientOptions& clientOptions, PlatformClient& platformClient, std::ostream& output, std::ostream& errors);

    /** @brief Lists the objects of a kind. @param kind Kind. @return Exit code. */
    [[nodiscard]] Task<ExitCode> list(ObjectKind kind);

    /** @brief Shows an object. @param kind Kind. @param name Name. @return Exit code. */
    [[nodiscard]] Task<ExitCode> show(ObjectKind kind, std::string name);

    /** @brief Writes an object from a file. @param kind Kind. @param path File. @return Exit code. */
    [[nodiscard]] Task<ExitCode> set(ObjectKind kind, std::string path);

    /** @brief Removes an object. @param kind Kind. @param name Name. @return Exit code. */
    [[nodiscard]] Task<ExitCode> remove(ObjectKind kind, std::string name);

    /**
     * @brief Takes a failure domain or a host out of service, or back into service.
     * @param kind Kind.
     * @param name Name.
     * @param isOutOfService True to take it out of service.
     * @return Exit code.
     */
    [[nodiscard]] Task<ExitCode> setOutOfService(ObjectKind kind, std::string name, bool isOutOfService);

    /**
     * @brief Writes all objects of a file in order and stops at the first failure.
     * @param path JSON file with one array of objects per kind.
     * @return Exit code.
     */
    [[nodiscard]] Task<ExitCode> apply(std::string path);

    /** @brief Validates all objects of a file without writing. @param path File. @return Exit code. */
    [[nodiscard]] ExitCode check(const std::string& path);

private:
    const ClientOptions& options;
    PlatformClient& platform;
    std::ostream& out;
    std::ostream& err;
};

} // namespace berylwing
