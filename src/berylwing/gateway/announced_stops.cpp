#include "berylwing/gateway/announced_stops.hpp"

#include "berylwing/core/message_age.hpp"
#include <algorithm>
#include <unordered_map>

namespace berylwing {

namespace {

/** Time for which each message repeats a new announcement, since some digests may be lost. */
constexpr Duration kNewTtl { 1000 };
/** Interval at which announcements are repeated to hosts that start or return. */
constexpr Duration kRepeatInterval { 5000 };
/** The same for a delegate, whom such hosts hear first. */
constexpr Duration kRepeatIntervalOfDelegate { 600 };
/** Limit of the endpoints in one message; the others follow in the next ones. */
constexpr int kMaxReported = 32;

} // namespace

AnnouncedStops::AnnouncedStops(
    const Clock& hostClock, const EndpointDirectory& endpointDirectory, DecisionLog& decisionLog)
    : clock { hostClock }
    , directory { endpointDirectory }
    , log { decisionLog }
{
}

void AnnouncedStops::record(GatewayEndpoint& endpoint, TimePoint toldAt, std::string_view sender)
{
    if (endpoint.hasAnnouncedStop())
        return;
    endpoint.stop.toldAt = toldAt;
    LogLine line { LogEvent::StopAnnounced };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service);
    this->log.write(line.add("age_ms", this->clock.now() - toldAt).add("from", sender));
}

void AnnouncedStops::merge(const wire::StopReport& report, std::string_view sender)
{
    const auto count = std::min(report.endpoints_size(), report.ages_size());
    if (count == 0)
        return;
    std::unordered_map<std::uint32_t, GatewayEndpoint*> endpoints;
    for (const auto& [id, endpoint] : this->directory.all())
        endpoints.emplace(endpoint->processHash, endpoint.get());
    for (int index = 0; index < count; ++index) {
        const auto found = endpoints.find(report.endpoints(index));
        if (found != endpoints.end())
            this->record(*found->second, fromMessageAge(this->clock.now(), report.ages(index)), sender);
    }
}

void AnnouncedStops::appendTo(wire::StopReport& report, bool isDelegate)
{
    const auto now = this->clock.now();
    const auto interval = isDelegate ? kRepeatIntervalOfDelegate : kRepeatInterval;
    std::vector<GatewayEndpoint*> due;
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto& stop = endpoint->stop;
        // The entry of an endpoint that leaves tells it to hosts that start.
        if (!endpoint->hasAnnouncedStop() || endpoint->record.isDraining)
            continue;
        if (now < stop.toldAt + kNewTtl || stop.reportedAt == TimePoint::min() || now >= stop.reportedAt + interval)
            due.push_back(endpoint.get());
    }
    std::stable_sort(due.begin(), due.end(),
        [](const auto* left, const auto* right) { return left->stop.reportedAt < right->stop.reportedAt; });
    for (auto* endpoint : due) {
        if (report.endpoints_size() == kMaxReported)
            break;
        endpoint->stop.reportedAt = now;
        report.add_endpoints(endpoint->processHash);
        report.add_ages(toMessageAge(now, endpoint->stop.toldAt));
    }
}

} // namespace berylwing
