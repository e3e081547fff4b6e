#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/reasons.hpp"
#include "berylwing/cost/cost_estimate.hpp"
#include <cstdint>
#include <string_view>

namespace berylwing {

/** @brief Properties of a request that its admission depends on. */
struct AdmissionRequest {
    std::string_view service;
    std::string_view workspace;
    /** Priority of the workspace, or else of the route; zero is the most urgent. */
    unsigned urgency = 0;
    /** Hash of the attempt id. */
    std::uint64_t hash = 0;
    CostEstimate cost;
    /** Latency objective of the answer, or of the first event of a stream; zero if the route has none. */
    Duration targetLatency {};
    /** Time left until the caller gives up. */
    Duration timeLeft {};
    /** Whether the caller was refused before and has come back. */
    bool isReturn = false;
    /** Time since the first attempt of a caller that has come back; zero otherwise. */
    Duration sinceFirstAttempt {};
};

/** @brief What a host knew of a service when it decided on a request. */
struct AdmissionFigures {
    /** Slots' worth of work that the service is given now. */
    double room = 0;
    /** Slots' worth of work that callers ask of the service through all hosts. */
    double demand = 0;
    /** Part of the requests of this kind that is admitted. */
    double part = 1;
    /** Expected wait at an endpoint. */
    Duration wait {};
    /** Mean age of what the other hosts told. */
    Duration viewAge {};
    /** Hosts whose demand is included. */
    double hosts = 1;
};

/** @brief Decision on a request. */
struct AdmissionDecision {
    /** Whether the request may be sent now. */
    bool isAdmitted = true;
    /** Reason of a refusal. */
    Refusal reason = Refusal::NoRoom;
    /** Time after which the caller may come back; zero if there will be no room for it in its time. */
    Duration retryAfter {};
    AdmissionFigures figures {};
};

} // namespace berylwing
