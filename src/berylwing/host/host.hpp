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

/** @brief All that a host needs from outside. */
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

/**
 * @brief One host of the fleet: everything that a daemon runs, apart from its sockets.
 */
class Host {
    [[nodiscard]] Task<void> startTasks();
    [[nodiscard]] Task<void> waitUntilDrained(TimePoint deadline);

public:
    /**
     * @brief Creates a host that is not running yet.
     * @param hostClock Clock of the host's runtime.
     * @param dependencies All that the host needs from outside.
     */
    Host(Clock& hostClock, HostDependencies dependencies);

    /** @brief Tells whether the host may get callers from the balancer. @return True while it serves. */
    [[nodiscard]] bool isReady() const;

    /** @brief Reads the metrics. @return Metrics of the host. */
    [[nodiscard]] const Metrics& metrics() const noexcept { return this->hostMetrics; }

    /** @brief Reads the configuration. @return Configuration in force. */
    [[nodiscard]] const Catalog& catalog() const noexcept { return this->hostCatalog; }

    /** @brief Reads the endpoints. @return Endpoints of the host's failure domain. */
    [[nodiscard]] const EndpointRegistry& registry() const noexcept { return this->endpointRegistry; }

    /** @brief Reads the failure domain. @return Domain of the host. */
    [[nodiscard]] const FailureDomain& domain() const noexcept { return this->failureDomain; }

    /** @brief Describes the host for operators. @return Document with endpoints, peers and versions. */
    [[nodiscard]] nlohmann::json status() const;

    /** @brief Starts the host's tasks. */
    void start();

    /** @brief Takes a message from another host. @param bytes Bytes of the message. */
    void receive(std::string_view bytes) { this->link.receive(bytes); }

    /**
     * @brief Answers a caller's request.
     * @param caller Request.
     * @param sink Where the answer goes.
     * @return How the request ended.
     * @throws CallerGoneError If the caller has gone.
     */
    [[nodiscard]] Task<Outcome> handle(const CallerRequest& caller, const ResponseSink& sink);

    /** @brief Counts a request that was refused before it became one. @param reason Reason. */
    void countRefusal(Refusal reason) { this->hostMetrics.add(reason); }

    /**
     * @brief Stops gracefully: no new work, handoffs, the end of what is in flight.
     * @param timeout Time after which the stop goes on regardless, in milliseconds.
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
