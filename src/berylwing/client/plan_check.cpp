#include "berylwing/client/plan_check.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace berylwing {

namespace {

std::string quote(std::string_view text) { return "\"" + std::string { text } + "\""; }

std::string toText(Duration time) { return std::to_string(time.count()) + " ms"; }

/** Checks one plan and collects what it finds. */
class PlanChecker {
    void error(const std::string& place, std::string text)
    {
        this->findings.push_back({ PlanSeverity::Error, place, std::move(text) });
    }

    void warn(const std::string& place, std::string text)
    {
        this->findings.push_back({ PlanSeverity::Warning, place, std::move(text) });
    }

    /** Hosts compare a request's host name up to its port, and its path, byte by byte. */
    void checkMatch(const std::string& place, const Route& route)
    {
        if (route.hostname.find(':') != std::string::npos)
            this->error(place, "never matches: a host name is compared without its port");
        else if (route.hostname.empty())
            this->warn(place, "matches only requests that name no host");
        if (!route.pathPrefix.starts_with('/'))
            this->error(place, "never matches: no path begins with " + quote(route.pathPrefix));
        else if (!route.pathPrefix.ends_with('/'))
            this->warn(place, "also matches paths that go on with other letters after " + quote(route.pathPrefix));
        const auto [earlier, isFirst]
            = this->routePlaces.try_emplace(std::pair { route.hostname, route.pathPrefix }, place);
        if (!isFirst)
            this->error(place, "never matches: " + earlier->second + " has the same host name and path prefix");
    }

    void checkServices(const std::string& place, const Route& route)
    {
        const auto isUsed = [](const WeightedService& share) { return share.weight > 0; };
        if (std::none_of(route.services.begin(), route.services.end(), isUsed))
            this->error(place, "serves nothing: the weights of all its services are zero");
        for (const auto& share : route.services) {
            if (share.weight > 0)
                this->usedServices.insert(share.service);
            if (!this->servicePlaces.contains(share.service))
                this->error(place, "leads to the service " + quote(share.service) + ", which is not defined");
        }
    }

    void checkLimits(const std::string& place, const Route& route)
    {
        const auto timeout = toText(route.timeout);
        if (route.timeout <= Duration {})
            this->error(place, "serves nothing: its timeout is zero");
        else if (route.targetLatency > route.timeout)
            this->warn(
                place, "its target latency of " + toText(route.targetLatency) + " is over its timeout of " + timeout);
        if (route.targetGap > route.timeout)
            this->warn(place, "its target gap of " + toText(route.targetGap) + " is over its timeout of " + timeout);
        const bool isStreaming = route.kind == RouteKind::Streaming;
        if (route.targetGap > Duration {} && !isStreaming)
            this->warn(place, "its target gap has no effect, as its answers are no streams");
        if (route.isResumable && !isStreaming)
            this->warn(place, "its answers cannot be resumed, as they are no streams");
        if (route.maxAttempts > 1 && !route.isRetryable())
            this->warn(place,
                "its " + std::to_string(route.maxAttempts)
                    + " attempts cannot be used, as its requests must not run again");
        if (route.maxAttempts == 0)
            this->warn(place, "its requests run although it allows no attempt");
    }

    void checkRoute(const Listed<Route>& listed)
    {
        this->checkMatch(listed.place, listed.entry);
        this->checkServices(listed.place, listed.entry);
        this->checkLimits(listed.place, listed.entry);
    }

    void listServices()
    {
        for (const auto& [place, service] : this->plan.services) {
            const auto [earlier, isFirst] = this->servicePlaces.try_emplace(service.name, place);
            if (!isFirst)
                this->error(place, "replaces the service " + quote(service.name) + " of " + earlier->second);
        }
    }

    void checkService(const std::string& place, const ServiceTraits& service)
    {
        const bool hasTime = service.coldDuration > Duration {};
        if (service.coldRequestsPerSecond < 0)
            this->error(place, "its rate for cold endpoints is below zero");
        else if (hasTime && service.coldRequestsPerSecond == 0)
            this->warn(
                place, "its endpoints are cold for " + toText(service.coldDuration) + ", but no rate limits them");
        else if (!hasTime && service.coldRequestsPerSecond > 0)
            this->warn(place, "its rate for cold endpoints has no effect, as they are never cold after a start");
        if (service.model && service.maxConnections > 0 && service.model->slots > service.maxConnections)
            this->warn(place,
                "its " + std::to_string(service.model->slots) + " slots cannot be used over "
                    + std::to_string(service.maxConnections) + " connections");
        if (!this->usedServices.contains(service.name))
            this->warn(place, "no route leads to the service " + quote(service.name));
    }

    void checkWorkspace(const Listed<ListedWorkspace>& listed)
    {
        const auto& [holder, keys] = listed.entry;
        const auto [earlier, isFirst] = this->workspacePlaces.try_emplace(holder.workspace, listed.place);
        if (!isFirst)
            this->warn(listed.place, "is the same workspace as " + earlier->second);
        if (keys.empty())
            this->warn(listed.place, "has no key, so that it has no callers");
        /** Number of keys that are also listed at another place, by that place. */
        std::map<std::string, int> shared;
        int emptyKeys = 0;
        for (const auto& key : keys) {
            if (key.empty()) {
                ++emptyKeys;
                continue;
            }
            const auto [other, isNew] = this->keyPlaces.try_emplace(key, &listed);
            if (!isNew && other->second->entry.holder.workspace != holder.workspace)
                ++shared[other->second->place];
            else if (!isNew)
                this->warn(listed.place, "lists a key twice");
        }
        if (emptyKeys > 0)
            this->warn(listed.place, "lists an empty key, which admits nobody");
        for (const auto& [place, count] : shared)
            this->error(
                listed.place, std::to_string(count) + " of its keys are also those of another workspace, " + place);
    }

    void checkKeys()
    {
        const bool hasKeys = std::any_of(this->plan.workspaces.begin(), this->plan.workspaces.end(),
            [](const Listed<ListedWorkspace>& listed) { return !listed.entry.keys.empty(); });
        for (const auto& [place, route] : this->plan.routes) {
            if (route.isPublic)
                continue;
            if (!this->plan.requiresKeys)
                this->warn(place, "admits every caller although it is not public, as there is no list of workspaces");
            else if (!hasKeys)
                this->error(place, "admits no caller: no workspace has a key");
        }
    }

    void checkBounds()
    {
        const auto& [place, bounds] = this->plan.bounds;
        if (bounds.maxHeaderBytes == 0)
            this->error(place, "admits no request: the largest head is zero");
        if (bounds.headerTimeout <= Duration {})
            this->error(place, "admits no request: the time for a head is zero");
        if (bounds.maxBodyBytes == 0)
            this->warn(place, "admits no request with a body");
        if (bounds.idleTimeout < bounds.headerTimeout)
            this->warn(place,
                "the time for a head of " + toText(bounds.headerTimeout) + " is over the idle time of "
                    + toText(bounds.idleTimeout));
    }

public:
    explicit PlanChecker(const PlanListing& checkedPlan)
        : plan { checkedPlan }
    {
    }

    std::vector<PlanFinding> check()
    {
        this->listServices();
        for (const auto& route : this->plan.routes)
            this->checkRoute(route);
        for (const auto& [place, service] : this->plan.services)
            this->checkService(place, service);
        for (const auto& workspace : this->plan.workspaces)
            this->checkWorkspace(workspace);
        this->checkKeys();
        this->checkBounds();
        return std::move(this->findings);
    }

private:
    const PlanListing& plan;
    std::vector<PlanFinding> findings;
    /** Place of the first route with a host name and path prefix, and likewise below. */
    std::map<std::pair<std::string, std::string>, std::string> routePlaces;
    std::map<std::string, std::string> servicePlaces;
    std::map<std::string, std::string> workspacePlaces;
    std::map<std::string, const Listed<ListedWorkspace>*> keyPlaces;
    std::set<std::string> usedServices;
};

} // namespace

std::vector<PlanFinding> checkPlan(const PlanListing& plan) { return PlanChecker { plan }.check(); }

} // namespace berylwing
