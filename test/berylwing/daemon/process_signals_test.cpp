#include "soak/gateway_process.hpp"
#include "support/loopback_address.hpp"
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Attempts to reap the daemon, 50 ms apart, before it counts as hanging. */
constexpr int kMaxPolls = 600;

/** Daemon that waits in the middle of its start until the test has written its settings. */
class StartingDaemon {
public:
    StartingDaemon()
    {
        std::filesystem::create_directories(this->folder);
        const auto ip = loopbackAddressOfProcess();
        const auto at = [&ip](std::uint16_t port) { return SocketAddress { ip, port }; };
        this->process = std::make_unique<GatewayProcess>(BERYLWINGD,
            GatewayAddresses { "knox-a-1", "knox-a", at(8227), at(8220), at(9102), at(7340), at(8223) }, this->folder);
        std::ifstream file { this->settingsPath };
        this->settings = { std::istreambuf_iterator<char> { file }, {} };
        std::filesystem::remove(this->settingsPath);
        if (mkfifo(this->settingsPath.c_str(), S_IRUSR | S_IWUSR) != 0)
            throw std::system_error { errno, std::generic_category(), "cannot create " + this->settingsPath };
        this->process->start();
    }

    ~StartingDaemon()
    {
        this->process.reset();
        std::filesystem::remove_all(this->folder);
    }

    /** Sends a signal once the daemon opens its settings, and lets it go on. */
    void signalBeforeSettings(int number)
    {
        std::ofstream pipe { this->settingsPath };
        this->process->signal(number);
        // A reload reads the settings again.
        std::filesystem::remove(this->settingsPath);
        std::ofstream { this->settingsPath } << this->settings;
        pipe << this->settings;
    }

    [[nodiscard]] std::optional<int> waitForExit()
    {
        std::optional<int> status;
        for (int poll = 0; poll < kMaxPolls && !status; ++poll) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
            status = this->process->pollExit();
        }
        return status;
    }

    std::unique_ptr<GatewayProcess> process;

private:
    std::string folder = "/tmp/berylwing-signals-" + std::to_string(::getpid());
    std::string settingsPath = this->folder + "/knox-a-1.json";
    std::string settings;
};

} // namespace

TEST_CASE("The daemon stops gracefully on a signal that comes before its handlers are installed", "[daemon]")
{
    StartingDaemon daemon;
    daemon.signalBeforeSettings(SIGTERM);
    const auto status = daemon.waitForExit();
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}

TEST_CASE("The daemon survives a request to reload that comes before its handlers are installed", "[daemon]")
{
    StartingDaemon daemon;
    daemon.signalBeforeSettings(SIGHUP);
    daemon.process->signal(SIGTERM);
    const auto status = daemon.waitForExit();
    REQUIRE(status);
    CHECK(WIFEXITED(*status));
    CHECK(WEXITSTATUS(*status) == 0);
}
