#include "berylwing/gateway/event_splitter.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Returns the offset behind the last empty line, which ends an event; lines may end in LF or CRLF. */
std::size_t endOfEvents(std::string_view text)
{
    const auto lineFeeds = text.rfind("\n\n");
    const auto carriageReturn = text.rfind("\n\r\n");
    std::size_t end = 0;
    if (lineFeeds != std::string_view::npos)
        end = lineFeeds + 2;
    if (carriageReturn != std::string_view::npos)
        end = std::max(end, carriageReturn + 3);
    return end;
}

/** Counts the events that an empty line ends. */
std::uint32_t countEvents(std::string_view events)
{
    std::uint32_t count = 0;
    bool isLineEmpty = true;
    for (const char character : events) {
        // Further empty lines end no event.
        if (character == '\n' && std::exchange(isLineEmpty, true))
            ++count;
        else if (character != '\n' && character != '\r')
            isLineEmpty = false;
    }
    return count;
}

/** Returns the value of the last "id" field; empty if there is none. */
std::string_view lastIdOf(std::string_view events)
{
    std::string_view id;
    while (!events.empty()) {
        const auto end = events.find('\n');
        auto line = events.substr(0, end);
        events = end == std::string_view::npos ? std::string_view {} : events.substr(end + 1);
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        id = line;
    }
    return id;
}

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    this->pending += bytes;
    const auto end = endOfEvents(this->pending);
    if (end == 0)
        return {};
    auto events = this->pending.substr(0, end);
    this->pending.erase(0, end);
    this->events += countEvents(events);
    if (const auto id = lastIdOf(events); !id.empty())
        this->lastId = id;
    return events;
}

} // namespace berylwing
