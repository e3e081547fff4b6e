#include "berylwing/gateway/endpoint_reach.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Endpoints to which connections have to fail one after the other before all of them are probed. */
constexpr std::size_t kSuspiciousFailures = 3;
/** Time within which they have to fail. */
constexpr Duration kSuspicionTimeout { 2000 };

} // namespace

bool EndpointReach::isMostlyUnreachable(const Count& count) { return 2 * count.unreachable >= count.available; }

void EndpointReach::log(LogEvent event, const std::string& service, const Count& count)
{
    LogLine line { event };
    line.add("service", service).add("endpoints", static_cast<std::int64_t>(count.available));
    this->decisionLog.write(line.add("unreachable", static_cast<std::int64_t>(count.unreachable)));
}

bool EndpointReach::isSuspicious() const
{
    if (this->failures.size() < kSuspiciousFailures)
        return false;
    const auto& first = this->failures.begin()->second.domain;
    const auto isElsewhere = [&first](const auto& entry) { return entry.second.domain != first; };
    if (std::any_of(this->failures.begin(), this->failures.end(), isElsewhere))
        return true;
    const auto& endpoints = this->directory.all();
    return std::all_of(endpoints.begin(), endpoints.end(),
        [&first](const auto& entry) { return entry.second->record.domain == first; });
}

void EndpointReach::recordConnection(const GatewayEndpoint& endpoint, bool isConnected)
{
    if (isConnected) {
        this->failures.clear();
        return;
    }
    const auto now = this->clock.now();
    this->failures.insert_or_assign(endpoint.record.id, Failure { endpoint.record.domain, now });
    std::erase_if(this->failures, [now](const auto& entry) { return entry.second.at + kSuspicionTimeout < now; });
    if (!this->isSuspicious() || (this->probedAt != TimePoint::min() && now < this->probedAt + kSuspicionTimeout))
        return;
    this->probedAt = now;
    this->probe();
}

void EndpointReach::update()
{
    std::map<std::string, Count, std::less<>> counts;
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (!this->directory.isAvailable(*endpoint))
            continue;
        auto& count = counts[endpoint->record.service];
        ++count.available;
        count.unreachable += endpoint->health.isUnreachable() ? 1 : 0;
    }
    for (auto service = this->lost.begin(); service != this->lost.end();) {
        const auto& count = counts[*service];
        if (count.available > 0 && isMostlyUnreachable(count)) {
            ++service;
            continue;
        }
        this->log(LogEvent::EndpointsRegained, *service, count);
        service = this->lost.erase(service);
    }
    // Sound endpoints answer a probe between two updates.
    std::set<std::string, std::less<>> unreachableNow;
    for (const auto& [service, count] : counts) {
        if (count.available == 0 || count.unreachable < count.available)
            continue;
        unreachableNow.insert(service);
        if (this->unreachable.contains(service) && this->lost.insert(service).second)
            this->log(LogEvent::EndpointsLost, service, count);
    }
    this->unreachable = std::move(unreachableNow);
}

bool EndpointReach::isImpaired(std::string_view service) const
{
    Count count;
    for (const auto& endpoint : this->directory.availableEndpoints(service)) {
        ++count.available;
        count.unreachable += endpoint->health.isUnreachable() ? 1 : 0;
    }
    return count.unreachable > 0 && isMostlyUnreachable(count);
}

} // namespace berylwing
