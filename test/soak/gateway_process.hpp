#pragma once

#include "berylwing/config/settings.hpp"
#include <csignal>
#include <optional>
#include <string>
#include <sys/types.h>

namespace berylwing::test {

/** @brief Addresses of one host and of what it reaches. */
struct GatewayAddresses {
    std::string host;
    std::string domain;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress metrics;
    SocketAddress digests;
    SocketAddress store;
};

/** @brief The real program of one host as a process of its own. */
class GatewayProcess {
public:
    /**
     * @brief Writes the settings of a host that is not started.
     * @param daemonProgram Path of the program.
     * @param hostAddresses Addresses.
     * @param workFolder Folder for settings and logs.
     */
    GatewayProcess(std::string daemonProgram, GatewayAddresses hostAddresses, std::string workFolder);

    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    /** @brief Starts the process. @throws std::system_error If it cannot be started. */
    void start();

    /** @brief Sends a signal if the process runs. @param number Signal. */
    void signal(int number) const;

    /** @brief Looks whether the process has ended. @return Its wait status, once; nothing while it runs. */
    [[nodiscard]] std::optional<int> pollExit();

    /** @brief Tells whether the process runs. @return False before the start and after its end was taken. */
    [[nodiscard]] bool isRunning() const noexcept { return this->pid > 0; }

    /** @brief Reads the addresses. @return Addresses. */
    [[nodiscard]] const GatewayAddresses& addresses() const noexcept { return this->hostAddresses; }

private:
    void writeSettings() const;
    [[nodiscard]] std::string settingsPath() const;

    std::string program;
    GatewayAddresses hostAddresses;
    std::string folder;
    pid_t pid = 0;
};

} // namespace berylwing::test
