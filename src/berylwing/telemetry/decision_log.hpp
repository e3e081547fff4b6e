#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Decisions and changes of belief that are written to the structured log. */
enum class LogEvent {
    Started,
    Stopping,
    Stopped,
    SettingsReloaded,
    ReadinessChanged,
    DependencyLost,
    DependencyRegained,
    HistoryLost,
    RolesChanged,
    WatcherChanged,
    PlanTaken,
    PlanRejected,
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
    RequestResumed,
    RequestRetried,
    RequestAnswered,
    RequestRefused,
    RequestBroken,
    CallerLeft,
    LinesDropped,
};

/** @brief Names of the log events. */
inline constexpr EnumNames<LogEvent, 29> kLogEventNames { {
    "started",
    "stopping",
    "stopped",
    "settings_reloaded",
    "readiness_changed",
    "dependency_lost",
    "dependency_regained",
    "history_lost",
    "roles_changed",
    "watcher_changed",
    "plan_taken",
    "plan_rejected",
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
    "request_resumed",
    "request_retried",
    "request_answered",
    "request_refused",
    "request_broken",
    "caller_left",
    "lines_dropped",
} };

/** @brief One line of the structured log: a JSON object that is built field by field. */
class LogLine {
    void addName(std::string_view name);

public:
    /** @brief Begins a line. @param event Event. */
    explicit LogLine(LogEvent event);

    /** @brief Adds a text. @param name Field. @param value Text, escaped as needed. @return This line. */
    LogLine& add(std::string_view name, std::string_view value);

    /** @brief Adds a number. @param name Field. @param value Number. @return This line. */
    LogLine& add(std::string_view name, std::int64_t value);

    /** @brief Adds a length of time. @param name Field, whose name ends in _ms. @param value Time. @return This line.
     */
    LogLine& add(std::string_view name, Duration value) { return this->add(name, std::int64_t { value.count() }); }

    /** @brief Ends the line. @return JSON object. */
    [[nodiscard]] std::string toJson() const { return this->text + "}"; }

private:
    std::string text;
};

/**
 * @brief Structured log of one process: bounded in volume, and never waiting for its reader.
 *
 * Lines of requests are sampled by the request's id once there are too many, so that a request has all of its lines or
 * none.
 */
class DecisionLog {
    void updateWindow();
    [[nodiscard]] bool tryAppend(const std::string& line);
    void appendOrDrop(const std::string& line);

public:
    /** @brief Function that takes as much of the text as it can without waiting, and returns how much. */
    using Writer = std::function<std::size_t(std::string_view)>;

    /**
     * @brief Creates a log.
     * @param hostClock Clock of the host.
     * @param lineWriter Takes the lines.
     * @param linePrefix Fields that begin each line, such as the host's name.
     */
    DecisionLog(const Clock& hostClock, Writer lineWriter, std::string linePrefix);

    /** @brief Writes a line about the process. @param line Line. */
    void write(const LogLine& line);

    /** @brief Tells whether the lines of a request are written. @param requestId Request. @return True if they are. */
    [[nodiscard]] bool isSampled(std::string_view requestId);

    /** @brief Writes a line about a request. @param requestId Request. @param line Line. */
    void write(std::string_view requestId, LogLine line);

    /** @brief Hands the collected lines to the writer. */
    void flush();

    /** @brief Counts the lines that were given up. @return Lines. */
    [[nodiscard]] std::uint64_t dropped() const noexcept { return this->droppedLines; }

private:
    const Clock& clock;
    Writer writer;
    std::string prefix;
    std::string pending;
    TimePoint windowStart {};
    std::uint32_t processLines = 0;
    std::uint32_t requestLines = 0;
    /** One request in this many has its lines written. */
    std::uint32_t samplingDivisor = 1;
    std::uint64_t droppedLines = 0;
    std::uint64_t reportedDroppedLines = 0;
};

/**
 * @brief Writes to a file or pipe only what fits without waiting.
 * @param descriptor Open file or pipe.
 * @param text Lines, at most PIPE_BUF bytes.
 * @return Bytes that were written.
 */
[[nodiscard]] std::size_t writeNonBlocking(int descriptor, std::string_view text);

} // namespace berylwing
