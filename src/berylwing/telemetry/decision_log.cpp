#include "berylwing/telemetry/decision_log.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/wall_clock.hpp"
#include <algorithm>
#include <climits>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace berylwing {

namespace {

/**
 * Request lines per second above which requests are sampled; a host at the target size makes a few hundred decisions
 * per second.
 */
constexpr std::uint32_t kMaxRequestLinesPerSecond = 300;
/** Upper bound for process lines per second; leaves room for a state change of every endpoint. */
constexpr std::uint32_t kMaxProcessLinesPerSecond = 200;
/** Upper bound for the buffer of lines that the reader has not taken yet; lines beyond it are dropped. */
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
/** Upper bound for the sampling divisor: at least one request in this many is logged. */
constexpr std::uint32_t kMaxSamplingDivisor = 1024;
/** Period over which lines are counted and after which the sampling divisor is adjusted. */
constexpr Duration kWindowInterval { 1000 };

/** Returns the text as a JSON string; avoids the JSON library for text that needs no escaping. */
std::string quoteJson(std::string_view text)
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
    this->text += quoteJson(value);
    return *this;
}

LogLine& LogLine::add(std::string_view name, std::int64_t value)
{
    this->addName(name);
    this->text += std::to_string(value);
    return *this;
}

LogLine& LogLine::add(std::string_view name, double value)
{
    this->addName(name);
    this->text += fmt::format("{:.1f}", value);
    return *this;
}

DecisionLog::DecisionLog(const Clock& hostClock, Writer lineWriter, std::string linePrefix)
    : clock { hostClock }
    , writer { std::move(lineWriter) }
    , prefix { std::move(linePrefix) }
{
}

void DecisionLog::updateWindow()
{
    const auto now = this->clock.now();
    if (now < this->windowStart + kWindowInterval)
        return;
    if (this->requestLines > kMaxRequestLinesPerSecond)
        this->samplingDivisor = std::min(this->samplingDivisor * 2, kMaxSamplingDivisor);
    else if (this->requestLines < kMaxRequestLinesPerSecond / 4)
        this->samplingDivisor = std::max(this->samplingDivisor / 2, 1U);
    this->windowStart = now;
    this->requestLines = 0;
    this->processLines = 0;
    if (this->droppedLines == this->reportedDroppedLines)
        return;
    LogLine line { LogEvent::LinesDropped };
    line.add("lines", static_cast<std::int64_t>(this->droppedLines - this->reportedDroppedLines));
    line.add("sampling", std::int64_t { this->samplingDivisor });
    // The buffer may have no room for the report; it is then repeated in a later window.
    if (this->tryAppend(line.toJson()))
        this->reportedDroppedLines = this->droppedLines;
}

bool DecisionLog::tryAppend(const std::string& line)
{
    if (this->pending.size() + line.size() > kMaxPendingBytes)
        return false;
    this->pending += "{\"time_ms\":" + std::to_string(wallTimeMs()) + "," + this->prefix + line + "\n";
    return true;
}

void DecisionLog::appendOrDrop(const std::string& line)
{
    if (!this->tryAppend(line))
        ++this->droppedLines;
}

void DecisionLog::write(const LogLine& line)
{
    this->updateWindow();
    if (++this->processLines > kMaxProcessLinesPerSecond)
        ++this->droppedLines;
    else
        this->appendOrDrop(line.toJson());
}

bool DecisionLog::isSampled(std::string_view requestId)
{
    this->updateWindow();
    return hashText(requestId) % this->samplingDivisor == 0;
}

void DecisionLog::write(std::string_view requestId, LogLine line)
{
    if (!this->isSampled(requestId))
        return;
    ++this->requestLines;
    this->appendOrDrop(line.add("request", requestId).toJson());
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

std::size_t writeNonBlocking(int descriptor, std::string_view text)
{
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking. O_NONBLOCK would also change the mode for
    // the other processes that share the open file.
    pollfd state { descriptor, POLLOUT, 0 };
    if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
        return 0;
    const auto written = ::write(descriptor, text.data(), text.size());
    return written < 0 ? 0 : static_cast<std::size_t>(written);
}

} // namespace berylwing
