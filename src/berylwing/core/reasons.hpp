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
    EndpointAtBound,
    EndpointCold,
    EndpointLeaving,
    NotOwner,
    OwnerInDoubt,
    PlacedElsewhere,
    HostLeaving,
    LinkDown,
    LinkSilent,
    EndpointUnreachable,
    EndpointBroken,
    StreamIncomplete,
    LedgerUnavailable,
    LedgerMoved,
    AlreadyRan,
    MayHaveRan,
    Quarantined,
    RetryBudgetSpent,
    CallerGone,
};

/** @brief Names of the refusal reasons, as they stand in answers, logs and metrics. */
inline constexpr EnumNames<Refusal, 38> kRefusalNames { {
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
} };

/** @brief Reasons for which one more attempt is made. */
enum class Retry {
    NextCandidate,
    OtherLedgerOwner,
    ResumeAtOffset,
    RunAgainElsewhere,
    PlatformConflict,
    PlatformReadBack,
};

/** @brief Names of the retry reasons. */
inline constexpr EnumNames<Retry, 6> kRetryNames { {
    "next_candidate",
    "other_ledger_owner",
    "resume_at_offset",
    "run_again_elsewhere",
    "platform_conflict",
    "platform_read_back",
} };

/** @brief Events inside the fleet that operators count. */
enum class Incident {
    DoubtBegan,
    DoubtEnded,
    HandoffSent,
    HandoffTaken,
    OwnershipLapsed,
    StaleAttemptDropped,
    DuplicateChunkDropped,
    DuplicateAttemptDropped,
    EndpointColdAgain,
    EndpointDied,
    PeerSilent,
    RosterTaken,
    ConfigurationTaken,
    StaleConfigurationIgnored,
    LedgerTakenOver,
    LedgerLost,
    ClaimReleased,
    ClaimAbandoned,
    RequestQuarantined,
    LogLineDropped,
};

/** @brief Names of the incidents. */
inline constexpr EnumNames<Incident, 20> kIncidentNames { {
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
} };

} // namespace berylwing
