#pragma once

#include "berylwing/client/log_lines.hpp"
#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <istream>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief Collects the log lines that explain the outcome of one request from the logs of all hosts.
 *
 * These are the lines of the request itself and, from shortly before to shortly after them, the events of its hosts,
 * such as a lost connection to the store or a new plan, and of its endpoints.
 */
class RequestTimeline {
    [[nodiscard]] bool isRequestLine(const LoggedEvent& line) const;
    [[nodiscard]] bool isContextLine(const LoggedEvent& line) const;
    [[nodiscard]] std::vector<LoggedEvent> relatedLines() const;
    [[nodiscard]] std::string formatLine(const LoggedEvent& line) const;

public:
    /** @brief Creates an empty timeline. @param requestId Id of the request. */
    explicit RequestTimeline(std::string requestId);

    /** @brief Reads lines in any order and skips invalid ones. @param input Log of one host or of several. */
    void read(std::istream& input);

    /** @brief Checks if any line belongs to the request. @return True if so; print() requires it. */
    [[nodiscard]] bool isKnown() const noexcept { return !this->requestLines.empty(); }

    /** @brief Prints the lines by time. @param output Receives the timeline. */
    void print(std::ostream& output) const;

private:
    std::string id;
    std::vector<LoggedEvent> requestLines;
    /** Lines that belong to no request; those near the request are printed with it. */
    std::vector<LoggedEvent> processLines;
    std::set<std::string> hosts;
    std::set<std::string> endpoints;
    /** Number of lines that report dropped lines. */
    std::size_t droppedReports = 0;
};

} // namespace berylwing
