#pragma once

#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <istream>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace berylwing {

/**
 * @brief The log lines of all hosts that explain what became of one request.
 *
 * These are the lines of the request itself and, from shortly before to shortly after them, those that tell what its
 * hosts believed of the store, of their plan and of the endpoints that the request met.
 */
class RequestTimeline {
    struct Line {
        std::int64_t timeMs = 0;
        nlohmann::json fields;
    };

    [[nodiscard]] bool isRequestLine(const Line& line) const;
    [[nodiscard]] bool isContextLine(const Line& line) const;
    [[nodiscard]] std::vector<Line> relatedLines() const;
    [[nodiscard]] std::string formatLine(const Line& line) const;

public:
    /** @brief Creates a story without lines. @param requestId Id of the request. */
    explicit RequestTimeline(std::string requestId);

    /** @brief Reads lines in any order; what is no log line is skipped. @param input Log of one host or of many. */
    void read(std::istream& input);

    /** @brief Tells whether the logs know the request. @return False if no line names it. */
    [[nodiscard]] bool isKnown() const noexcept { return !this->requestLines.empty(); }

    /** @brief Prints the story in the order of time. @param output Receives the story. */
    void print(std::ostream& output) const;

private:
    std::string id;
    std::vector<Line> requestLines;
    /** Lines about the process, which may be related to the request. */
    std::vector<Line> processLines;
    std::set<std::string> hosts;
    std::set<std::string> endpoints;
    std::size_t droppedReports = 0;
};

} // namespace berylwing
