#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/crash_evidence.hpp"
#include "berylwing/gateway/crash_suspect.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Quarantines what crashes endpoints: whole requests, and segments that prompts have in common.
 *
 * A request that crashes every endpoint that executes it would take down the whole service, since callers and hosts
 * retry it; so would the requests that share such a segment. A cause that CrashEvidence finds is refused by all hosts.
 * After a while one host sends a single request with it: an answer ends the quarantine, a crash renews it.
 *
 * Hosts report to each other what they know of recent crashes, answers and causes, and repeat it, because datagrams are
 * lost and hosts start or return at any time. Reports carry ages, since the clocks of hosts differ.
 */
class CrashQuarantine {
    /** Cause that is refused. */
    struct Quarantine {
        std::uint32_t specificity = 0;
        TimePoint lastCrashAt;
        /** Trials that ended in a crash. */
        unsigned trials = 0;
        /** Last time at which this host sent a request with the cause. */
        TimePoint triedAt = TimePoint::min();
        TimePoint reportedAt {};
    };

    /** Answer that cleared a suspect, to be reported to other hosts. */
    struct Clearance {
        TimePoint at;
        TimePoint reportUntil;
        /** Whether this host knows it first-hand, or from its record of an earlier report. */
        bool isOwn = false;
        TimePoint reportedAt {};
    };

    [[nodiscard]] static Duration trialDelayOf(const Quarantine& quarantine);
    void add(const CrashSuspect& suspect, const CrashEvidence::Crash& crash, std::string_view sender);
    void clear(std::uint64_t subject, TimePoint at, std::string_view sender);
    void quarantine(const CrashSuspect& cause, const Quarantine& state, std::string_view sender);
    void appendCrashes(wire::CrashReport& report, std::size_t limit, bool isForOthers);
    void appendClearances(wire::CrashReport& report, std::size_t limit, bool isForOthers);
    void appendCauses(wire::CrashReport& report, std::size_t limit);
    void mergeCauses(const wire::CrashReport& report, std::string_view sender);

public:
    /** @brief Checks if this host is the one that may send a request with a cause, to see if it still crashes. */
    using TrialCheck = std::function<bool(std::uint64_t subject)>;

    /** @brief Lists what a host reports. */
    enum class Scope {
        /** What the host has observed, and what others need to find or refuse a cause. */
        Own,
        /** All that the host knows, as delegates report to other groups. */
        All,
    };

    /**
     * @brief Creates an empty quarantine.
     * @param hostClock Clock of the host.
     * @param decisionLog Log of the host.
     * @param isTrialHost Checks if this host tries a cause.
     */
    CrashQuarantine(const Clock& hostClock, DecisionLog& decisionLog, TrialCheck isTrialHost);

    /** @brief Checks if no crash is recorded, so that callers can skip listing suspects. @return True if so. */
    [[nodiscard]] bool isEmpty() const noexcept { return this->evidence.isEmpty() && this->quarantined.empty(); }

    /**
     * @brief Records that the connection to an endpoint broke before the answer to a request had begun.
     * @param suspects Suspects of the request.
     * @param endpoint Hash that identifies the process of the endpoint.
     */
    void recordCrash(const std::vector<CrashSuspect>& suspects, std::uint32_t endpoint);

    /** @brief Clears the suspects of a request whose answer is past its beginning. @param suspects Suspects. */
    void recordAnswer(const std::vector<CrashSuspect>& suspects);

    /** @brief Checks if a suspect is quarantined. @param suspects Suspects. @return True even if a trial is due. */
    [[nodiscard]] bool isAnyQuarantined(const std::vector<CrashSuspect>& suspects) const;

    /**
     * @brief Checks if a request is to be refused; a request that is admitted as a trial has to be sent.
     * @param suspects Suspects of the request.
     * @return Time after which the request may be tried again; nothing if it may be sent.
     */
    [[nodiscard]] std::optional<Duration> findRefusal(const std::vector<CrashSuspect>& suspects);

    /** @brief Merges the report of another host. @param report Report. @param sender Host, for the log. */
    void merge(const wire::CrashReport& report, std::string_view sender);

    /** @brief Appends what this host reports to others. @param report Field of the message. @param scope Extent. */
    void appendTo(wire::CrashReport& report, Scope scope);

    /** @brief Quarantines the causes that have been found, and removes what has expired. */
    void update();

private:
    const Clock& clock;
    DecisionLog& log;
    TrialCheck isTrialHost;
    CrashEvidence evidence;
    std::map<std::uint64_t, Quarantine> quarantined;
    std::map<std::uint64_t, Clearance> clearances;
    /** Cause that is quarantined unless an answer clears it in time. */
    std::optional<CrashSuspect> foundCause;
    TimePoint foundAt {};
};

} // namespace berylwing
