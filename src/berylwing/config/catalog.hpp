#pragma once

#include "berylwing/config/objects.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief One version of a configuration object.
 *
 * An empty value marks a removed object, a discarded one an object whose document cannot be read.
 */
struct VersionedObject {
    ObjectKind kind = ObjectKind::Contract;
    std::string name;
    std::uint64_t version = 0;
    nlohmann::json value;
};

/**
 * @brief Holds the configuration in force at one host.
 *
 * The version of each object only grows: an older version is ignored, whether it comes from the platform or from
 * another host.
 */
class Catalog {
    template <typename Object> using ByName = std::map<std::string, Object, std::less<>>;
    struct Key {
        ObjectKind kind;
        std::string name;

        auto operator<=>(const Key&) const = default;
    };
    /** Object as passed on to other hosts; its JSON text takes a fraction of the memory of a parsed value. */
    struct StoredObject {
        std::uint64_t version = 0;
        std::string text;
    };

    /** Replaces the parsed form of an object, or erases it if the object was removed. */
    void install(const VersionedObject& object);

public:
    /** @brief Function called after a version of an object came into force. */
    using Listener = std::function<void(const VersionedObject&)>;

    /** @brief Finds a contract by its API key. @param key Bearer token. @return The contract, or a null pointer. */
    [[nodiscard]] const Contract* findContractByKey(std::string_view key) const;

    /** @brief Finds a contract. @param workspace Name of the workspace. @return The contract, or a null pointer. */
    [[nodiscard]] const Contract* contract(std::string_view workspace) const;

    /** @brief Finds a service. @param name Name of the service. @return The service, or a null pointer. */
    [[nodiscard]] const ServiceObject* service(std::string_view name) const;

    /** @brief Finds an endpoint. @param name Name of the endpoint. @return The endpoint, or a null pointer. */
    [[nodiscard]] const EndpointObject* endpoint(std::string_view name) const;

    /** @brief Finds a roster. @param domain Name of the failure domain. @return The roster, or a null pointer. */
    [[nodiscard]] const Roster* roster(std::string_view domain) const;

    /** @brief Returns all endpoints. @return Endpoints by name. */
    [[nodiscard]] const ByName<EndpointObject>& endpoints() const noexcept { return this->endpointsByName; }

    /** @brief Returns all rosters. @return Rosters by failure domain. */
    [[nodiscard]] const ByName<Roster>& rosters() const noexcept { return this->rostersByDomain; }

    /** @brief Checks if operators took a failure domain out of service. @param domain Name. @return True if so. */
    [[nodiscard]] bool isDomainOutOfService(std::string_view domain) const;

    /** @brief Checks if operators took a host out of service. @param host Name. @return True if so. */
    [[nodiscard]] bool isHostOutOfService(std::string_view host) const;

    /** @brief Returns the version in force. @param kind Kind. @param name Name. @return Version; zero if none. */
    [[nodiscard]] std::uint64_t version(ObjectKind kind, std::string_view name) const;

    /**
     * @brief Returns the platform revision through which this host has received every change.
     * @return Revision; zero before the first complete batch.
     */
    [[nodiscard]] std::uint64_t completeRevision() const noexcept { return this->completedRevision; }

    /** @brief Returns the objects with a higher version. @param version Version known to the peer. @return Objects. */
    [[nodiscard]] std::vector<VersionedObject> findNewerThan(std::uint64_t version) const;

    /** @brief Registers a listener for later changes. @param listener Function to call. */
    void addListener(Listener listener);

    /**
     * @brief Applies a version of an object if it is newer than the one in force.
     * @param object Version of the object.
     * @return True if it was applied.
     * @throws ConfigurationError If the document is invalid.
     */
    bool apply(const VersionedObject& object);

    /**
     * @brief Applies a batch of changes without gaps; invalid objects are logged and skipped.
     * @param batch All changes between completeRevision() and the end of the batch.
     * @param throughRevision Revision at which the batch ends.
     * @return Number of applied objects.
     */
    std::size_t applyBatch(const std::vector<VersionedObject>& batch, std::uint64_t throughRevision);

private:
    std::map<Key, StoredObject> objects;
    ByName<Contract> contracts;
    std::map<std::string, std::string, std::less<>> workspaceOfKey;
    ByName<ServiceObject> services;
    ByName<EndpointObject> endpointsByName;
    ByName<Roster> rostersByDomain;
    ByName<MaintenanceState> domainStates;
    ByName<MaintenanceState> hostStates;
    std::vector<Listener> listeners;
    std::uint64_t completedRevision = 0;
};

} // namespace berylwing
