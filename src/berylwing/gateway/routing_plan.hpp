#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief What may be done again with the requests of a route. */
enum class Repeatability {
    /** Requests may run more than once. */
    Idempotent,
    /** Requests run at most once for each attempt of a caller. */
    NonIdempotent,
    /** Requests are answered by a stream of events; they may run again only where the route is resumable. */
    Streaming,
};

/** @brief Names of the repeatabilities. */
inline constexpr EnumNames<Repeatability, 3> kRepeatabilityNames { {
    "idempotent",
    "non_idempotent",
    "streaming",
} };

/** @brief Service that gets a share of a route's requests. */
struct WeightedService {
    std::string service;
    std::uint64_t weight = 1;
};

/** @brief Rule for the requests of one host name and path prefix. */
struct Route {
    std::string name;
    std::string hostname;
    std::string pathPrefix;
    Repeatability repeatability = Repeatability::NonIdempotent;
    /** Longest time until the final answer. */
    Duration timeout {};
    /** Time within which an answer, or the first event of a stream, is of full use to its caller. */
    Duration target {};
    /** Rank among the routes; zero is the most urgent. */
    unsigned priority = 0;
    std::vector<WeightedService> services;
    /** Most endpoints at which one request may run. */
    unsigned mostAttempts = 1;
    /** Whether requests need no key. */
    bool isPublic = false;
    /** Whether requests name the parts of their prompts. */
    bool isSticky = false;
    /** Whether a broken stream may go on at another endpoint. */
    bool isResumable = false;

    /** @brief Tells whether a request may run again after it may have run. @return True if it may. */
    [[nodiscard]] bool mayRunAgain() const noexcept
    {
        return this->repeatability == Repeatability::Idempotent
            || (this->repeatability == Repeatability::Streaming && this->isResumable);
    }

    /**
     * @brief Chooses the service of a request by the weights of the route.
     * @param requestHash Hash of the request's id.
     * @return Name of the service; empty if the route has none.
     */
    [[nodiscard]] std::string_view serviceFor(std::uint64_t requestHash) const noexcept;
};

/** @brief Properties that all endpoints of a service share. */
struct ServiceTraits {
    std::string name;
    /** Most connections that one endpoint accepts from all hosts together; zero if unknown. */
    std::uint32_t mostConnections = 0;
    /** Requests a second that a cold endpoint bears from all hosts together; zero if it bears any number. */
    double coldRequestsPerSecond = 0;
    Duration coldTime {};
};

/** @brief Bounds on what a caller may send and on how long it may take. */
struct CallerBounds {
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = 4 << 20;
    Duration headerTimeout { 3000 };
    Duration idleTimeout { 15'000 };
};

/** @brief Workspace to which a key belongs. */
struct KeyHolder {
    std::string workspace;
    /** Rank of the workspace's requests, which goes before that of their route. */
    std::optional<unsigned> priority;
};

/** @brief One version of the operators' routing configuration. */
class RoutingPlan {
public:
    /** @brief Creates a plan without routes. @param planVersion Version given by the operators. */
    explicit RoutingPlan(std::uint64_t planVersion = 0)
        : number { planVersion }
    {
    }

    /** @brief Tells the version. @return Version given by the operators. */
    [[nodiscard]] std::uint64_t version() const noexcept { return this->number; }

    /**
     * @brief Finds the route with the longest prefix of a path.
     * @param hostname Host name that the caller asked for, without a port.
     * @param path Path without a query.
     * @return Route, or a null pointer if none matches.
     */
    [[nodiscard]] const Route* match(std::string_view hostname, std::string_view path) const;

    /** @brief Finds the holder of a key. @param key Key of a caller. @return Holder, or a null pointer. */
    [[nodiscard]] const KeyHolder* holderOf(std::string_view key) const;

    /** @brief Finds a service. @param name Name. @return Properties, or a null pointer. */
    [[nodiscard]] const ServiceTraits* service(std::string_view name) const;

    /** @brief Tells whether requests need keys at all. @return True if the plan has workspaces. */
    [[nodiscard]] bool hasWorkspaces() const noexcept { return this->withWorkspaces; }

    /** @brief Reads the bounds on callers. @return Bounds. */
    [[nodiscard]] const CallerBounds& callerBounds() const noexcept { return this->bounds; }

    /** @brief Adds a route. @param route Route. */
    void add(Route route);

    /** @brief Adds a service. @param service Properties. */
    void add(ServiceTraits service);

    /** @brief Adds a workspace with its keys. @param holder Workspace. @param keys Keys. */
    void add(const KeyHolder& holder, const std::vector<std::string>& keys);

    /** @brief Sets the bounds on callers. @param callerBounds Bounds. */
    void setCallerBounds(const CallerBounds& callerBounds) { this->bounds = callerBounds; }

private:
    std::uint64_t number;
    /** Routes of each host name, the longest prefix first. */
    std::map<std::string, std::vector<Route>, std::less<>> routesByHostname;
    std::map<std::string, ServiceTraits, std::less<>> services;
    std::map<std::string, KeyHolder, std::less<>> holdersByKey;
    CallerBounds bounds;
    bool withWorkspaces = false;
};

} // namespace berylwing
