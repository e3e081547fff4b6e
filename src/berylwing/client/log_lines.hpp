#pragma once

#include <cstdint>
#include <istream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Line of a host's structured log. */
struct LoggedEvent {
    std::int64_t timeMs = 0;
    nlohmann::json fields;

    /** @brief Returns a text field. @param name Field. @return Text; empty if the line has no such field. */
    [[nodiscard]] std::string text(const char* name) const
    {
        const auto found = this->fields.find(name);
        return found != this->fields.end() && found->is_string() ? found->get<std::string>() : std::string {};
    }
};

/**
 * @brief Reads the lines of logs, which may have the prefixes of log collectors; skips all others.
 * @param input Log of one host or of several.
 * @return Lines in the order of the log.
 */
[[nodiscard]] std::vector<LoggedEvent> readLogLines(std::istream& input);

} // namespace berylwing
