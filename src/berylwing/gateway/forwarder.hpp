#pragma once

#include "berylwing/admission/fwd.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/cost/fwd.hpp"
#include "berylwing/gateway/announced_stops.hpp"
#include "berylwing/gateway/crash_quarantine.hpp"
#include "berylwing/gateway/endpoint_rate_limits.hpp"
#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/gateway/fleet_retry_budget.hpp"
#include "berylwing/gateway/placement.hpp"
#include "berylwing/gateway/plan_lease.hpp"
#include "berylwing/gateway/protocol.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <functional>
#include <memory>
#include <string>

namespace berylwing {

class BrittleEndpoints;
class EndpointReach;
class GatewayRollouts;
class Metrics;
class RelayHosts;
class ServiceVersions;
class StreamVersionIndex;
struct HostEntry;

/** @brief Writes the response to a caller; each function throws CallerGoneError if the caller has disconnected. */
struct ResponseWriter {
    /** Writes the status line and headers; called once, before the body. */
    std::function<Task<void>(const ResponseHead&)> head;
    /** Writes the next bytes of the body. */
    std::function<Task<void>(std::string_view)> body;
};

/** @brief Returns the current routing plan; a null pointer before the first one is loaded. */
using RoutingPlanProvider = std::function<std::shared_ptr<const RoutingPlan>()>;

/** @brief Components of the host that a forwarder uses. */
struct ForwarderDependencies {
    const Clock& clock;
    const GatewayProtocol& protocol;
    RoutingPlanProvider plan;
    const PlanLease& lease;
    const EndpointDirectory& directory;
    const Placement& placement;
    /** Returns the age of what this host knows of the other hosts' requests. */
    std::function<Duration()> loadAge;
    PromptCacheIndex& promptCache;
    CrashQuarantine& crashQuarantine;
    FleetRetryBudget& retryBudget;
    UnseenRequests& unseenRequests;
    CostModel& costs;
    AdmissionControl& admission;
    EndpointRateLimits& rateLimits;
    AnnouncedStops& announcedStops;
    BrittleEndpoints& brittleEndpoints;
    StreamVersionIndex& streamVersions;
    ServiceVersions& serviceVersions;
    /** Brings the list of endpoints up to date; returns false if the store does not answer. */
    std::function<Task<bool>()> refreshEndpoints;
    SessionFactory openSession;
    /** Connects to another host that serves a request in place of this one; empty if requests are not passed on. */
    HostSessionFactory openHost;
    EndpointReach& reach;
    RelayHosts& relayHosts;
    /** Reports an endpoint that stopped responding. */
    std::function<void(GatewayEndpoint&)> reportSilence;
    Metrics& metrics;
    DecisionLog& log;
    /** Roll-outs; a null pointer if the deployment has none. */
    GatewayRollouts* rollouts = nullptr;
};

/** @brief Forwards callers' requests to endpoints, relays the responses and retries failed attempts. */
class Forwarder {
    /** Version that began a stream, and how this host knows it. */
    struct StreamOrigin {
        std::optional<std::uint32_t> version;
        std::string_view source;
    };

    /** Result of one attempt to have an endpoint answer the request. */
    enum class AttemptResult {
        /** The response was relayed completely. */
        Completed,
        /** The endpoint has not executed the request. */
        NotRun,
        /** The attempt failed after the request was sent, so that the endpoint may have executed it. */
        MayHaveRun,
        /** The deadline of the request has passed, or this host has ended it. */
        TimedOut,
    };

    struct RequestContext;

    /** Matches the request with a route and fills in the context. @return Refusal if the request is not acceptable. */
    [[nodiscard]] std::optional<NotRun> prepare(RequestContext& context) const;
    /** Chooses the service of a request, and tells if the request resumes a stream and which one. */
    static void chooseService(RequestContext& context);
    /** Finds the software version that began a stream of which this host has no record. */
    [[nodiscard]] Task<StreamOrigin> findVersion(const RequestContext& context);
    /** Checks if this host knows an endpoint of a version, available or not. */
    [[nodiscard]] bool hasEndpointOf(std::string_view service, std::uint32_t version) const;
    /** Finds the software version at which a resumed stream has to go on. @return Refusal if it is not known. */
    [[nodiscard]] Task<std::optional<NotRun>> resolveVersion(RequestContext& context);
    /** Returns why no endpoint can be chosen, apart from the reason of the last attempt. */
    [[nodiscard]] std::optional<Refusal> findShortage(const RequestContext& context) const;
    /**
     * Records which software version began the stream whose event is to be passed on. @return False if the endpoint may
     * run another version than the one that began the stream, so that nothing of it may be passed on.
     */
    [[nodiscard]] bool recordStreamVersion(RequestContext& context);
    /** Checks if another host has to serve the request, since this one does not reach the endpoints of its service. */
    [[nodiscard]] bool mustRelay(const RequestContext& context) const;
    /** Begins to serve a request that another host has passed on. @return Refusal if this host cannot serve it. */
    [[nodiscard]] std::optional<Outcome> takeOver(RequestContext& context) const;
    /**
     * Passes the request on to another host. @param isCounted Whether this host counts it among those for its service.
     * @return Outcome; nothing if no host takes it and it has not run.
     */
    [[nodiscard]] Task<std::optional<Outcome>> relay(RequestContext& context, bool isCounted);
    [[nodiscard]] Task<Outcome> exchangeWithHost(RequestContext& context, EndpointSession& session, bool isCounted);
    /** Passes the answer of another host on to the caller. */
    [[nodiscard]] Task<void> relayHostAnswer(
        RequestContext& context, const ResponseHead& head, EndpointSession& session);
    void logRelay(const RequestContext& context, const HostEntry& host, std::string_view error);
    /** Decides if a request may be sent now. @return Refusal if its service has no room for it. */
    [[nodiscard]] std::optional<NotRun> admit(RequestContext& context);
    /** Checks if a request that failed may be sent again although its service may have no room. */
    [[nodiscard]] bool hasRoomForRetry(const RequestContext& context) const;
    /** Records for how long a complete answer waited at its endpoint. */
    void recordWait(const RequestContext& context);
    /** Chooses an endpoint among those that the roll-outs of the service allow. @return Null pointer if there is none.
     */
    [[nodiscard]] GatewayEndpointPtr placeRequest(const RequestContext& context);
    /** Checks if a version must not get the request that is about to be sent. */
    [[nodiscard]] bool isStopped(const RequestContext& context, const GatewayEndpoint& endpoint) const;
    /** Leaves out the endpoints on trial, which may have no room in their share when the request is sent again. */
    void excludeTrials(const RequestContext& context, PlacementRequest& request) const;
    /** Begins to watch the answer to a request that is about to be sent, as evidence of its version. */
    void observeAnswer(RequestContext& context, const GatewayEndpoint& endpoint, std::uint32_t unreadTokens);
    void finishObservation(RequestContext& context, bool isFailure);
    /** Chooses an endpoint for the next attempt. @return Outcome of the request if there is to be no such attempt. */
    [[nodiscard]] std::optional<Outcome> chooseEndpoint(RequestContext& context, GatewayEndpointPtr& endpoint);
    /**
     * Returns the outcome of a request that is not retried; it depends on whether an endpoint may have executed it. The
     * delay is the shortest after which a request that was not executed may be sent again.
     */
    [[nodiscard]] Outcome failureOf(const RequestContext& context, Refusal reason, Duration delay = {}) const;
    /** Returns why no further attempt may begin; nothing while the request may go on. */
    [[nodiscard]] std::optional<Refusal> endOf(const RequestContext& context) const;
    [[nodiscard]] static bool canRetry(const RequestContext& context, AttemptResult result);
    /** Checks if a request may run again after a number of executions. */
    [[nodiscard]] static bool canRunAgain(const RequestContext& context, unsigned executions);
    /** Takes the retry that follows if the call in progress is aborted. @return False if there would be none. */
    [[nodiscard]] bool reserveRetry(RequestContext& context);
    /** Returns which idle connections the next attempt may use. */
    [[nodiscard]] static ConnectionReuse chooseConnectionReuse(
        const RequestContext& context, const GatewayEndpoint& endpoint);
    [[nodiscard]] Task<AttemptResult> attempt(RequestContext& context, GatewayEndpointPtr endpoint);
    /** Sends the request and handles the response. */
    [[nodiscard]] Task<AttemptResult> exchange(
        RequestContext& context, GatewayEndpoint& endpoint, EndpointSession& session);
    [[nodiscard]] Task<AttemptResult> relayResponse(
        RequestContext& context, const ResponseHead& head, EndpointSession& session, RetryableCall& call);
    /** Reads the body of a rejection, or closes its connection if that would take too long. */
    [[nodiscard]] static Task<void> skipRejection(EndpointSession& session, TimePoint deadline);
    [[nodiscard]] static PlacementRequest placementRequestOf(const RequestContext& context);
    /** Records that an endpoint receives the prompt. @return Tokens that the endpoint has to process. */
    [[nodiscard]] std::uint32_t recordPrompt(const RequestContext& context, const GatewayEndpoint& endpoint,
        const GatewayEndpointPtr& cacheSource, LogLine& line);
    [[nodiscard]] EndpointRequest toEndpointRequest(
        const RequestContext& context, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& cacheSource) const;
    /** Checks if the key of the request is known to be valid; a plan whose lease has run out does not prove it. */
    [[nodiscard]] bool isAuthorized(const RequestContext& context) const;
    /** Lists what may be the cause if the request crashes an endpoint. */
    [[nodiscard]] static const std::vector<CrashSuspect>& suspectsOf(RequestContext& context);
    /** Passes a part of the answer on to the caller. */
    [[nodiscard]] Task<void> relayPart(RequestContext& context, const ResponseHead& head, std::string_view part);
    /** Clears the request of crashing endpoints, since one has answered it. */
    void recordAnswer(RequestContext& context, const ResponseHead& head);
    /** Records what the head of a response tells of its endpoint: a limit, a pause, its stop. */
    void recordAnnouncements(GatewayEndpoint& endpoint, const ResponseHead& head);
    [[nodiscard]] Task<void> writeHead(RequestContext& context, const ResponseHead& head);
    /** Records a rejection that is not passed on, because its endpoint may have run the request. */
    void recordUnprovenRejection(RequestContext& context, GatewayEndpoint& endpoint, unsigned status);
    /** Returns what the estimates of a request's cost depend on. */
    [[nodiscard]] static RequestShape shapeOf(const RequestContext& context);
    /** Estimates the cost of a request whose route is known. */
    void estimateCost(RequestContext& context) const;
    /** Notes what an endpoint has to do when it gets the request. @param unreadTokens Tokens of the prompt to process.
     */
    void beginTiming(RequestContext& context, const GatewayEndpoint& endpoint, std::uint32_t unreadTokens) const;
    /** Returns the tokens that a request may come to hold in the memory of an endpoint. */
    [[nodiscard]] static std::uint32_t heldTokensOf(const RequestContext& context);
    /** Notes the arrival of the head of an answer. */
    void recordHeadTime(RequestContext& context) const;
    /** Notes the arrival of a part of an answer; learns the pace of the endpoint from the first event of a stream. */
    void recordPartTime(RequestContext& context, bool isStream) const;
    /** Learns from a complete answer what requests of its kind cost, and the pace of the endpoint. */
    void recordCost(const RequestContext& context, GatewayEndpoint& endpoint, const ResponseHead& head);
    void recordResult(GatewayEndpoint& endpoint, EndpointResult result);
    /** Records that a session could not be opened. */
    void recordUnreachable(GatewayEndpoint& endpoint, const EndpointError& error);
    /** Records that a session was opened. */
    void recordConnected(const GatewayEndpoint& endpoint, const EndpointSession& session);
    void recordFault(GatewayEndpoint& endpoint, const EndpointError& error, EndpointResult result);

public:
    /** @brief Creates a forwarder. @param hostDependencies Components of the host. */
    explicit Forwarder(ForwarderDependencies hostDependencies);

    /**
     * @brief Forwards a request and relays its response.
     * @param request Request.
     * @param writer Writes the response to the caller.
     * @return Outcome of the request; a failure after the head was written means that the response is incomplete.
     * @throws CallerGoneError If the caller has disconnected.
     */
    [[nodiscard]] Task<Outcome> forward(GatewayRequest& request, const ResponseWriter& writer);

private:
    ForwarderDependencies dependencies;
};

} // namespace berylwing
