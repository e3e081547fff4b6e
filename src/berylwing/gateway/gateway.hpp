#pragma once

#include "berylwing/admission/admission_control.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/cost/cost_model.hpp"
#include "berylwing/gateway/answer_times.hpp"
#include "berylwing/gateway/cold_rate_limit.hpp"
#include "berylwing/gateway/crash_quarantine.hpp"
#include "berylwing/gateway/demand_exchange.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/endpoint_rate_limits.hpp"
#include "berylwing/gateway/endpoint_reach.hpp"
#include "berylwing/gateway/fleet_exchange.hpp"
#include "berylwing/gateway/fleet_retry_budget.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/forwarder.hpp"
#include "berylwing/gateway/gateway_rollouts.hpp"
#include "berylwing/gateway/gateway_settings.hpp"
#include "berylwing/gateway/host_registration.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include "berylwing/gateway/isolation_detector.hpp"
#include "berylwing/gateway/placement.hpp"
#include "berylwing/gateway/plan_lease.hpp"
#include "berylwing/gateway/prompt_cache_index.hpp"
#include "berylwing/gateway/protocol.hpp"
#include "berylwing/gateway/reachability_prober.hpp"
#include "berylwing/gateway/relay_hosts.hpp"
#include "berylwing/gateway/service_versions.hpp"
#include "berylwing/gateway/start_hold.hpp"
#include "berylwing/gateway/stop_schedule.hpp"
#include "berylwing/gateway/store_era.hpp"
#include "berylwing/gateway/store_feed.hpp"
#include "berylwing/gateway/stream_version_index.hpp"
#include "berylwing/gateway/version_exchange.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace berylwing {

/** @brief External functions and values that a gateway depends on. */
struct GatewayDependencies {
    PlatformClient::Transport platform;
    SessionFactory open;
    /** Sends a message to another host; best effort, the message may be dropped. */
    std::function<void(const SocketAddress&, const std::string& bytes)> sendToHost;
    DecisionLog::Writer logWriter;
    /** Start time of the process in milliseconds since the Unix epoch (1970). */
    std::uint64_t incarnation = 0;
    /** Connects to another host; empty if requests are not passed on. */
    HostSessionFactory openHost {};
};

/**
 * @brief Host that forwards callers' requests directly to the endpoints.
 *
 * It follows the platform's store (routing plan, endpoints, withdrawn failure domains, hosts), exchanges digests with
 * the other hosts and places each request at an endpoint.
 */
class Gateway {
    [[nodiscard]] StoreFeedHooks makeFeedHooks(std::function<Duration()> watcherTtl);
    [[nodiscard]] StoreFeedHooks makePlanHooks();
    [[nodiscard]] StoreFeedHooks makeEndpointHooks();
    [[nodiscard]] StoreFeedHooks makeDomainHooks();
    [[nodiscard]] StoreFeedHooks makeHostHooks();
    [[nodiscard]] ServiceVersionsHooks makeVersionHooks();
    /** Creates the roll-outs if the deployment has them. */
    [[nodiscard]] std::unique_ptr<GatewayRollouts> makeRollouts();
    /** Returns the feeds whose news are relayed to other hosts. */
    [[nodiscard]] std::vector<StoreFeed*> feeds();
    /** Checks if this host knows all recent changes of the endpoints. */
    [[nodiscard]] bool isEndpointListCurrent() const;
    [[nodiscard]] bool isWatchedByPeer(Duration ttl) const;
    [[nodiscard]] Duration watcherTtl() const;
    /** Registers this host, then follows the list of hosts. */
    [[nodiscard]] Task<void> runHostFeed();
    /** Checks if this host has just started and may yet hear the watcher of its group. */
    [[nodiscard]] bool isWatcherAwaited() const;
    void applyPlan(const VersionedObject& object);
    void applyEndpoint(const VersionedObject& object);
    void applyDomain(const VersionedObject& object);
    void requireLists();
    /** Extends the lease of the plan unless another host has a newer one. */
    void confirmPlan();
    [[nodiscard]] Task<void> runMaintenance();
    /** Checks if the answer to a request can end before the exit, by the longest answer of late of its route. */
    [[nodiscard]] bool canEndBeforeExit(const GatewayRequest& request, const Route* route) const;
    void applyHost(const VersionedObject& object);
    void retainHosts(const std::set<std::string, std::less<>>& names);
    void logHostCount();
    void logWatcher();
    void logReadiness();
    /** Returns why this host is not ready for new connections; empty if it is ready. */
    [[nodiscard]] std::string_view unreadyReason() const;
    /** Returns the plan by which requests are served; a null pointer while the plan or the list of hosts is unknown. */
    [[nodiscard]] std::shared_ptr<const RoutingPlan> usablePlan() const;
    [[nodiscard]] FleetExchangeDependencies makeExchangeDependencies(
        std::function<void(const SocketAddress&, const std::string&)> sendToHost);
    [[nodiscard]] ForwarderDependencies makeForwarderDependencies(SessionFactory open, HostSessionFactory openHost);
    /** Checks if it is this host's turn to probe an unreachable store, which it last called at a time. */
    [[nodiscard]] bool isProbeDue(TimePoint triedAt) const;
    /** Checks if another host has a newer plan and neither news nor a call to the store have brought it in time. */
    [[nodiscard]] bool isPlanOvertaken() const;
    /**
     * Returns the delay after which it is this host's turn to fetch a plan that its group has missed, so that the hosts
     * that come first can pass it on.
     */
    [[nodiscard]] Duration planFetchTurn() const;
    [[nodiscard]] Task<void> fetchNewerPlan();
    /** Brings the list of endpoints up to date unless it was confirmed a moment ago. */
    [[nodiscard]] Task<bool> refreshEndpoints();
    [[nodiscard]] AdmissionHooks makeAdmissionHooks();
    /** Adds up what the endpoints of a service can do that may get requests. */
    [[nodiscard]] ServiceCapacity capacityOf(std::string_view service) const;

public:
    /** @brief Scope in which a request counts as in progress: from its reading until its answer is fully written. */
    class RequestInProgress {
    public:
        /** @brief Starts counting a request. @param servingGateway Gateway that serves it. */
        explicit RequestInProgress(Gateway& servingGateway)
            : gateway { servingGateway }
        {
            ++this->gateway.requestsInProgress;
        }

        ~RequestInProgress() { --this->gateway.requestsInProgress; }
        RequestInProgress(const RequestInProgress&) = delete;
        RequestInProgress& operator=(const RequestInProgress&) = delete;

    private:
        Gateway& gateway;
    };

    /**
     * @brief Creates a gateway without a plan and without endpoints.
     * @param hostClock Clock of the host.
     * @param gatewaySettings Settings.
     * @param platformProtocol Field names and document formats of the platform.
     * @param dependencies External functions and values.
     */
    Gateway(Clock& hostClock, const GatewaySettings& gatewaySettings, const GatewayProtocol& platformProtocol,
        GatewayDependencies dependencies);

    /** @brief Starts the store feeds, the digest exchange and the periodic maintenance. */
    void start();

    /** @brief Checks if this host is ready for new connections. @return True if it can serve requests. */
    [[nodiscard]] bool isReady() const { return this->unreadyReason().empty(); }

    /** @brief Checks if the host is stopping. @return True after beginStop(). */
    [[nodiscard]] bool isStopping() const noexcept { return this->stop.hasBegun(); }

    /** @brief Checks if new requests are refused because the host stops. @return True late in a stop. */
    [[nodiscard]] bool isRefusingRequests() const { return this->stop.isRefusingAll(this->clock.now()); }

    /** @brief Returns the times of the graceful stop. @return Schedule. */
    [[nodiscard]] const StopSchedule& stopSchedule() const noexcept { return this->stop; }

    /** @brief Begins a graceful stop; the readiness check fails, so that the balancer sends no new connections. */
    void beginStop();

    /** @brief Ends all requests in progress: their calls are aborted, and handle() returns a refusal for each. */
    void endRequests();

    /** @brief Applies changed settings: lease, retry bounds, change deadlines, stop grace. @param next Settings. */
    void reload(const GatewaySettings& next);

    /** @brief Removes this host's entry from the store. @return Awaitable. */
    [[nodiscard]] Task<void> unregisterHost() { return this->registration.stop(); }

    /** @brief Returns the bounds on callers. @return Bounds of the current plan; defaults without a plan. */
    [[nodiscard]] CallerBounds callerBounds() const;

    /**
     * @brief Handles a request.
     * @param request Request.
     * @param sink Receives the answer.
     * @return Outcome; an unexpected exception is logged and becomes one whose execution is unknown.
     * @throws CallerGoneError If the caller has disconnected.
     */
    [[nodiscard]] Task<Outcome> handle(GatewayRequest& request, const ResponseWriter& sink);

    /** @brief Finds another host by the address of its connection. @param address Address. @return Its name, or empty.
     */
    [[nodiscard]] std::string findHost(std::string_view address) const
    {
        const auto* host = this->roster.findByAddress(address);
        return host == nullptr ? std::string {} : host->name;
    }

    /** @brief Processes a message from another host. @param address Sender. @param bytes Message. */
    void receive(const std::string& address, std::string_view bytes) { this->exchange.receive(address, bytes); }

    /**
     * @brief Counts and logs a request that is refused outside of handle().
     * @param attemptId Attempt; empty if it was not read.
     * @param reason Reason.
     * @param error Description of the failure.
     */
    void recordRefusal(std::string_view attemptId, Refusal reason, std::string_view error);

    /** @brief Returns the decision log. @return Log. */
    [[nodiscard]] DecisionLog& decisionLog() noexcept { return this->log; }

    /** @brief Returns the metrics. @return Metrics. */
    [[nodiscard]] const Metrics& metrics() const noexcept { return this->hostMetrics; }

    /** @brief Describes the roll-outs of services. @return JSON list; empty if there are none. */
    [[nodiscard]] nlohmann::json describeRollouts() const;

    /** @brief Returns the platform's protocol. @return Field names and document formats. */
    [[nodiscard]] const GatewayProtocol& platformProtocol() const noexcept { return this->protocol; }

    /** @brief Counts the requests in progress. @return Requests whose answer is not fully written. */
    [[nodiscard]] std::size_t inProgress() const noexcept { return this->requestsInProgress; }

private:
    Clock& clock;
    const GatewaySettings& settings;
    const GatewayProtocol& protocol;
    ChangeDeadlines changeDeadlines;
    Metrics hostMetrics;
    DecisionLog log;
    PlatformClient client;
    StoreEra storeEra;
    HostRegistration registration;
    PlanLease lease;
    std::shared_ptr<const RoutingPlan> plan;
    /** Time up to which the store is known to have held no other plan. */
    TimePoint planConfirmedAt {};
    bool isFetchingPlan = false;
    TimePoint startedAt {};
    /** Time of the first list of hosts. */
    std::optional<TimePoint> hostsListedAt;
    EndpointDirectory directory;
    HostRoster roster;
    /** Whether the next list of hosts is the first one of a restored store. */
    bool isHostListRestored = false;
    std::size_t loggedHostCount = 1;
    /** Host whose store watch this host relies on, as last logged; empty if this host watches the store itself. */
    std::string loggedWatcher;
    /** Result of unreadyReason() as last logged. */
    std::string_view loggedUnreadyReason = "starting";
    FleetView fleet;
    IsolationDetector isolationDetector;
    ColdRateLimit coldLimit;
    EndpointRateLimits rateLimits;
    AnnouncedStops announcedStops;
    StreamVersionIndex streamVersions;
    PromptCacheIndex holders;
    CrashQuarantine crashes;
    UnseenRequests unseenRequests;
    CostModel costs;
    AdmissionMetrics admissionMetrics;
    AdmissionControl admission;
    DemandExchange demandExchange;
    Placement placement;
    FleetRetryBudget retries;
    ReachabilityProber prober;
    BrittleEndpoints brittleEndpoints;
    EndpointReach reach;
    RelayHosts relayHosts;
    StoreFeed planFeed;
    StoreFeed endpointFeed;
    StoreFeed domainFeed;
    StoreFeed hostFeed;
    VersionExchange versionExchange;
    ServiceVersions serviceVersions;
    /** Null pointer if the deployment has no roll-outs. */
    std::unique_ptr<GatewayRollouts> rollouts;
    FleetExchange exchange;
    Forwarder forwarder;
    StartHold startHold;
    StopSchedule stop;
    AnswerTimes answerTimes;
    boost::intrusive::list<GatewayRequest, boost::intrusive::constant_time_size<false>> openRequests;
    std::size_t requestsInProgress = 0;
};

} // namespace berylwing
