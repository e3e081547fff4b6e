#include "berylwing/gateway/routing_plan.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

bool leadsTo(const Route& route, std::string_view service)
{
    return std::any_of(route.services.begin(), route.services.end(),
        [service](const WeightedService& share) { return share.service == service && share.weight > 0; });
}

} // namespace

std::string_view Route::selectService(std::uint64_t requestHash) const noexcept
{
    std::uint64_t total = 0;
    for (const auto& share : this->services)
        total += share.weight;
    if (total == 0)
        return {};
    auto offset = requestHash % total;
    for (const auto& share : this->services) {
        if (offset < share.weight)
            return share.service;
        offset -= share.weight;
    }
    return {};
}

RoutingPlan::RoutingPlan(PlanListing listing)
    : versionNumber { listing.version }
    , bounds { listing.bounds.entry }
    , isKeyRequired { listing.requiresKeys }
{
    for (auto& [place, route] : listing.routes)
        this->add(std::move(route));
    for (auto& [place, service] : listing.services)
        this->add(std::move(service));
    for (const auto& [place, workspace] : listing.workspaces)
        this->add(workspace.holder, workspace.keys);
}

const Route* RoutingPlan::findRoute(std::string_view hostname, std::string_view path) const
{
    const auto found = this->routesByHostname.find(hostname);
    if (found == this->routesByHostname.end())
        return nullptr;
    for (const auto& route : found->second) {
        if (path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

const KeyHolder* RoutingPlan::findKeyHolder(std::string_view key) const
{
    const auto found = this->holdersByKey.find(key);
    return found == this->holdersByKey.end() ? nullptr : &found->second;
}

const ServiceTraits* RoutingPlan::findService(std::string_view name) const
{
    const auto found = this->services.find(name);
    return found == this->services.end() ? nullptr : &found->second;
}

Duration RoutingPlan::streamLifetime(std::string_view service) const
{
    Duration longest {};
    for (const auto& [hostname, routes] : this->routesByHostname) {
        for (const auto& route : routes) {
            const bool isResumable = route.kind == RouteKind::Streaming && route.isResumable;
            if (isResumable && leadsTo(route, service))
                longest = std::max(longest, route.streamLifetime());
        }
    }
    return longest;
}

Duration RoutingPlan::longestTimeout(std::string_view service) const
{
    Duration longest {};
    for (const auto& [hostname, routes] : this->routesByHostname) {
        for (const auto& route : routes) {
            if (leadsTo(route, service))
                longest = std::max(longest, route.timeout);
        }
    }
    return longest;
}

void RoutingPlan::add(Route route)
{
    auto& routes = this->routesByHostname[route.hostname];
    const auto position = std::find_if(routes.begin(), routes.end(),
        [&route](const Route& other) { return other.pathPrefix.size() < route.pathPrefix.size(); });
    routes.insert(position, std::move(route));
}

void RoutingPlan::add(ServiceTraits service)
{
    auto name = service.name;
    this->services.insert_or_assign(std::move(name), std::move(service));
}

void RoutingPlan::add(const KeyHolder& holder, const std::vector<std::string>& keys)
{
    this->requireKeys();
    for (const auto& key : keys) {
        // A request without a key must not pass for one with an empty key.
        if (!key.empty())
            this->holdersByKey.insert_or_assign(key, holder);
    }
}

} // namespace berylwing
