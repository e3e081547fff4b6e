#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Kind of a route, which determines if its requests may run more than once. */
enum class RouteKind {
    /** Requests may run any number of times. */
    Idempotent,
    /** Requests run at most once per attempt of a caller. */
    NonIdempotent,
    /** Requests are answered by an event stream; they may run again only if the route is resumable. */
    Streaming,
};

/** @brief Names of the route kinds. */
inline constexpr EnumNames<RouteKind, 3> kRouteKindNames { {
    "idempotent",
    "non_idempotent",
    "streaming",
} };

/** @brief Service that gets a weighted share of a route's requests. */
struct WeightedService {
    std::string service;
    std::uint64_t weight = 1;
};

/** @brief Rule for the requests of one host name and path prefix. */
struct Route {
    std::string name;
    std::string hostname;
    std::string pathPrefix;
    RouteKind kind = RouteKind::NonIdempotent;
    /** Time limit for the final answer. */
    Duration timeout {};
    /** Latency objective of the answer, or of the first event of a stream. */
    Duration targetLatency {};
    /** Longest pause between the events of a stream that is in time; zero if the route names none. */
    Duration targetGap {};
    /** Priority among the routes; zero is the highest. */
    unsigned priority = 0;
    std::vector<WeightedService> services;
    /** Limit for the number of endpoints at which one request may run. */
    unsigned maxAttempts = 1;
    /** Whether requests need no API key. */
    bool isPublic = false;
    /** Whether requests list their prompt parts, so that they are placed where those parts are cached. */
    bool isSticky = false;
    /** Whether a broken stream may be resumed at another endpoint. */
    bool isResumable = false;

    /** @brief Checks if a request that may already have run can be run again. @return True if it can. */
    [[nodiscard]] bool isRetryable() const noexcept
    {
        return this->kind == RouteKind::Idempotent || (this->kind == RouteKind::Streaming && this->isResumable);
    }

    /**
     * @brief Selects the service of a request by the weights of the route.
     * @param requestHash Hash of the request's id.
     * @return Name of the service; empty if the route has none.
     */
    [[nodiscard]] std::string_view selectService(std::uint64_t requestHash) const noexcept;

    /** @brief Returns the longest time for which a stream can be open: that of the attempts that begin and resume it.
     */
    [[nodiscard]] Duration streamLifetime() const noexcept { return 2 * this->timeout; }
};

/** @brief Properties of the model that the endpoints of a service run. */
struct ModelTraits {
    /** Requests that an endpoint processes at a time; zero if unknown. */
    std::uint32_t slots = 0;
    /** Tokens that fit into the memory of an endpoint; zero if unknown. */
    std::uint32_t memoryTokens = 0;
    /** Tokens in an event of a stream. */
    std::uint32_t tokensPerEvent = 1;
};

/** @brief Properties common to all endpoints of a service. */
struct ServiceTraits {
    std::string name;
    /** Limit for the connections that one endpoint accepts from all hosts together; zero if unknown. */
    std::uint32_t maxConnections = 0;
    /** Requests per second that a cold endpoint can take from all hosts together; zero if unlimited. */
    double coldRequestsPerSecond = 0;
    /** Time for which an endpoint is cold after its start. */
    Duration coldDuration {};
    /** Properties of its model; empty for a service without one. */
    std::optional<ModelTraits> model {};
};

/** @brief Size limits and timeouts of callers' connections. */
struct CallerBounds {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 << 20;
    Duration headerTimeout { 3000 };
    Duration idleTimeout { 15'000 };
};

/** @brief Workspace that owns an API key. */
struct KeyHolder {
    std::string workspace;
    /** Priority of the workspace's requests, which overrides that of their route. */
    std::optional<unsigned> priority;
};

/** @brief Workspace with its API keys. */
struct ListedWorkspace {
    KeyHolder holder;
    std::vector<std::string> keys;
};

/** @brief Entry of a document. */
template <typename Entry> struct Listed {
    /** Path of the entry in its document. */
    std::string place;
    Entry entry;
};

/** @brief Routing configuration as the operators wrote it: a plan merges entries that are there twice. */
struct PlanListing {
    std::uint64_t version = 0;
    std::vector<Listed<Route>> routes;
    std::vector<Listed<ServiceTraits>> services;
    std::vector<Listed<ListedWorkspace>> workspaces;
    /** Whether there is a list of workspaces, even an empty one. */
    bool requiresKeys = false;
    Listed<CallerBounds> bounds;
};

/** @brief Parses a document of the platform; throws ConfigurationError if it is invalid. */
using PlanLister = std::function<PlanListing(const nlohmann::json&)>;

/** @brief One version of the operators' routing configuration. */
class RoutingPlan {
public:
    /** @brief Creates a plan without routes. @param planVersion Version set by the operators. */
    explicit RoutingPlan(std::uint64_t planVersion = 0)
        : versionNumber { planVersion }
    {
    }

    /** @brief Creates a plan of listed entries. @param listing Entries. */
    explicit RoutingPlan(PlanListing listing);

    /** @brief Returns the version. @return Version set by the operators. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->versionNumber; }

    /**
     * @brief Finds the route with the longest prefix of a path.
     * @param hostname Host name in the request, without a port.
     * @param path Path without a query.
     * @return Route; a null pointer if none matches.
     */
    [[nodiscard]] const Route* findRoute(std::string_view hostname, std::string_view path) const;

    /** @brief Finds the workspace of an API key. @param key Key of a caller. @return Workspace, or a null pointer. */
    [[nodiscard]] const KeyHolder* findKeyHolder(std::string_view key) const;

    /** @brief Finds a service. @param name Name. @return Properties, or a null pointer. */
    [[nodiscard]] const ServiceTraits* findService(std::string_view name) const;

    /**
     * @brief Returns the longest time for which streams of a service can be open.
     * @param service Service.
     * @return Time in which a caller may resume a stream; zero if no route leads resumable streams to the service.
     */
    [[nodiscard]] Duration streamLifetime(std::string_view service) const;

    /**
     * @brief Returns the longest time for which a request of a service can last.
     * @param service Service.
     * @return Time limit of the route with the longest one; zero if no route leads to the service.
     */
    [[nodiscard]] Duration longestTimeout(std::string_view service) const;

    /** @brief Checks if requests need API keys. @return True if the plan lists workspaces, even if none is left. */
    [[nodiscard]] bool requiresKeys() const noexcept { return this->isKeyRequired; }

    /** @brief Returns the bounds on callers. @return Bounds. */
    [[nodiscard]] const CallerBounds& callerBounds() const noexcept { return this->bounds; }

    /** @brief Adds a route. @param route Route. */
    void add(Route route);

    /** @brief Adds a service. @param service Properties. */
    void add(ServiceTraits service);

    /** @brief Adds a workspace with its API keys. @param holder Workspace. @param keys Keys. */
    void add(const KeyHolder& holder, const std::vector<std::string>& keys);

    /** @brief Makes requests need API keys; add() does so for a workspace. */
    void requireKeys() noexcept { this->isKeyRequired = true; }

    /** @brief Sets the bounds on callers. @param callerBounds Bounds. */
    void setCallerBounds(const CallerBounds& callerBounds) { this->bounds = callerBounds; }

private:
    std::uint64_t versionNumber;
    /** Routes of each host name, sorted by descending prefix length. */
    std::map<std::string, std::vector<Route>, std::less<>> routesByHostname;
    std::map<std::string, ServiceTraits, std::less<>> services;
    std::map<std::string, KeyHolder, std::less<>> holdersByKey;
    CallerBounds bounds;
    bool isKeyRequired = false;
};

} // namespace berylwing
