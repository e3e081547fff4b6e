#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/cold_limit.hpp"
#include "berylwing/gateway/crash_notes.hpp"
#include "berylwing/gateway/domain_isolation.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/fleet_exchange.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/forwarder.hpp"
#include "berylwing/gateway/gateway_settings.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/placement.hpp"
#include "berylwing/gateway/plan_lease.hpp"
#include "berylwing/gateway/prompt_holders.hpp"
#include "berylwing/gateway/protocol.hpp"
#include "berylwing/gateway/reach_prober.hpp"
#include "berylwing/gateway/retry_allowance.hpp"
#include "berylwing/gateway/store_feed.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <memory>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Functions through which a gateway reaches its surroundings. */
struct GatewayDependencies {
    PlatformClient::Exchange platform;
    OpenSession open;
    /** Sends a message to another host, or drops it. */
    std::function<void(const SocketAddress&, const std::string& bytes)> sendToHost;
    DecisionLog::Writer logWriter;
    /** Start of the process in milliseconds since 1970. */
    std::uint64_t incarnation = 0;
};

/** @brief Host that forwards callers' requests straight to the endpoints. */
class Gateway {
    [[nodiscard]] StoreFeedHooks watchHooks(std::function<Duration()> watcherTrust);
    [[nodiscard]] StoreFeedHooks planHooks();
    [[nodiscard]] StoreFeedHooks endpointHooks();
    [[nodiscard]] StoreFeedHooks domainHooks();
    [[nodiscard]] StoreFeedHooks hostHooks();
    [[nodiscard]] bool isWatchedElsewhere(Duration trust) const;
    [[nodiscard]] Duration changeTrust() const;
    void takePlan(const VersionedObject& object);
    void takeEndpoint(const VersionedObject& object);
    void takeDomain(const VersionedObject& object);
    [[nodiscard]] Task<void> registerHost();
    [[nodiscard]] Task<void> maintain();
    void takeHost(const VersionedObject& object);
    void logHostCount();
    void logWatcher();
    void logReadiness();
    /** Tells why this host wants no new connections; empty if it wants some. */
    [[nodiscard]] std::string_view unreadyReason() const;
    [[nodiscard]] FleetExchangeParts exchangeParts(
        std::function<void(const SocketAddress&, const std::string&)> sendToHost);
    [[nodiscard]] ForwarderParts forwarderParts(OpenSession open);

public:
    /** @brief Counts a request among those in progress, from its reading until its answer is written whole. */
    class RequestInProgress {
    public:
        /** @brief Begins a request. @param servingGateway Gateway that serves it. */
        explicit RequestInProgress(Gateway& servingGateway)
            : gateway { servingGateway }
        {
            ++this->gateway.requests;
        }

        ~RequestInProgress() { --this->gateway.requests; }
        RequestInProgress(const RequestInProgress&) = delete;
        RequestInProgress& operator=(const RequestInProgress&) = delete;

    private:
        Gateway& gateway;
    };

    /**
     * @brief Creates a gateway that knows nothing yet.
     * @param hostClock Clock of the host.
     * @param gatewaySettings Settings.
     * @param platformProtocol Names and formats of the platform.
     * @param dependencies Surroundings.
     */
    Gateway(Clock& hostClock, const GatewaySettings& gatewaySettings, const GatewayProtocol& platformProtocol,
        GatewayDependencies dependencies);

    /** @brief Starts to follow the store. */
    void start();

    /** @brief Tells whether this host wants new connections. @return True if it can serve requests. */
    [[nodiscard]] bool isReady() const { return this->unreadyReason().empty(); }

    /** @brief Tells whether the host is stopping. @return True after beginStop(). */
    [[nodiscard]] bool isStopping() const noexcept { return this->stoppingSince.has_value(); }

    /** @brief Tells whether new requests are refused because the host stops. @return True late in a stop. */
    [[nodiscard]] bool refusesNew() const;

    /** @brief Begins a stop: the balancer is told to send no new connections. */
    void beginStop();

    /** @brief Takes changed settings: the lease of the plan and the bounds. @param next Settings. */
    void reload(const GatewaySettings& next);

    /** @brief Takes this host out of the list of hosts. @return Awaitable. */
    [[nodiscard]] Task<void> unregisterHost();

    /** @brief Reads the bounds on callers. @return Bounds of the plan in force. */
    [[nodiscard]] CallerBounds callerBounds() const;

    /** @brief Answers a request. @param request Request. @param sink Where the answer goes. @return How it ended. */
    [[nodiscard]] Task<Outcome> handle(GatewayRequest& request, const AnswerSink& sink);

    /** @brief Takes a message of another host. @param address Sender. @param bytes Message. */
    void receive(const std::string& address, std::string_view bytes) { this->exchange.receive(address, bytes); }

    /** @brief Counts and logs input that is no request. @param reason Reason. @param error What was wrong. */
    void refuseInput(Refusal reason, std::string_view error);

    /** @brief Reads the log. @return Log. */
    [[nodiscard]] DecisionLog& decisionLog() noexcept { return this->log; }

    /** @brief Reads the metrics. @return Metrics. */
    [[nodiscard]] const Metrics& metrics() const noexcept { return this->hostMetrics; }

    /** @brief Reads the protocol. @return Names and formats of the platform. */
    [[nodiscard]] const GatewayProtocol& platformProtocol() const noexcept { return this->protocol; }

    /** @brief Tells how many requests are in progress. @return Requests whose answer is not written whole. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return this->requests; }

private:
    Clock& clock;
    const GatewaySettings& settings;
    const GatewayProtocol& protocol;
    ChangeBounds changeBounds;
    Metrics hostMetrics;
    DecisionLog log;
    PlatformClient client;
    PlanLease lease;
    std::shared_ptr<const RoutingPlan> plan;
    EndpointDirectory directory;
    HostRoster roster;
    std::size_t loggedHosts = 1;
    /** Watcher on which this host relies, as it was last logged; empty if it asks the store itself. */
    std::string loggedWatcher;
    /** Reason for being unready, as it was last logged. */
    std::string_view loggedUnreadyReason = "starting";
    FleetView fleet;
    DomainIsolation isolation;
    ColdLimit coldLimit;
    PromptHolders holders;
    CrashNotes crashes;
    Placement placement;
    RetryAllowance retries;
    ReachProber prober;
    StoreFeed planFeed;
    StoreFeed endpointFeed;
    StoreFeed domainFeed;
    StoreFeed hostFeed;
    FleetExchange exchange;
    Forwarder forwarder;
    std::optional<TimePoint> stoppingSince;
    std::size_t requests = 0;
};

} // namespace berylwing
