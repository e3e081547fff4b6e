#pragma once

#include <string>
#include <string_view>

namespace berylwing {

/** @brief Severity of log lines, from the most to the least verbose. */
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/**
 * @brief Sets the process's log to JSON lines on standard error.
 * @param level Least severity that is written.
 * @param host Host named on every line.
 */
void configureLog(LogLevel level, std::string_view host);

/**
 * @brief Writes a log line that belongs to a request.
 * @param level Severity.
 * @param requestId Identifier of the request.
 * @param text Message.
 */
void logRequest(LogLevel level, std::string_view requestId, std::string_view text);

} // namespace berylwing
