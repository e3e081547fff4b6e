#pragma once

#include "berylwing/core/enum_names.hpp"

namespace berylwing {

/** @brief Reasons for which a request is refused. */
enum class Refusal {
    MissingKey,
    UnknownWorkspace,
    BadRequest,
    BodyTooLarge,
    TooManyHeaders,
    /** The caller did not send the request in time. */
    SlowSender,
    UnknownRoute,
    UnknownModel,
    UnknownService,
    MissingIdempotencyKey,
    BadIdempotencyKey,
    ExpiredIdempotencyKey,
    KeyReusedForOtherRequest,
    RateLimit,
    TokenLimit,
    ConcurrencyLimit,
    QueueFull,
    DeadlinePassed,
    NoEndpoint,
    /** The endpoint has as many requests in flight as its limit or the bound on its share of the load allows. */
    EndpointAtBound,
    /** The endpoint is still warming up and its reduced limit is reached. */
    EndpointCold,
    EndpointLeaving,
    /** The host that received the request does not own the endpoint. */
    NotOwner,
    /** Peers do not confirm that the host owns the endpoint, and it has no share of the limit without them. */
    OwnerInDoubt,
    /** The chat of the request is placed at another endpoint. */
    PlacedElsewhere,
    HostLeaving,
    /** There is no connection to the host that owns the endpoint. */
    LinkDown,
    /** The host that owns the endpoint stopped sending. */
    LinkSilent,
    EndpointUnreachable,
    EndpointBroken,
    StreamIncomplete,
    /** The ledger of idempotency keys cannot be read or written. */
    LedgerUnavailable,
    /** Another host owns the ledger now. */
    LedgerMoved,
    /** The request with this idempotency key was executed, but its response was too large to be stored. */
    AlreadyRan,
    /** The request with this idempotency key may have been executed; its result is unknown. */
    MayHaveRan,
    /** The request broke its connection at several endpoints and is no longer executed. */
    Quarantined,
    RetryBudgetSpent,
    CallerGone,
    /** The workspace already uses its fair share of the endpoint. */
    OverFairShare,
    /** Another request that is suspected of crashing endpoints is running at the endpoint. */
    SuspectRunning,
    SameRequestRunning,
    /** The host has not received its configuration yet. */
    ConfigurationUnknown,
    /** The host could not confirm its configuration for too long. */
    ConfigurationStale,
    /** The host failed for a reason of its own, such as lack of memory. */
    InternalError,
    /** It is not known which software version began the stream that the caller resumes. */
    StreamVersionUnknown,
    /** No endpoint of the software version that began the stream is in service. */
    NoEndpointOfVersion,
    /** The service has no room for requests of this urgency. */
    NoRoom,
    /** The service has room, but no endpoint can answer the request in its time. */
    CannotBeOnTime,
    /** The memory or the descriptors for callers' connections of this host are in use. */
    HostAtBound,
};

/** @brief Names of the refusal reasons in responses, logs and metrics. */
inline constexpr EnumNames<Refusal, 49> kRefusalNames { {
    "missing_key",
    "unknown_workspace",
    "bad_request",
    "body_too_large",
    "too_many_headers",
    "slow_sender",
    "unknown_route",
    "unknown_model",
    "unknown_service",
    "missing_idempotency_key",
    "bad_idempotency_key",
    "expired_idempotency_key",
    "key_reused_for_other_request",
    "rate_limit",
    "token_limit",
    "concurrency_limit",
    "queue_full",
    "deadline_passed",
    "no_endpoint",
    "endpoint_at_bound",
    "endpoint_cold",
    "endpoint_leaving",
    "not_owner",
    "owner_in_doubt",
    "placed_elsewhere",
    "host_leaving",
    "link_down",
    "link_silent",
    "endpoint_unreachable",
    "endpoint_broken",
    "stream_incomplete",
    "ledger_unavailable",
    "ledger_moved",
    "already_ran",
    "may_have_ran",
    "quarantined",
    "retry_budget_spent",
    "caller_gone",
    "over_fair_share",
    "suspect_running",
    "same_request_running",
    "configuration_unknown",
    "configuration_stale",
    "internal_error",
    "stream_version_unknown",
    "no_endpoint_of_version",
    "no_room",
    "cannot_be_on_time",
    "host_at_bound",
} };

/** @brief Reasons for which a request to an endpoint, a ledger or the platform is retried. */
enum class Retry {
    /** The next endpoint in the order of preference is tried. */
    NextCandidate,
    /** The next host that may own the ledger is tried. */
    OtherLedgerOwner,
    /** A stream that broke is resumed at the offset up to which the caller has it. */
    ResumeAtOffset,
    /** A request that may have been executed is repeated; the caller has received nothing of the response. */
    RunAgainElsewhere,
    /** A write to the platform found another version of the object, which is then read. */
    PlatformConflict,
    /** The result of a write to the platform is unknown, so the object is read. */
    PlatformReadBack,
};

/** @brief Names of the retry reasons in metrics. */
inline constexpr EnumNames<Retry, 6> kRetryNames { {
    "next_candidate",
    "other_ledger_owner",
    "resume_at_offset",
    "run_again_elsewhere",
    "platform_conflict",
    "platform_read_back",
} };

/** @brief Notable events in the fleet, counted in metrics. */
enum class Incident {
    /** Peers stopped confirming that this host owns an endpoint. */
    DoubtBegan,
    DoubtEnded,
    /** Another host confirmed that it took over an endpoint from this one. */
    HandoffSent,
    /** This host took over an endpoint from another one. */
    HandoffTaken,
    /** This host started to stand in for the silent owner of an endpoint. */
    OwnershipLapsed,
    /** A message for an attempt that has ended was dropped. */
    StaleAttemptDropped,
    DuplicateChunkDropped,
    DuplicateAttemptDropped,
    /** An endpoint lost its warm state, for example by a restart. */
    EndpointColdAgain,
    /** A call to an endpoint failed as if the endpoint had died. */
    EndpointDied,
    PeerSilent,
    RosterTaken,
    ConfigurationTaken,
    StaleConfigurationIgnored,
    LedgerTakenOver,
    LedgerLost,
    /** A claimed idempotency key was released because its request did not run. */
    ClaimReleased,
    /** The claim of an idempotency key was dropped because the platform did not confirm it. */
    ClaimAbandoned,
    RequestQuarantined,
    LogLineDropped,
    /** A host that had missed changes got no reply yet, because the replies to others take the allowed bytes. */
    NewsReplyDeferred,
    /** An endpoint told of its load what cannot be right, which is not used. */
    LoadFigureIgnored,
    /** Another host has served a request whose endpoints this host does not reach. */
    RequestRelayed,
    /** Another host was not reached, or has not served such a request. */
    RelayFailed,
};

/** @brief Names of the incidents in metrics. */
inline constexpr EnumNames<Incident, 24> kIncidentNames { {
    "doubt_began",
    "doubt_ended",
    "handoff_sent",
    "handoff_taken",
    "ownership_lapsed",
    "stale_attempt_dropped",
    "duplicate_chunk_dropped",
    "duplicate_attempt_dropped",
    "endpoint_cold_again",
    "endpoint_died",
    "peer_silent",
    "roster_taken",
    "configuration_taken",
    "stale_configuration_ignored",
    "ledger_taken_over",
    "ledger_lost",
    "claim_released",
    "claim_abandoned",
    "request_quarantined",
    "log_line_dropped",
    "news_reply_deferred",
    "load_figure_ignored",
    "request_relayed",
    "relay_failed",
} };

} // namespace berylwing
