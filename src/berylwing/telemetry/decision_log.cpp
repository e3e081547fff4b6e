#include "berylwing/telemetry/decision_log.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/wall_clock.hpp"
#include <algorithm>
#include <climits>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace berylwing {

namespace {

/** Lines about requests that are written in a second; a host at the target size makes some hundred decisions. */
constexpr std::uint32_t kMostRequestLines = 300;
/** Lines about the process that are written in a second; a change of all endpoints fits. */
constexpr std::uint32_t kMostProcessLines = 200;
/** Lines that wait for a reader; what comes beyond that is dropped. */
constexpr std::size_t kMostPendingBytes = 64 * 1024;
constexpr std::uint32_t kCoarsestSampling = 1024;
constexpr Duration kSecond { 1000 };

std::string quoted(std::string_view text)
{
    const auto isPlain
        = std::all_of(text.begin(), text.end(), [](char c) { return c >= ' ' && c < 0x7f && c != '"' && c != '\\'; });
    if (isPlain)
        return "\"" + std::string { text } + "\"";
    return nlohmann::json(std::string { text }).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

} // namespace

LogLine::LogLine(LogEvent event)
    : text { "\"event\":\"" + std::string { kLogEventNames[event] } + "\"" }
{
}

void LogLine::addName(std::string_view name)
{
    this->text += ",\"";
    this->text += name;
    this->text += "\":";
}

LogLine& LogLine::add(std::string_view name, std::string_view value)
{
    this->addName(name);
    this->text += quoted(value);
    return *this;
}

LogLine& LogLine::add(std::string_view name, std::int64_t value)
{
    this->addName(name);
    this->text += std::to_string(value);
    return *this;
}

DecisionLog::DecisionLog(const Clock& hostClock, Writer lineWriter, std::string linePrefix)
    : clock { hostClock }
    , writer { std::move(lineWriter) }
    , prefix { std::move(linePrefix) }
{
}

void DecisionLog::beginSecond()
{
    const auto now = this->clock.now();
    if (now < this->secondBegan + kSecond)
        return;
    if (this->requestLines > kMostRequestLines)
        this->sampling = std::min(this->sampling * 2, kCoarsestSampling);
    else if (this->requestLines < kMostRequestLines / 4)
        this->sampling = std::max(this->sampling / 2, 1U);
    this->secondBegan = now;
    this->requestLines = 0;
    this->processLines = 0;
    if (this->droppedLines == this->reportedDrops)
        return;
    LogLine line { LogEvent::LinesDropped };
    line.add("lines", static_cast<std::int64_t>(this->droppedLines - this->reportedDrops));
    line.add("sampling", std::int64_t { this->sampling });
    // The report itself may find no room; it is then made up for in a later second.
    if (this->append(line.finish()))
        this->reportedDrops = this->droppedLines;
}

bool DecisionLog::append(const std::string& line)
{
    if (this->pending.size() + line.size() > kMostPendingBytes)
        return false;
    this->pending += "{\"time_ms\":" + std::to_string(wallTimeMs()) + "," + this->prefix + line + "\n";
    return true;
}

void DecisionLog::appendOrCount(const std::string& line)
{
    if (!this->append(line))
        ++this->droppedLines;
}

void DecisionLog::write(const LogLine& line)
{
    this->beginSecond();
    if (++this->processLines > kMostProcessLines)
        ++this->droppedLines;
    else
        this->appendOrCount(line.finish());
}

bool DecisionLog::isSampled(std::string_view requestId)
{
    this->beginSecond();
    return hashText(requestId) % this->sampling == 0;
}

void DecisionLog::write(std::string_view requestId, LogLine line)
{
    if (!this->isSampled(requestId))
        return;
    ++this->requestLines;
    this->appendOrCount(line.add("request", requestId).finish());
}

void DecisionLog::flush()
{
    while (!this->pending.empty()) {
        const auto size = std::min<std::size_t>(this->pending.size(), PIPE_BUF);
        const auto written = this->writer(std::string_view { this->pending }.substr(0, size));
        this->pending.erase(0, written);
        if (written < size)
            return;
    }
}

std::size_t writeWithoutWaiting(int descriptor, std::string_view text)
{
    // A pipe that polls as writable takes PIPE_BUF bytes without blocking, which leaves its mode alone.
    pollfd state { descriptor, POLLOUT, 0 };
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return 0;
    const auto written = ::write(descriptor, text.data(), text.size());
    return written < 0 ? 0 : static_cast<std::size_t>(written);
}

} // namespace berylwing
