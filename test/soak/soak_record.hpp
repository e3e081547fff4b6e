#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Kinds of requests that the soak sends. */
enum class SoakRequestKind {
    /** Streamed answer that may be resumed. */
    ResumableStream,
    /** Streamed answer that may not be repeated. */
    Stream,
    /** Short call that may be repeated. */
    Lookup,
    /** Short call that may run once at most. */
    Order,
};

/** @brief Names of the kinds, which are the path prefixes of their routes, too. */
inline constexpr EnumNames<SoakRequestKind, 4> kSoakRequestKindNames { { "chat", "draft", "lookup", "order" } };

/** @brief Figures that the pages promise, as the platform hands them to each host. */
struct SoakBounds {
    Duration undisturbedLeadTime { 3000 };
    Duration planPropagation { 2000 };
    Duration keyRevocation { 5000 };
    Duration endpointDrain { 2000 };
    Duration domainWithdrawal { 5000 };
    Duration stopGrace { 8000 };
    Duration recoveryTime { 12'000 };
    /** Time after a request's longest wait, or after its caller has left, in which its work has to end. */
    Duration deadlineSlack { 500 };
    /** Requests a second that a cold endpoint bears, and what is tolerated beyond. */
    double coldRequestsPerSecond = 6;
    /** Time for which an endpoint is cold after its start. */
    Duration coldDuration { 3000 };
    double coldRateFactor = 1.5;
    double coldBurstAllowance = 5;
    unsigned maxAttempts = 2;
};

/** @brief Span of time. */
struct TimeSpan {
    TimePoint from {};
    TimePoint to = TimePoint::max();

    /** @brief Tells whether two spans share a moment. */
    [[nodiscard]] bool overlaps(const TimeSpan& other) const
    {
        return this->from <= other.to && other.from <= this->to;
    }
};

/** @brief One request of a caller and what came back. */
struct SoakAttempt {
    std::string id;
    SoakRequestKind kind {};
    std::string host;
    std::string key;
    /** Version of the plan that brought the route; 0 for routes that are always there. */
    std::uint64_t routePlanVersion = 0;
    TimePoint sentAt {};
    /** Time for which the caller waits. */
    Duration timeout {};
    std::optional<TimePoint> endedAt;
    /** Moment at which the caller closed its connection without waiting for the answer. */
    std::optional<TimePoint> disconnectedAt;
    unsigned status = 0;
    /** Whether the answer came to its end. */
    bool isComplete = false;
    bool isSigned = false;
    /** Whether the bytes that came are those that the endpoint made, from the first one on. */
    bool isIntact = true;
    /** Whether the answer bears the id of the request. */
    bool hasMatchingId = true;
};

/** @brief Arrival of a request at an endpoint. */
struct SoakRun {
    std::string attemptId;
    std::string endpoint;
    TimePoint arrivedAt {};
    /** Whether the endpoint began to work on it. */
    bool hasRun = false;
    std::optional<TimePoint> endedAt;
    /** Whether the endpoint itself crashed or was out of reach meanwhile. */
    bool isDisturbed = false;
    /** Workspace that the host named. */
    std::string workspace;
    /** What the request had that it must not have, or lacked; empty if it was sound. */
    std::string requestDefect;
};

/** @brief Fault or planned work at one host, or at the store and thus at all of them. */
struct SoakDisturbance {
    /** Host; empty for the store. */
    std::string host;
    TimeSpan span;
};

/** @brief Change that the store acknowledged: a route, a key, an endpoint or a domain that leaves. */
struct SoakChange {
    std::string name;
    TimePoint acknowledgedAt {};
    /** Moment at which the store acknowledged that it was taken back. */
    TimePoint revertedAt = TimePoint::max();
};

/** @brief A planned stop of a host. */
struct SoakStop {
    std::string host;
    TimePoint signalledAt {};
    std::optional<TimePoint> exitedAt;
    int exitCode = 0;
    /** Whether the process was killed before it could end. */
    bool isKilled = false;
};

/** @brief All that a soak saw from outside of the hosts. */
struct SoakRecord {
    std::deque<SoakAttempt> attempts;
    std::deque<SoakRun> runs;
    std::vector<SoakDisturbance> disturbances;
    /** Keys from their addition to their removal. */
    std::map<std::string, SoakChange> keys;
    /** Routes that were added, by the version of the plan that did it. */
    std::map<std::uint64_t, SoakChange> routes;
    std::vector<SoakChange> drainingEndpoints;
    /** Endpoints with the failure domain in which they are. */
    std::map<std::string, std::string> domainOfEndpoint;
    std::vector<SoakChange> withdrawnDomains;
    /** Spans in which endpoints are cold. */
    std::map<std::string, TimeSpan> coldEndpoints;
    std::vector<SoakStop> stops;
    /** Ends of processes that nobody asked for. */
    std::vector<std::string> unexpectedExits;
    /** Time after which no fault is active any more and all have had time to recover. */
    TimePoint recoveryEndsAt = TimePoint::max();
    /** Workspaces by key. */
    std::map<std::string, std::string> workspaceOfKey;
};

} // namespace berylwing::test
