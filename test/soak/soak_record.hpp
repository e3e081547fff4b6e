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

/** @brief Lists the kinds of requests that the soak sends. */
enum class SoakRequestKind {
    /** Streamed answer that can be resumed. */
    ResumableStream,
    /** Streamed answer whose request must not run twice. */
    Stream,
    /** Short idempotent call. */
    Lookup,
    /** Short call that must run at most once. */
    Order,
};

/** @brief Names of the kinds, which are also the path prefixes of their routes. */
inline constexpr EnumNames<SoakRequestKind, 4> kSoakRequestKindNames { { "chat", "draft", "lookup", "order" } };

/** @brief Holds the guaranteed bounds, some of which are also written to the settings of each host. */
struct SoakBounds {
    /** Time without disturbances that has to precede an interval for the host in it to count as undisturbed. */
    Duration undisturbedLeadTime { 3000 };
    Duration planPropagation { 2000 };
    Duration keyRevocation { 5000 };
    Duration endpointDrain { 2000 };
    Duration domainWithdrawal { 5000 };
    Duration stopGrace { 8000 };
    Duration recoveryTime { 12'000 };
    /** Slack after a request's deadline, or after its caller has disconnected, before late work is a violation. */
    Duration deadlineSlack { 500 };
    /** Time for which an endpoint may go on with a request after another one has received it. */
    Duration handoverOverlap { 400 };
    /** Request rate of a cold endpoint; coldRateFactor and coldBurstAllowance are the tolerance on top of it. */
    double coldRequestsPerSecond = 6;
    /** Time after its start during which an endpoint is cold. */
    Duration coldDuration { 3000 };
    double coldRateFactor = 1.5;
    double coldBurstAllowance = 5;
    unsigned maxAttempts = 2;
};

/** @brief Represents a closed interval of time. */
struct TimeSpan {
    TimePoint from {};
    TimePoint to = TimePoint::max();

    /** @brief Checks if two intervals overlap. */
    [[nodiscard]] bool overlaps(const TimeSpan& other) const
    {
        return this->from <= other.to && other.from <= this->to;
    }
};

/** @brief Records one request of a caller and its answer. */
struct SoakAttempt {
    std::string id;
    SoakRequestKind kind {};
    std::string host;
    std::string key;
    /** Version of the plan that added the route; 0 for the initial routes. */
    std::uint64_t routePlanVersion = 0;
    TimePoint sentAt {};
    /** Time that the caller gives the request, sent as its deadline. */
    Duration timeout {};
    std::optional<TimePoint> endedAt;
    /** Time at which the caller disconnected without waiting for the answer. */
    std::optional<TimePoint> disconnectedAt;
    unsigned status = 0;
    /** Whether the answer was received completely. */
    bool isComplete = false;
    bool isSigned = false;
    /** Whether the bytes received are the endpoint's answer or a prefix of it. */
    bool isIntact = true;
    /** Whether the answer carries the id of the request. */
    bool hasMatchingId = true;
};

/** @brief Records the arrival of a request at an endpoint. */
struct SoakRun {
    std::string attemptId;
    std::string endpoint;
    TimePoint arrivedAt {};
    /** Whether the endpoint started to execute it. */
    bool hasRun = false;
    std::optional<TimePoint> endedAt;
    /** Whether a fault was active at the endpoint or on its link during the run. */
    bool isDisturbed = false;
    /** Workspace that the host sent with the request. */
    std::string workspace;
    /** Forbidden or missing content of the request; empty if there is none. */
    std::string requestDefect;
};

/** @brief Records a fault or planned operation at one host, or at all of them. */
struct SoakDisturbance {
    /** Host; empty if all hosts are affected. */
    std::string host;
    TimeSpan span;
};

/** @brief Records an acknowledged change in the store: an added route or key, a draining endpoint, a withdrawn domain.
 */
struct SoakChange {
    std::string name;
    TimePoint acknowledgedAt {};
    /** Time at which the store acknowledged that the change was reverted. */
    TimePoint revertedAt = TimePoint::max();
};

/** @brief Records a planned stop of a host. */
struct SoakStop {
    std::string host;
    TimePoint signalledAt {};
    std::optional<TimePoint> exitedAt;
    int exitCode = 0;
    /** Whether the process was killed before it exited. */
    bool isKilled = false;
};

/** @brief Collects everything that a soak observes from outside the hosts. */
struct SoakRecord {
    std::deque<SoakAttempt> attempts;
    std::deque<SoakRun> runs;
    std::vector<SoakDisturbance> disturbances;
    /** Keys from their addition to their removal. */
    std::map<std::string, SoakChange> keys;
    /** Added routes by the plan version that added them. */
    std::map<std::uint64_t, SoakChange> routes;
    std::vector<SoakChange> drainingEndpoints;
    /** Failure domains by endpoint. */
    std::map<std::string, std::string> domainOfEndpoint;
    std::vector<SoakChange> withdrawnDomains;
    /** Intervals in which endpoints are cold. */
    std::map<std::string, TimeSpan> coldEndpoints;
    std::vector<SoakStop> stops;
    /** Unexpected exits of processes, and hosts or faults that did not recover in time. */
    std::vector<std::string> unexpectedExits;
    /** Time from which no fault is active and all hosts have had time to recover. */
    TimePoint recoveryEndsAt = TimePoint::max();
    /** Workspaces by key. */
    std::map<std::string, std::string> workspaceOfKey;
};

} // namespace berylwing::test
