#include "berylwing/gateway/isolation_detector.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

IsolationDetector::IsolationDetector(const EndpointDirectory& endpointDirectory, const HostRoster& hostRoster,
    const FleetView& fleetView, std::string ownDomain)
    : directory { endpointDirectory }
    , roster { hostRoster }
    , fleet { fleetView }
    , domain { std::move(ownDomain) }
{
}

bool IsolationDetector::hasReachableEndpoint() const
{
    const auto& endpoints = this->directory.all();
    return std::any_of(endpoints.begin(), endpoints.end(), [this](const auto& entry) {
        return this->directory.isAvailable(*entry.second) && !entry.second->health.isUnreachable();
    });
}

bool IsolationDetector::hasHeardOtherDomain() const
{
    const auto group = this->roster.groupMembers();
    const auto isInOtherDomain = [this](const HostEntry& host) { return host.domain != this->domain; };
    if (std::none_of(group.begin(), group.end(), isInOtherDomain))
        return !this->roster.hasOtherDomains() || this->fleet.hasLiveOtherDomains();
    return std::any_of(group.begin(), group.end(),
        [&](const HostEntry& host) { return isInOtherDomain(host) && this->fleet.isPeerLive(host.name); });
}

bool IsolationDetector::isIsolated() const { return !this->hasReachableEndpoint() && !this->hasHeardOtherDomain(); }

} // namespace berylwing
