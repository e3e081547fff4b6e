#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/entry/entry.hpp"
#include "berylwing/ledger/ledger_owner.hpp"
#include "berylwing/ledger/order_client.hpp"
#include "berylwing/limits/contract_limits.hpp"
#include "berylwing/limits/crash_register.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/configuration_watcher.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/membership/registrar.hpp"
#include "berylwing/relay/attempt_server.hpp"
#include "berylwing/relay/dispatcher.hpp"
#include "berylwing/routing/endpoint_registry.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <string>
#include <vector>

namespace berylwing {

/** @brief External dependencies of a host: identity, settings and functions for input and output. */
struct HostDependencies {
    Identity identity;
    std::vector<std::string> seeds;
    double loadMultiple = 1.25;
    WallClock wallClock;
    Link::Transport transport;
    PlatformClient::Transport platform;
    EndpointAccess endpoints;
    Steps::Hook stepHook;
};

/** @brief One host of the fleet: all components of the daemon except its servers and sockets. */
class Host {
    [[nodiscard]] Task<void> startTasks();
    [[nodiscard]] Task<void> waitUntilDrained(TimePoint deadline);

public:
    /**
     * @brief Creates a host; start() runs it.
     * @param hostClock Clock of the host's runtime.
     * @param dependencies External dependencies of the host.
     */
    Host(Clock& hostClock, HostDependencies dependencies);

    /** @brief Checks if the load balancer may send callers to this host. */
    [[nodiscard]] bool isReady() const;

    /** @brief Returns the metrics of the host. */
    [[nodiscard]] const Metrics& metrics() const noexcept { return this->hostMetrics; }

    /** @brief Returns the current configuration. */
    [[nodiscard]] const Catalog& catalog() const noexcept { return this->hostCatalog; }

    /** @brief Returns the endpoints of the host's failure domain. */
    [[nodiscard]] const EndpointRegistry& registry() const noexcept { return this->endpointRegistry; }

    /** @brief Returns the failure domain of the host. */
    [[nodiscard]] const FailureDomain& domain() const noexcept { return this->failureDomain; }

    /** @brief Returns the status document for operators: endpoints, peers, configuration and roster versions. */
    [[nodiscard]] nlohmann::json status() const;

    /** @brief Loads the configuration and then runs the host's tasks, in the background. */
    void start();

    /** @brief Processes a message from another host. @param bytes Serialized message. */
    void receive(std::string_view bytes) { this->link.receive(bytes); }

    /**
     * @brief Handles a caller's request.
     * @param caller Request.
     * @param sink Receives the response.
     * @return Outcome of the request.
     * @throws CallerGoneError If the caller has disconnected.
     */
    [[nodiscard]] Task<Outcome> handle(const CallerRequest& caller, const ResponseSink& sink);

    /** @brief Counts a refusal outside handle(), such as of an invalid request. @param reason Reason. */
    void countRefusal(Refusal reason) { this->hostMetrics.add(reason); }

    /**
     * @brief Stops gracefully: refuses new requests, hands off endpoints and waits for requests in flight.
     * @param timeout Time after which requests still in flight are no longer waited for, in milliseconds.
     * @return Awaitable that completes when the process may exit.
     */
    [[nodiscard]] Task<void> stop(Duration timeout);

private:
    Clock& clock;
    Metrics hostMetrics;
    Steps steps;
    Catalog hostCatalog;
    Link link;
    PlatformClient platform;
    FailureDomain failureDomain;
    ConfigurationWatcher watcher;
    Registrar registrar;
    EndpointRegistry endpointRegistry;
    CrashRegister crashRegister;
    AttemptServer attemptServer;
    Dispatcher dispatcher;
    LedgerOwner ledgerOwner;
    OrderClient orderClient;
    ContractLimits contractLimits;
    Entry entry;
    bool isStopping = false;
};

} // namespace berylwing
