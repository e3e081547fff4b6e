#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/finding.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Kinds of objects in the platform's object store. */
enum class ObjectKind {
    Contract,
    Endpoint,
    Service,
    FailureDomain,
    Host,
    Roster,
    Ledger,
    RoutingPlan,
    /** Software versions that are or were in service together. */
    ServiceVersions,
    /** Orders to move a service to a version of its software. */
    Rollout,
};

/** @brief Names of the object kinds in the paths of the platform's API. */
inline constexpr EnumNames<ObjectKind, 10> kObjectKindNames { {
    "contracts",
    "endpoints",
    "services",
    "domains",
    "hosts",
    "rosters",
    "ledgers",
    "routing_plans",
    "service_versions",
    "rollouts",
} };

/** @brief Kinds of endpoints. */
enum class EndpointKind {
    Engine,
    Service,
};

/** @brief Names of the endpoint kinds. */
inline constexpr EnumNames<EndpointKind, 2> kEndpointKindNames { {
    "engine",
    "service",
} };

/** @brief API key, rate limits and priority of one workspace. */
struct Contract {
    std::string workspace;
    /** Bearer token that identifies the workspace. */
    std::string key;
    /** Failure domain that keeps the workspace's ledger while it is in service. */
    std::string homeDomain;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::int64_t concurrency = 0;
    std::int64_t queue = 0;
    std::int64_t priority = 0;
    double weight = 1;
    Duration deadline {};
};

/** @brief One model engine, or one instance of a service other than a model. */
struct EndpointObject {
    std::string name;
    EndpointKind kind = EndpointKind::Engine;
    std::string domain;
    std::string address;
    std::uint16_t port = 0;
    /** Name of the served model or service, depending on the kind. */
    std::string servedName;
    /** Maximum number of concurrent requests. */
    std::int64_t capacity = 1;
    /** Maximum number of concurrent requests while the endpoint warms up. */
    std::int64_t coldCapacity = 1;
    double weight = 1;
    /** Whether the endpoint receives no new requests because it will be removed. */
    bool isLeaving = false;
};

/** @brief Method and path prefix of calls that must not be retried after they may have been executed. */
struct NonIdempotentRule {
    std::string method;
    std::string prefix;
};

/** @brief One service other than a model, and the rules for its calls. */
struct ServiceObject {
    std::string name;
    std::vector<NonIdempotentRule> nonIdempotentCalls;
    Duration deadline {};
};

/** @brief State by which operators take a failure domain or a host out of service. */
struct MaintenanceState {
    std::string name;
    bool isOutOfService = false;
};

/** @brief One daemon process of a failure domain. */
struct RosterMember {
    std::string host;
    /** Start of the process, which tells it from an earlier process of the same host. */
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint16_t linkPort = 0;
    std::uint16_t statusPort = 0;
    bool isLeaving = false;

    bool operator==(const RosterMember&) const = default;
};

/** @brief Membership list of one failure domain, as registered in the platform's store. */
struct Roster {
    std::string domain;
    /** Version of the stored object; not part of its document. */
    std::uint64_t version = 0;
    std::vector<RosterMember> members;

    /** @brief Finds a member. @param host Name of the host. @return The member, or a null pointer. */
    [[nodiscard]] const RosterMember* find(std::string_view host) const noexcept;
};

/** @brief Reads a contract. @param value Document. @param path Path for findings. @param findings Findings. */
[[nodiscard]] Contract readContract(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads an endpoint. @param value Document. @param path Path for findings. @param findings Findings. */
[[nodiscard]] EndpointObject readEndpoint(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a service. @param value Document. @param path Path for findings. @param findings Findings. */
[[nodiscard]] ServiceObject readService(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a maintenance state. @param value Document. @param path Path for findings. @param findings Findings. */
[[nodiscard]] MaintenanceState readMaintenanceState(
    const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a roster. @param value Document. @param path Path for findings. @param findings Findings. */
[[nodiscard]] Roster readRoster(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Writes a roster as a document. @param roster Roster. @return Document, without the version. */
[[nodiscard]] nlohmann::json writeRoster(const Roster& roster);

/**
 * @brief Validates a configuration object of any kind with the rules that the daemon applies.
 * @param kind Kind of the object.
 * @param name Name under which it is stored; the document must contain the same name.
 * @param value Document.
 * @return All validation errors of the document.
 */
[[nodiscard]] Findings checkObject(ObjectKind kind, std::string_view name, const nlohmann::json& value);

} // namespace berylwing
