#pragma once

#include "berylwing/cost/cost_estimate.hpp"
#include "berylwing/gateway/endpoint_load.hpp"
#include "berylwing/gateway/event_splitter.hpp"
#include "berylwing/gateway/forwarder.hpp"
#include "berylwing/rollout/answer_watch.hpp"
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief Size up to which a response is buffered before any of it is written to the caller, so that the request can be
 * retried if the response breaks.
 */
inline constexpr std::size_t kMaxBufferedBytes = 64 * 1024;

/** @brief Size up to which an incomplete event is buffered; the events of a model have a few hundred bytes. */
inline constexpr std::size_t kMaxEventBytes = 256 * 1024;

/** @brief Time after the deadline for the endpoint's own response that the deadline has passed. */
inline constexpr Duration kDeadlineTolerance { 40 };

/** @brief Checks if a status tells of success. @param status Status. @return True if so. */
[[nodiscard]] constexpr bool isSuccess(unsigned status)
{
    constexpr unsigned kFirstSuccess = 200;
    constexpr unsigned kFirstRedirect = 300;
    return status >= kFirstSuccess && status < kFirstRedirect;
}

/** @brief Checks if a response is a stream of events. @param head Head of the response. @return True if so. */
[[nodiscard]] inline bool isEventStream(const ResponseHead& head)
{
    const auto type = head.fields["Content-Type"];
    return isSuccess(head.status) && std::string_view { type.data(), type.size() }.starts_with("text/event-stream");
}

/** @brief What a host sees of an attempt at an endpoint, from which the cost of requests is learned. */
struct AttemptTiming {
    TimePoint sentAt {};
    /** Time of the head of the answer; empty before it. */
    std::optional<TimePoint> headAt {};
    /** Time of the first event of a stream; empty before it. */
    std::optional<TimePoint> firstEventAt {};
    /** Prompt tokens that the endpoint had to process before its first event, those of other requests included. */
    double pendingTokens = 0;
    /** Other unfinished requests at the endpoint at the time of the send. */
    double load = 0;
    /** Events of the stream that earlier attempts brought. */
    std::uint32_t earlierEvents = 0;
    /** Events whose tokens are no longer expected. */
    std::uint32_t countedEvents = 0;
};

/** @brief State of a request while it is forwarded. */
struct Forwarder::RequestContext {
    GatewayRequest& request;
    const ResponseWriter& writer;
    std::shared_ptr<const RoutingPlan> plan;
    const Route* route = nullptr;
    /** Workspace of the request's key; a null pointer if the route or the plan requires no key. */
    const KeyHolder* holder = nullptr;
    std::string service {};
    ServiceTraits traits {};
    /** Hash of the attempt id. */
    std::uint64_t requestHash = 0;
    /** Segment of the prompt that determines the endpoint; a null pointer without segments or a sticky route. */
    const PromptSegment* sharedSegment = nullptr;
    /** Hash of that segment's id. */
    std::uint64_t promptKey = 0;
    std::uint32_t sharedTokens = 0;
    TimePoint deadline {};
    /** Whether the caller resumes a stream. */
    bool isTakeUp = false;
    /** Hash of the attempt that brought the first event of the stream; zero if the caller resumes one and names none.
     */
    std::uint64_t stream = 0;
    /** Software version at which the stream goes on, as GatewayEndpoint::versionHash; nothing before its first event.
     */
    std::optional<std::uint32_t> version {};
    /** Endpoint whose version is recorded for the stream. */
    GatewayEndpointPtr recordedEndpoint {};
    /** Endpoints of earlier attempts, which are not chosen again. */
    std::vector<GatewayEndpointPtr> tried {};
    /** Expected cost of the request at an endpoint that has nothing of its prompt in its cache. */
    CostEstimate cost {};
    /** What was seen of the answer to the last attempt. */
    AttemptTiming timing {};
    /** Counts the work of the current attempt at its endpoint; valid while its answer is read. */
    WorkReservation* work = nullptr;
    /** Load on which the last choice of an endpoint was based. */
    LoadBelief load {};
    Duration loadAge {};
    unsigned attempts = 0;
    /** Attempts in which the endpoint may have executed the request. */
    unsigned executions = 0;
    /** Whether all hosts that were asked to serve the request have handed it back. */
    bool isHandedBack = false;
    bool isHeadWritten = false;
    /** Whether the head that was written is that of an event stream. */
    bool isStreamBegun = false;
    /** Parts of the answer to the last attempt that were passed on, each with one or more events. */
    unsigned relayedParts = 0;
    /** Whether the next attempt has its retry from the budget. */
    bool isRetryReserved = false;
    /** Whether this host aborted the call because the endpoint was silent, so that the request is not to blame. */
    bool isAbortedByHost = false;
    EventSplitter events {};
    /** What may be the cause of a crash; empty until it is needed. */
    std::vector<CrashSuspect> suspects {};
    /** Answer of the last attempt, while it is to be counted as evidence of its version. */
    WatchedAnswer observation {};
    /** Status of the last rejection by an endpoint; zero without one. */
    unsigned rejectionStatus = 0;
    /** Reason for which the last attempt failed. */
    Refusal failureReason = Refusal::NoEndpoint;
};

} // namespace berylwing
