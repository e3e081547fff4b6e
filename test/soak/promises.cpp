#include "soak/promises.hpp"

#include <algorithm>
#include <functional>
#include <map>

namespace berylwing::test {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kMisdirected = 421;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

bool isSuccess(const SoakAttempt& attempt) { return attempt.status >= kOk && attempt.status < kFirstRedirect; }

bool isNotRunStatus(unsigned status)
{
    return status == kRequestTimeout || status == kMisdirected || status == kTooManyRequests || status == kUnavailable;
}

bool canRunAgain(SoakRequestKind kind)
{
    return kind == SoakRequestKind::ResumableStream || kind == SoakRequestKind::Lookup;
}

/** Indexes the runs and attempts of a record and collects violations. */
class RecordChecker {
public:
    RecordChecker(const SoakRecord& soakRecord, const SoakBounds& promisedBounds)
        : record { soakRecord }
        , bounds { promisedBounds }
    {
        for (const auto& run : this->record.runs)
            this->runsById[run.attemptId].push_back(&run);
        for (const auto& attempt : this->record.attempts)
            this->attemptsById[attempt.id] = &attempt;
    }

    [[nodiscard]] const std::vector<const SoakRun*>& runsOf(const SoakAttempt& attempt) const
    {
        static const std::vector<const SoakRun*> kNone;
        const auto found = this->runsById.find(attempt.id);
        return found == this->runsById.end() ? kNone : found->second;
    }

    [[nodiscard]] const SoakAttempt* attemptOf(const SoakRun& run) const
    {
        const auto found = this->attemptsById.find(run.attemptId);
        return found == this->attemptsById.end() ? nullptr : found->second;
    }

    [[nodiscard]] std::size_t countRuns(const SoakAttempt& attempt) const
    {
        const auto& runs = this->runsOf(attempt);
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(), [](const SoakRun* run) { return run->hasRun; }));
    }

    /** Checks if neither the host nor the store had a disturbance in an interval or in the lead time before it. */
    [[nodiscard]] bool isUndisturbed(const std::string& host, TimePoint from, TimePoint to) const
    {
        const TimeSpan span { from - this->bounds.undisturbedLeadTime, to };
        return std::none_of(
            this->record.disturbances.begin(), this->record.disturbances.end(), [&](const SoakDisturbance& each) {
                return (each.host.empty() || each.host == host) && each.span.overlaps(span);
            });
    }

    void report(const std::string& promise, const std::string& what) { this->broken.push_back({ promise, what }); }

    const SoakRecord& record;
    const SoakBounds& bounds;
    std::vector<BrokenPromise> broken;

private:
    std::map<std::string, std::vector<const SoakRun*>> runsById;
    std::map<std::string, const SoakAttempt*> attemptsById;
};

void checkAnswers(RecordChecker& checker)
{
    for (const auto& attempt : checker.record.attempts) {
        if (!attempt.hasMatchingId)
            checker.report("own answer", attempt.id + " received the answer to another request");
        if (!isSuccess(attempt))
            continue;
        if (!attempt.isSigned || !attempt.isIntact)
            checker.report("whole answer",
                attempt.id + " received a success that is unsigned or differs from the endpoint's answer");
    }
}

void checkRuns(RecordChecker& checker)
{
    for (const auto& run : checker.record.runs) {
        if (!run.requestDefect.empty())
            checker.report("unchanged request", run.attemptId + " at " + run.endpoint + ": " + run.requestDefect);
        const auto* attempt = checker.attemptOf(run);
        if (attempt == nullptr) {
            checker.report("unchanged request", run.attemptId + " was never sent by a caller");
            continue;
        }
        const auto holder = checker.record.workspaceOfKey.find(attempt->key);
        const bool isOwn = holder != checker.record.workspaceOfKey.end() && holder->second == run.workspace;
        if (run.hasRun && !isOwn)
            checker.report("own workspace", run.attemptId + " ran for \"" + run.workspace + "\"");
    }
}

void checkRepetition(RecordChecker& checker)
{
    for (const auto& attempt : checker.record.attempts) {
        const auto runs = checker.countRuns(attempt);
        const auto text = attempt.id + " (" + std::string { kSoakRequestKindNames[attempt.kind] } + ") ran "
            + std::to_string(runs) + " times";
        if (!canRunAgain(attempt.kind) && runs > 1)
            checker.report("at most once", text);
        if (isNotRunStatus(attempt.status) && runs > 0)
            checker.report("a refusal is true", text + " and was answered " + std::to_string(attempt.status));
        const auto& all = checker.runsOf(attempt);
        const auto sound = std::count_if(
            all.begin(), all.end(), [](const SoakRun* run) { return run->hasRun && !run->isDisturbed; });
        if (static_cast<unsigned>(sound) > checker.bounds.maxAttempts)
            checker.report("attempts", text);
    }
}

void checkExits(RecordChecker& checker)
{
    for (const auto& text : checker.record.unexpectedExits)
        checker.report("processes go on", text);
    for (const auto& stop : checker.record.stops) {
        if (stop.exitedAt && !stop.isKilled && stop.exitCode != 0)
            checker.report("graceful stop", stop.host + " exited with code " + std::to_string(stop.exitCode));
    }
}

void checkKeys(RecordChecker& checker)
{
    for (const auto& attempt : checker.record.attempts) {
        const auto key = checker.record.keys.find(attempt.key);
        if (key == checker.record.keys.end() || key->second.revertedAt == TimePoint::max())
            continue;
        if (attempt.sentAt > key->second.revertedAt + checker.bounds.keyRevocation && checker.countRuns(attempt) > 0)
            checker.report("revoked keys", attempt.id + " ran at " + attempt.host + " with key " + attempt.key);
    }
}

/** Checks if a change must have been in force at the host for the whole duration of a request. */
bool isInForce(const RecordChecker& checker, const SoakAttempt& attempt, const SoakChange& change)
{
    const auto endedAt = attempt.endedAt.value_or(TimePoint::max());
    return attempt.sentAt > change.acknowledgedAt + checker.bounds.planPropagation && endedAt < change.revertedAt
        && checker.isUndisturbed(attempt.host, change.acknowledgedAt, endedAt);
}

void checkPlans(RecordChecker& checker)
{
    const auto& record = checker.record;
    for (const auto& attempt : record.attempts) {
        const auto key = record.keys.find(attempt.key);
        const bool isKeyDenied = attempt.status == kUnauthorized || attempt.status == kForbidden;
        if (isKeyDenied && key != record.keys.end() && isInForce(checker, attempt, key->second))
            checker.report(
                "plan in force", attempt.id + " at " + attempt.host + " was rejected with key " + attempt.key);
        const auto route = record.routes.find(attempt.routePlanVersion);
        if (attempt.status == kNotFound && route != record.routes.end() && isInForce(checker, attempt, route->second))
            checker.report("plan in force",
                attempt.id + " at " + attempt.host + " found no route of plan "
                    + std::to_string(attempt.routePlanVersion));
    }
}

/** Reports requests that reach an endpoint later than the bound after the store acknowledged its removal. */
void checkDraining(RecordChecker& checker, const std::vector<SoakChange>& changes, Duration bound,
    const std::function<std::string(const SoakRun&)>& nameOf, const std::string& promise)
{
    for (const auto& run : checker.record.runs) {
        const auto* attempt = checker.attemptOf(run);
        if (attempt == nullptr || !run.hasRun)
            continue;
        for (const auto& change : changes) {
            if (change.name != nameOf(run) || run.arrivedAt <= change.acknowledgedAt + bound
                || run.arrivedAt >= change.revertedAt)
                continue;
            if (checker.isUndisturbed(attempt->host, change.acknowledgedAt, run.arrivedAt)) {
                const auto late = run.arrivedAt - change.acknowledgedAt;
                checker.report(promise,
                    run.attemptId + " from " + attempt->host + " reached " + run.endpoint + " "
                        + std::to_string(late.count()) + " ms after " + change.name
                        + " was to receive no more requests");
            }
        }
    }
}

void checkCold(RecordChecker& checker)
{
    const auto& bounds = checker.bounds;
    const auto most = bounds.coldRequestsPerSecond * bounds.coldRateFactor + bounds.coldBurstAllowance;
    std::map<std::string, std::vector<TimePoint>> arrivals;
    for (const auto& run : checker.record.runs) {
        const auto cold = checker.record.coldEndpoints.find(run.endpoint);
        if (cold != checker.record.coldEndpoints.end() && run.arrivedAt >= cold->second.from
            && run.arrivedAt <= cold->second.to)
            arrivals[run.endpoint].push_back(run.arrivedAt);
    }
    for (auto& [endpoint, times] : arrivals) {
        std::sort(times.begin(), times.end());
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= std::chrono::seconds { 1 })
                ++first;
            if (static_cast<double>(last - first + 1) > most)
                checker.report("cold endpoints",
                    endpoint + " got " + std::to_string(last - first + 1) + " requests within one second while cold");
        }
    }
}

/** Reports requests that did not end by their deadline plus the allowed slack. */
void checkDeadlines(RecordChecker& checker)
{
    for (const auto& attempt : checker.record.attempts) {
        if (attempt.disconnectedAt)
            continue;
        const auto latest = attempt.sentAt + attempt.timeout + checker.bounds.deadlineSlack;
        const bool isLate = !attempt.endedAt || *attempt.endedAt > latest;
        if (isLate && checker.isUndisturbed(attempt.host, attempt.sentAt, latest))
            checker.report("an end in time", attempt.id + " at " + attempt.host + " had not ended at its deadline");
    }
}

/** Reports requests that reach an endpoint after their caller has disconnected; a few are tolerated. */
void checkDisconnected(RecordChecker& checker)
{
    std::size_t late = 0;
    std::string example;
    for (const auto& attempt : checker.record.attempts) {
        if (!attempt.disconnectedAt)
            continue;
        for (const auto* run : checker.runsOf(attempt)) {
            if (run->arrivedAt <= *attempt.disconnectedAt + checker.bounds.deadlineSlack
                || !checker.isUndisturbed(attempt.host, *attempt.disconnectedAt, run->arrivedAt))
                continue;
            ++late;
            example = attempt.id;
        }
    }
    constexpr std::size_t kToleratedLateRuns = 3;
    if (late > kToleratedLateRuns)
        checker.report("no work for callers that left", std::to_string(late) + " requests, the last one " + example);
}

/** Reports requests that go on at another endpoint while the one before still works on them. */
void checkHandovers(RecordChecker& checker)
{
    for (const auto& next : checker.record.runs) {
        const auto* attempt = checker.attemptOf(next);
        if (attempt == nullptr || !next.hasRun)
            continue;
        const auto latest = next.arrivedAt + checker.bounds.handoverOverlap;
        for (const auto* before : checker.runsOf(*attempt)) {
            if (before->hasRun && !before->isDisturbed && before->endpoint != next.endpoint
                && before->arrivedAt < next.arrivedAt && before->endedAt.value_or(TimePoint::max()) > latest
                && checker.isUndisturbed(attempt->host, before->arrivedAt, latest))
                checker.report("one endpoint at a time",
                    attempt->id + " from " + attempt->host + " went on at " + next.endpoint + " while "
                        + before->endpoint + " still worked on it");
        }
    }
}

/** Reports requests other than orders on which an endpoint still works after their caller has disconnected. */
void checkAbandoned(RecordChecker& checker)
{
    for (const auto& run : checker.record.runs) {
        const auto* attempt = checker.attemptOf(run);
        if (attempt == nullptr || !attempt->disconnectedAt || attempt->kind == SoakRequestKind::Order || !run.hasRun
            || run.isDisturbed)
            continue;
        const auto latest = std::max(*attempt->disconnectedAt, run.arrivedAt) + checker.bounds.deadlineSlack;
        if (run.endedAt.value_or(TimePoint::max()) > latest
            && checker.isUndisturbed(attempt->host, *attempt->disconnectedAt, latest))
            checker.report("no work goes on for callers that left",
                attempt->id + " from " + attempt->host + " went on at " + run.endpoint);
    }
}

/** Checks if a host had a disturbance other than the planned stop itself. */
bool isDisturbed(const RecordChecker& checker, const SoakStop& stop, const TimeSpan& span)
{
    return std::any_of(
        checker.record.disturbances.begin(), checker.record.disturbances.end(), [&](const SoakDisturbance& each) {
            const bool isStop = each.host == stop.host && each.span.from == stop.signalledAt;
            return !isStop && (each.host.empty() || each.host == stop.host) && each.span.overlaps(span);
        });
}

/** Reports hosts that exceed their grace period and requests that a planned stop interrupted. */
void checkStops(RecordChecker& checker)
{
    constexpr Duration kLateRequest { 3000 };
    for (const auto& stop : checker.record.stops) {
        // A host that is killed while it stops may interrupt any of its requests.
        if (stop.isKilled)
            continue;
        const auto graceEnd = stop.signalledAt + checker.bounds.stopGrace;
        const bool isInTime = stop.exitedAt && *stop.exitedAt <= graceEnd;
        if (!isInTime && !isDisturbed(checker, stop, { stop.signalledAt, graceEnd }))
            checker.report("graceful stop", stop.host + " did not exit within its grace period");
        for (const auto& attempt : checker.record.attempts) {
            if (attempt.host != stop.host || attempt.disconnectedAt || !attempt.endedAt || attempt.isComplete
                || *attempt.endedAt < stop.signalledAt || attempt.sentAt > graceEnd)
                continue;
            const auto& runs = checker.runsOf(attempt);
            const bool isOwnFault
                = std::any_of(runs.begin(), runs.end(), [](const SoakRun* run) { return run->isDisturbed; });
            const bool isAtWorkLate = *attempt.endedAt > graceEnd - checker.bounds.stopGrace / 6
                && attempt.sentAt <= stop.signalledAt + kLateRequest;
            const bool isTimedOut = *attempt.endedAt >= attempt.sentAt + attempt.timeout;
            const TimeSpan span { attempt.sentAt - checker.bounds.undisturbedLeadTime, *attempt.endedAt };
            if (runs.empty() || isOwnFault || isAtWorkLate || isTimedOut || isDisturbed(checker, stop, span))
                continue;
            checker.report("graceful stop", attempt.id + " was interrupted by the stop of " + stop.host);
        }
    }
}

/** Reports requests that fail after the recovery time. */
void checkRecovery(RecordChecker& checker)
{
    for (const auto& attempt : checker.record.attempts) {
        if (attempt.sentAt < checker.record.recoveryEndsAt || attempt.disconnectedAt || !attempt.endedAt)
            continue;
        if (!attempt.isComplete || !isSuccess(attempt))
            checker.report("service after faults",
                attempt.id + " at " + attempt.host + " was answered " + std::to_string(attempt.status)
                    + (attempt.isComplete ? "" : ", incomplete"));
    }
}

} // namespace

std::vector<BrokenPromise> checkSafety(const SoakRecord& record, const SoakBounds& bounds)
{
    RecordChecker checker { record, bounds };
    checkAnswers(checker);
    checkRuns(checker);
    checkRepetition(checker);
    checkExits(checker);
    return std::move(checker.broken);
}

std::vector<BrokenPromise> checkTiming(const SoakRecord& record, const SoakBounds& bounds)
{
    RecordChecker checker { record, bounds };
    checkKeys(checker);
    checkPlans(checker);
    checkDraining(
        checker, record.drainingEndpoints, bounds.endpointDrain, [](const SoakRun& run) { return run.endpoint; },
        "endpoints that leave");
    checkDraining(
        checker, record.withdrawnDomains, bounds.domainWithdrawal,
        [&record](const SoakRun& run) {
            const auto found = record.domainOfEndpoint.find(run.endpoint);
            return found == record.domainOfEndpoint.end() ? std::string {} : found->second;
        },
        "withdrawn domains");
    checkCold(checker);
    checkDeadlines(checker);
    checkHandovers(checker);
    checkDisconnected(checker);
    checkAbandoned(checker);
    checkStops(checker);
    checkRecovery(checker);
    return std::move(checker.broken);
}

} // namespace berylwing::test
