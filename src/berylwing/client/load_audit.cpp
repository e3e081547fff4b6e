#include "berylwing/client/load_audit.hpp"

#include "berylwing/telemetry/decision_log.hpp"
#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <sstream>
#include <utility>

namespace berylwing {

namespace {

constexpr std::int64_t kWindowMs = 5000;
/** Multiple of the mean load of a service, and requests on top of it, that the users allow at an endpoint. */
constexpr double kMaxLoadRatio = 2;
constexpr double kLoadTolerance = 3;

bool isEvent(const std::string& name, LogEvent event) { return name == kLogEventNames[event]; }

/** Checks if a line says that a request is no longer at its endpoint. */
bool isEndOfSend(const std::string& name)
{
    return isEvent(name, LogEvent::RequestAnswered) || isEvent(name, LogEvent::RequestBroken)
        || isEvent(name, LogEvent::RequestRetried) || isEvent(name, LogEvent::RequestResumed)
        || isEvent(name, LogEvent::RequestRefused) || isEvent(name, LogEvent::CallerLeft);
}

} // namespace

void LoadAudit::read(std::istream& input)
{
    auto read = readLogLines(input);
    std::move(read.begin(), read.end(), std::back_inserter(this->lines));
}

void LoadAudit::endRequest(const RequestId& request)
{
    const auto found = this->running.find(request);
    if (found == this->running.end())
        return;
    const auto& [service, endpoint] = found->second;
    if (const auto entry = this->held[service].find(endpoint); entry != this->held[service].end())
        --entry->second;
    this->running.erase(found);
}

void LoadAudit::endRequestsOf(const std::string& host)
{
    for (auto entry = this->running.lower_bound({ host, "" });
         entry != this->running.end() && entry->first.first == host;)
        this->endRequest((entry++)->first);
}

void LoadAudit::addSend(const LoggedEvent& line, const std::string& service, const std::string& endpoint)
{
    auto& loads = this->held[service];
    auto& load = loads[endpoint];
    double total = 0;
    for (const auto& [id, count] : loads)
        total += static_cast<double>(count);
    const auto mean = total / static_cast<double>(loads.size());
    auto& window = this->windows[{ service, (line.timeMs - this->startMs) / kWindowMs }];
    ++window.sent;
    window.maxHeld = std::max(window.maxHeld, load + 1);
    window.totalMean += mean;
    window.totalBelievedMean += line.fields.value("load_mean", 0.0);
    window.totalAgeMs += line.fields.value("load_age_ms", std::int64_t {});
    if (static_cast<double>(load) > kMaxLoadRatio * mean + kLoadTolerance) {
        const auto believed = line.fields.value("load_own", 0.0) + line.fields.value("load_others", 0.0);
        ++window.overLimit;
        window.believedBelow += believed < line.fields.value("load_limit", 0.0) ? 1 : 0;
    }
    ++load;
    this->running[{ line.text("host"), line.text("request") }] = { service, endpoint };
}

void LoadAudit::apply(const LoggedEvent& line)
{
    const auto event = line.text("event");
    const auto host = line.text("host");
    const auto endpoint = line.text("endpoint");
    const auto service = line.text("service");
    const RequestId request { host, line.text("request") };
    if (isEvent(event, LogEvent::Started)) {
        this->endRequestsOf(host);
    } else if (isEvent(event, LogEvent::EndpointsListed)) {
        std::istringstream ids { line.text("endpoints") };
        for (std::string id; ids >> id;)
            this->held[service].try_emplace(id, 0);
    } else if (isEvent(event, LogEvent::EndpointSeen)) {
        this->held[service].try_emplace(endpoint, 0);
    } else if (isEvent(event, LogEvent::EndpointGone)) {
        this->held[service].erase(endpoint);
    } else if (isEvent(event, LogEvent::RequestSent)) {
        this->endRequest(request);
        this->addSend(line, service, endpoint);
    } else if (isEndOfSend(event)) {
        this->endRequest(request);
    }
}

void LoadAudit::print(std::ostream& output)
{
    std::stable_sort(this->lines.begin(), this->lines.end(),
        [](const LoggedEvent& left, const LoggedEvent& right) { return left.timeMs < right.timeMs; });
    const auto first = std::find_if(this->lines.begin(), this->lines.end(),
        [](const LoggedEvent& line) { return isEvent(line.text("event"), LogEvent::RequestSent); });
    this->startMs = first == this->lines.end() ? 0 : first->timeMs;
    for (const auto& line : this->lines)
        this->apply(line);
    for (const auto& [key, window] : this->windows) {
        output << fmt::format(
            "{} {:3}-{:<3} s  sent {:5}  over the limit {:4} ({:.3f}), believed below {:4}  most {:3}  "
            "mean {:5.2f}, believed {:5.2f}  age {:4} ms\n",
            key.first, key.second * kWindowMs / 1000, (key.second + 1) * kWindowMs / 1000, window.sent,
            window.overLimit, static_cast<double>(window.overLimit) / window.sent, window.believedBelow, window.maxHeld,
            window.totalMean / window.sent, window.totalBelievedMean / window.sent, window.totalAgeMs / window.sent);
    }
}

} // namespace berylwing
