#pragma once

#include <string>
#include <string_view>

namespace berylwing {

/** @brief Severities of log lines, in ascending order. */
enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/**
 * @brief Configures the default logger to write JSON lines to standard error.
 * @param level Lowest severity that is written.
 * @param host Name of the host, written on every line.
 */
void configureLog(LogLevel level, std::string_view host);

/**
 * @brief Writes a log line with the identifier of its request.
 * @param level Severity.
 * @param requestId Identifier of the request.
 * @param text Message.
 */
void logRequest(LogLevel level, std::string_view requestId, std::string_view text);

} // namespace berylwing
