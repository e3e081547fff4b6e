#include "berylwing/gateway/domain_isolation.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

DomainIsolation::DomainIsolation(const EndpointDirectory& endpointDirectory, const HostRoster& hostRoster,
    const FleetView& fleetView, std::string ownDomain)
    : directory { endpointDirectory }
    , roster { hostRoster }
    , fleet { fleetView }
    , domain { std::move(ownDomain) }
{
}

bool DomainIsolation::isAnyEndpointReachable() const
{
    const auto& endpoints = this->directory.all();
    return std::any_of(endpoints.begin(), endpoints.end(), [this](const auto& entry) {
        return this->directory.isOpen(*entry.second) && !entry.second->health.isOutOfReach();
    });
}

bool DomainIsolation::isAnyOtherDomainHeard() const
{
    const auto group = this->roster.group();
    const auto isElsewhere = [this](const HostEntry& host) { return host.domain != this->domain; };
    if (std::none_of(group.begin(), group.end(), isElsewhere))
        return this->roster.otherGroups().empty() || this->fleet.hasLiveOtherGroups();
    return std::any_of(group.begin(), group.end(),
        [&](const HostEntry& host) { return isElsewhere(host) && this->fleet.isPeerLive(host.name); });
}

bool DomainIsolation::isCutOff() const { return !this->isAnyEndpointReachable() && !this->isAnyOtherDomainHeard(); }

} // namespace berylwing
