#include "berylwing/client/request_timeline.hpp"

#include "berylwing/core/reasons.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <algorithm>
#include <array>
#include <utility>

namespace berylwing {

namespace {

/**
 * Interval before and after a request in which events of its hosts and endpoints are shown, because they may explain
 * its outcome. Ejections of endpoints last that long.
 */
constexpr Duration kContextInterval { 3000 };

std::string replaceUnderscores(std::string text)
{
    std::replace(text.begin(), text.end(), '_', ' ');
    return text;
}

/** Returns what an operator should look at after a request ended with a reason. */
std::string_view hintFor(Refusal reason)
{
    switch (reason) {
    case Refusal::ConfigurationStale:
    case Refusal::ConfigurationUnknown:
        return "the host could not confirm its plan; see dependency_lost and watcher_changed before the request";
    case Refusal::UnknownRoute:
    case Refusal::UnknownWorkspace:
        return "compare the plan of the last plan_taken with the version that the operator wrote";
    case Refusal::NoEndpoint:
        return "the service had no available endpoint; see endpoint_gone, endpoint_changed, domain_withdrawn";
    case Refusal::EndpointAtBound:
    case Refusal::EndpointUnreachable:
    case Refusal::RetryBudgetSpent:
        return "see the request_retried lines and the events of their endpoints";
    case Refusal::EndpointBroken:
    case Refusal::StreamIncomplete:
        return "an endpoint aborted the response; see request_broken, endpoint_ejected and endpoint_gone";
    case Refusal::DeadlinePassed:
        return "compare waited_ms of the last request_sent with took_ms to tell time in the host from time at the "
               "endpoint";
    case Refusal::Quarantined:
        return "the request, or a segment of its prompt, crashed several endpoints; see the quarantined lines of all "
               "hosts, and request_broken with the same target or segments";
    case Refusal::StreamVersionUnknown:
        return "several versions were in service and no host knew which one began the stream; see stream_taken_up";
    case Refusal::NoEndpointOfVersion:
        return "no endpoint of the version that began the stream was left; see endpoint_gone and endpoint_changed";
    case Refusal::NoRoom:
    case Refusal::CannotBeOnTime:
        return "the service had less room than callers asked for; compare room with demand, and see pressure_began";
    case Refusal::OverFairShare:
        return "the workspace asked for more than its share of the service; compare admitted_percent of others";
    case Refusal::HostLeaving:
        return "the host was stopping";
    default:
        return "docs/OPERATIONS.md lists the reasons";
    }
}

} // namespace

RequestTimeline::RequestTimeline(std::string requestId)
    : id { std::move(requestId) }
{
}

void RequestTimeline::read(std::istream& input)
{
    const auto droppedEvent = std::string { kLogEventNames[LogEvent::LinesDropped] };
    for (auto& line : readLogLines(input)) {
        this->droppedReports += line.text("event") == droppedEvent ? 1 : 0;
        if (this->isRequestLine(line)) {
            this->hosts.insert(line.text("host"));
            if (auto endpoint = line.text("endpoint"); !endpoint.empty())
                this->endpoints.insert(std::move(endpoint));
            this->requestLines.push_back(std::move(line));
        } else if (line.text("request").empty()) {
            this->processLines.push_back(std::move(line));
        }
    }
}

bool RequestTimeline::isRequestLine(const LoggedEvent& line) const { return line.text("request") == this->id; }

bool RequestTimeline::isContextLine(const LoggedEvent& line) const
{
    const auto endpoint = line.text("endpoint");
    if (!endpoint.empty())
        return this->endpoints.contains(endpoint);
    return this->hosts.contains(line.text("host"));
}

std::vector<LoggedEvent> RequestTimeline::relatedLines() const
{
    const auto byTime = [](const LoggedEvent& left, const LoggedEvent& right) { return left.timeMs < right.timeMs; };
    auto lines = this->requestLines;
    const auto [first, last] = std::minmax_element(lines.begin(), lines.end(), byTime);
    const auto from = first->timeMs - kContextInterval.count();
    const auto to = last->timeMs + kContextInterval.count();
    std::copy_if(this->processLines.begin(), this->processLines.end(), std::back_inserter(lines),
        [&](const LoggedEvent& line) { return line.timeMs >= from && line.timeMs <= to && this->isContextLine(line); });
    std::stable_sort(lines.begin(), lines.end(), byTime);
    return lines;
}

std::string RequestTimeline::formatLine(const LoggedEvent& line) const
{
    constexpr std::array<std::string_view, 5> kOmittedFields { "time_ms", "host", "domain", "event", "request" };
    auto text = line.text("host") + "  " + replaceUnderscores(line.text("event"));
    const char* separator = ": ";
    for (const auto& [name, value] : line.fields.items()) {
        if (std::find(kOmittedFields.begin(), kOmittedFields.end(), name) != kOmittedFields.end())
            continue;
        text += separator + name + " " + (value.is_string() ? value.get<std::string>() : value.dump());
        separator = ", ";
    }
    return text;
}

void RequestTimeline::print(std::ostream& output) const
{
    const auto lines = this->relatedLines();
    const auto hasRequestId = [this](const LoggedEvent& line) { return this->isRequestLine(line); };
    const auto start = std::find_if(lines.begin(), lines.end(), hasRequestId)->timeMs;
    std::string reason;
    for (const auto& line : lines) {
        const bool isContextOnly = !this->isRequestLine(line);
        const auto offset = line.timeMs - start;
        output << (offset < 0 ? "" : "+") << offset << " ms  " << (isContextOnly ? "   (" : "")
               << this->formatLine(line) << (isContextOnly ? ")" : "") << "\n";
        if (!isContextOnly)
            reason = line.text("reason");
    }
    if (const auto refusal = kRefusalNames.find(reason))
        output << "It ended with " << reason << ": " << hintFor(*refusal) << ".\n";
    if (this->droppedReports > 0)
        output << "Some hosts dropped log lines under load (lines_dropped); the timeline may be incomplete.\n";
}

} // namespace berylwing
