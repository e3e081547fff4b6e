#include "berylwing/client/log_lines.hpp"

#include <utility>

namespace berylwing {

std::vector<LoggedEvent> readLogLines(std::istream& input)
{
    std::vector<LoggedEvent> lines;
    std::string text;
    while (std::getline(input, text)) {
        // Log collectors may prefix the line with a time or the name of a process.
        const auto begin = text.find('{');
        if (begin == std::string::npos)
            continue;
        auto fields
            = nlohmann::json::parse(text.begin() + static_cast<std::ptrdiff_t>(begin), text.end(), nullptr, false);
        if (fields.is_object() && fields.contains("event") && fields.contains("time_ms")) {
            const auto timeMs = fields.at("time_ms").get<std::int64_t>();
            lines.push_back({ timeMs, std::move(fields) });
        }
    }
    return lines;
}

} // namespace berylwing
