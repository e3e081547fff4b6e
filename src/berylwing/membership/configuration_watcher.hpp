#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/store/platform_client.hpp"
#include <random>
#include <string>
#include <vector>

namespace berylwing {

class Metrics;

/**
 * @brief Brings configuration into force at this host and tells it to the others.
 *
 * Few hosts of a failure domain watch the platform; the others take changes from them. A host that starts asks the
 * platform and its peers, so that it can also start while the platform is down.
 */
class ConfigurationWatcher {
    [[nodiscard]] bool shouldWatch() const;
    [[nodiscard]] Duration jitteredRetryDelay();
    [[nodiscard]] Task<void> watchOnce();
    void pushChanges(std::uint64_t after);
    void pullFrom(const std::string& host);
    void pullFromSeeds();
    void pullIfNewer(const Peer& peer);
    void sendConfiguration(const std::string& host, std::uint64_t after);
    void receiveConfiguration(const wire::Configuration& configuration, const std::string& from);

public:
    /**
     * @brief Creates a watcher.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param hostDomain Failure domain of the host.
     * @param platformClient Client of the platform.
     * @param hostMetrics Metrics of the host.
     * @param seedHosts Hosts that are asked for configuration at the start.
     */
    ConfigurationWatcher(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& hostDomain,
        PlatformClient& platformClient, Metrics& hostMetrics, std::vector<std::string> seedHosts);

    /** @brief Tells whether this host has configuration to serve with. @return True after the first load. */
    [[nodiscard]] bool isLoaded() const noexcept { return this->catalog.completeThrough() > 0; }

    /** @brief Loads configuration from the platform or from peers. @return Awaitable, complete when there is one. */
    [[nodiscard]] Task<void> load();

    /** @brief Keeps configuration current for as long as the host runs. @return Awaitable that does not complete. */
    [[nodiscard]] Task<void> run();

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    PlatformClient& platform;
    Metrics& metrics;
    std::vector<std::string> seeds;
    Event configurationReceived;
    std::mt19937_64 random;
};

} // namespace berylwing
