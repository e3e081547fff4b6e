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
 * @brief Applies configuration changes at this host and distributes them within its failure domain.
 *
 * kWatchersPerDomain hosts of a failure domain watch the platform and push changes to the others. A host that starts
 * asks both the platform and seed hosts, so that it can start while the platform is down.
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
     * @brief Creates a watcher without configuration.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param hostDomain Failure domain of the host.
     * @param platformClient Client of the platform.
     * @param hostMetrics Metrics of the host.
     * @param seedHosts Hosts that are asked for configuration at startup.
     */
    ConfigurationWatcher(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& hostDomain,
        PlatformClient& platformClient, Metrics& hostMetrics, std::vector<std::string> seedHosts);

    /** @brief Checks if this host has configuration. @return True after the first complete load. */
    [[nodiscard]] bool isLoaded() const noexcept { return this->catalog.completeRevision() > 0; }

    /** @brief Loads configuration from the platform or a peer. @return Awaitable that completes once it is loaded. */
    [[nodiscard]] Task<void> load();

    /** @brief Keeps configuration up to date for as long as the host runs. @return Awaitable that never completes. */
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
