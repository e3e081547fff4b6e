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

/** @brief Kinds of objects that the system keeps in the platform. */
enum class ObjectKind {
    Contract,
    Endpoint,
    Service,
    FailureDomain,
    Host,
    Roster,
    Ledger,
    RoutingPlan,
};

/** @brief Names of the object kinds, as they stand in the platform's paths. */
inline constexpr EnumNames<ObjectKind, 8> kObjectKindNames { {
    "contracts",
    "endpoints",
    "services",
    "domains",
    "hosts",
    "rosters",
    "ledgers",
    "routing_plans",
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

/** @brief Agreement with one workspace, from which all of its limits follow. */
struct Contract {
    std::string workspace;
    std::string key;
    std::string homeDomain;
    double requestsPerSecond = 0;
    double tokensPerSecond = 0;
    std::int64_t concurrency = 0;
    std::int64_t queue = 0;
    std::int64_t priority = 0;
    double weight = 1;
    Duration deadline {};
};

/** @brief One model engine or one instance of a plain service. */
struct EndpointObject {
    std::string name;
    EndpointKind kind = EndpointKind::Engine;
    std::string domain;
    std::string address;
    std::uint16_t port = 0;
    std::string servedName;
    std::int64_t capacity = 1;
    std::int64_t coldCapacity = 1;
    double weight = 1;
    bool isLeaving = false;
};

/** @brief Calls of a service that may not be repeated. */
struct NonIdempotentRule {
    std::string method;
    std::string prefix;
};

/** @brief One plain service and the rules for its calls. */
struct ServiceObject {
    std::string name;
    std::vector<NonIdempotentRule> nonIdempotentCalls;
    Duration deadline {};
};

/** @brief Whether operators have taken a failure domain or a host out of service. */
struct MaintenanceState {
    std::string name;
    bool isOutOfService = false;
};

/** @brief One daemon process of a failure domain. */
struct RosterMember {
    std::string host;
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint16_t linkPort = 0;
    std::uint16_t statusPort = 0;
    bool isLeaving = false;

    bool operator==(const RosterMember&) const = default;
};

/** @brief Members of one failure domain. */
struct Roster {
    std::string domain;
    std::uint64_t version = 0;
    std::vector<RosterMember> members;

    /** @brief Finds a member. @param host Name of the host. @return The member, or a null pointer. */
    [[nodiscard]] const RosterMember* find(std::string_view host) const noexcept;
};

/** @brief Reads a contract. @param value Document. @param path Its place. @param findings Receives faults. */
[[nodiscard]] Contract readContract(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads an endpoint. @param value Document. @param path Its place. @param findings Receives faults. */
[[nodiscard]] EndpointObject readEndpoint(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a service. @param value Document. @param path Its place. @param findings Receives faults. */
[[nodiscard]] ServiceObject readService(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a domain's or host's state. @param value Document. @param path Its place. @param findings Faults. */
[[nodiscard]] MaintenanceState readMaintenanceState(
    const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Reads a roster. @param value Document. @param path Its place. @param findings Receives faults. */
[[nodiscard]] Roster readRoster(const nlohmann::json& value, std::string_view path, Findings& findings);

/** @brief Writes a roster as a document. @param roster Roster. @return Document without the version. */
[[nodiscard]] nlohmann::json writeRoster(const Roster& roster);

/**
 * @brief Checks a configuration object of any kind with the daemon's own rules.
 * @param kind Kind of the object.
 * @param name Name under which it is stored, which its document has to repeat.
 * @param value Document.
 * @return All faults of the document.
 */
[[nodiscard]] Findings checkObject(ObjectKind kind, std::string_view name, const nlohmann::json& value);

} // namespace berylwing
