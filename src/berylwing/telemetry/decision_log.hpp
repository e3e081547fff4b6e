#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Decisions and state changes that are written to the structured log. */
enum class LogEvent {
    Started,
    Stopping,
    Stopped,
    SettingsReloaded,
    ReadinessChanged,
    DependencyLost,
    DependencyRegained,
    HistoryLost,
    StoreCalled,
    StoreAnswered,
    StoreEraAdvanced,
    RolesChanged,
    DigestIntervalChanged,
    WatcherChanged,
    PlanTaken,
    PlanRejected,
    ObjectRejected,
    EndpointsLost,
    EndpointsRegained,
    EndpointsListed,
    EndpointSeen,
    EndpointChanged,
    EndpointGone,
    EndpointEjected,
    EndpointRejected,
    DomainWithdrawn,
    DomainReturned,
    DomainSuspected,
    HostsCounted,
    RequestSent,
    RequestRelayed,
    RequestTakenOver,
    RequestResumed,
    RequestRetried,
    RequestAnswered,
    RequestRefused,
    RequestBroken,
    CallerLeft,
    CrashLearned,
    Quarantined,
    QuarantineLifted,
    LimitLearned,
    StopAnnounced,
    BrittlenessLearned,
    EndpointPaused,
    StreamTakenUp,
    VersionsMixed,
    VersionsSettled,
    VersionAsked,
    RefreshFailed,
    VersionHistoryFailed,
    RolloutOrdered,
    RolloutShareChanged,
    RolloutDecided,
    RolloutTakenOver,
    RolloutHalted,
    PressureBegan,
    PressureEnded,
    MemoryPressureBegan,
    MemoryPressureEnded,
    LinesDropped,
};

/** @brief Names of the log events, as written to the `event` field. */
inline constexpr EnumNames<LogEvent, 61> kLogEventNames { {
    "started",
    "stopping",
    "stopped",
    "settings_reloaded",
    "readiness_changed",
    "dependency_lost",
    "dependency_regained",
    "history_lost",
    "store_called",
    "store_answered",
    "store_era_advanced",
    "roles_changed",
    "digest_interval_changed",
    "watcher_changed",
    "plan_taken",
    "plan_rejected",
    "object_rejected",
    "endpoints_lost",
    "endpoints_regained",
    "endpoints_listed",
    "endpoint_seen",
    "endpoint_changed",
    "endpoint_gone",
    "endpoint_ejected",
    "endpoint_rejected",
    "domain_withdrawn",
    "domain_returned",
    "domain_suspected",
    "hosts_counted",
    "request_sent",
    "request_relayed",
    "request_taken_over",
    "request_resumed",
    "request_retried",
    "request_answered",
    "request_refused",
    "request_broken",
    "caller_left",
    "crash_learned",
    "quarantined",
    "quarantine_lifted",
    "limit_learned",
    "stop_announced",
    "brittleness_learned",
    "endpoint_paused",
    "stream_taken_up",
    "versions_mixed",
    "versions_settled",
    "version_asked",
    "refresh_failed",
    "version_history_failed",
    "rollout_ordered",
    "rollout_share_changed",
    "rollout_decided",
    "rollout_taken_over",
    "rollout_halted",
    "pressure_began",
    "pressure_ended",
    "memory_pressure_began",
    "memory_pressure_ended",
    "lines_dropped",
} };

/** @brief Builds one line of the structured log, a JSON object, field by field. */
class LogLine {
    void addName(std::string_view name);

public:
    /** @brief Creates a line whose first field is the event. @param event Event. */
    explicit LogLine(LogEvent event);

    /** @brief Adds a string. @param name Field. @param value Text, escaped as needed. @return This line. */
    LogLine& add(std::string_view name, std::string_view value);

    /** @brief Adds a number. @param name Field. @param value Number. @return This line. */
    LogLine& add(std::string_view name, std::int64_t value);

    /** @brief Adds a number with one decimal. @param name Field. @param value Number. @return This line. */
    LogLine& add(std::string_view name, double value);

    /** @brief Adds a duration. @param name Field, with the suffix _ms. @param value Duration. @return This line. */
    LogLine& add(std::string_view name, Duration value) { return this->add(name, std::int64_t { value.count() }); }

    /** @brief Returns the line as JSON. @return JSON object, without a line break. */
    [[nodiscard]] std::string toJson() const { return this->text + "}"; }

private:
    std::string text;
};

/**
 * @brief Writes the structured log of one process, with a bounded volume and without blocking on the reader.
 *
 * Above a rate of lines, requests are sampled by a hash of their id, so that either all lines of a request are written
 * or none. Lines about the process are not sampled but limited per second. Lines that find no room are counted and
 * reported in a line of their own.
 */
class DecisionLog {
    /** Starts a new window if the current one is over: adjusts the sampling and reports dropped lines. */
    void updateWindow();
    /** Appends a line to the buffer. Returns false if the buffer has no room. */
    [[nodiscard]] bool tryAppend(const std::string& line);
    /** Appends a line to the buffer, or counts it as dropped. */
    void appendOrDrop(const std::string& line);

public:
    /** @brief Function that writes as much of the text as it can without blocking, and returns the bytes written. */
    using Writer = std::function<std::size_t(std::string_view)>;

    /**
     * @brief Creates a log.
     * @param hostClock Clock that delimits the windows.
     * @param lineWriter Receives the lines.
     * @param linePrefix JSON members, with a trailing comma, that every line contains, such as the name of the host.
     */
    DecisionLog(const Clock& hostClock, Writer lineWriter, std::string linePrefix);

    /** @brief Writes a line about the process. @param line Line. */
    void write(const LogLine& line);

    /** @brief Checks if the lines of a request are written. @param requestId Request. @return True if they are. */
    [[nodiscard]] bool isSampled(std::string_view requestId);

    /** @brief Writes a line about a request if it is sampled. @param requestId Request. @param line Line. */
    void write(std::string_view requestId, LogLine line);

    /** @brief Passes the buffered lines to the writer until it accepts no more. */
    void flush();

    /** @brief Returns the number of dropped lines. @return Lines since the start of the process. */
    [[nodiscard]] std::uint64_t dropped() const noexcept { return this->droppedLines; }

private:
    const Clock& clock;
    Writer writer;
    std::string prefix;
    std::string pending;
    TimePoint windowStart {};
    std::uint32_t processLines = 0;
    std::uint32_t requestLines = 0;
    /** One request in this many is logged. */
    std::uint32_t samplingDivisor = 1;
    std::uint64_t droppedLines = 0;
    /** Part of the dropped lines that a line of the log has reported. */
    std::uint64_t reportedDroppedLines = 0;
};

/**
 * @brief Writes to a file or pipe if that does not block.
 * @param descriptor Open file or pipe.
 * @param text Text of at most PIPE_BUF bytes, which a writable pipe accepts as a whole.
 * @return Bytes written; zero if the write would block or failed.
 */
[[nodiscard]] std::size_t writeNonBlocking(int descriptor, std::string_view text);

} // namespace berylwing
