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

/** @brief One version of a configuration object; an empty document stands for a removed object. */
struct VersionedObject {
    ObjectKind kind = ObjectKind::Contract;
    std::string name;
    std::uint64_t version = 0;
    nlohmann::json value;
};

/**
 * @brief Configuration in force at one host.
 *
 * The version of each object only grows: an object that is older than the one in force is ignored, whoever brings it.
 */
class Catalog {
    template <typename Object> using ByName = std::map<std::string, Object, std::less<>>;
    struct Key {
        ObjectKind kind;
        std::string name;

        auto operator<=>(const Key&) const = default;
    };
    /** Version of an object whose document is kept as text, which takes a fraction of the parsed form's memory. */
    struct StoredObject {
        std::uint64_t version = 0;
        std::string text;
    };

    void install(const VersionedObject& object);

public:
    /** @brief Function called after an object came into force. */
    using Listener = std::function<void(const VersionedObject&)>;

    /** @brief Finds the contract of a key. @param key Bearer token. @return The contract, or a null pointer. */
    [[nodiscard]] const Contract* findContractByKey(std::string_view key) const;

    /** @brief Finds a contract. @param workspace Name of the workspace. @return The contract, or a null pointer. */
    [[nodiscard]] const Contract* contract(std::string_view workspace) const;

    /** @brief Finds a service. @param name Name of the service. @return The service, or a null pointer. */
    [[nodiscard]] const ServiceObject* service(std::string_view name) const;

    /** @brief Finds an endpoint. @param name Name of the endpoint. @return The endpoint, or a null pointer. */
    [[nodiscard]] const EndpointObject* endpoint(std::string_view name) const;

    /** @brief Finds a roster. @param domain Name of the failure domain. @return The roster, or a null pointer. */
    [[nodiscard]] const Roster* roster(std::string_view domain) const;

    /** @brief Lists all endpoints. @return Endpoints by name. */
    [[nodiscard]] const ByName<EndpointObject>& endpoints() const noexcept { return this->endpointsByName; }

    /** @brief Lists all rosters. @return Rosters by failure domain. */
    [[nodiscard]] const ByName<Roster>& rosters() const noexcept { return this->rostersByDomain; }

    /** @brief Tells whether operators took a domain out. @param domain Failure domain. @return True if it is out. */
    [[nodiscard]] bool isDomainOutOfService(std::string_view domain) const;

    /** @brief Tells whether operators took a host out. @param host Host. @return True if it is out. */
    [[nodiscard]] bool isHostOutOfService(std::string_view host) const;

    /** @brief Tells the version in force. @param kind Kind. @param name Name. @return Version, zero if none. */
    [[nodiscard]] std::uint64_t version(ObjectKind kind, std::string_view name) const;

    /**
     * @brief Tells how far this host's knowledge is complete.
     * @return Platform revision up to which every change is known here.
     */
    [[nodiscard]] std::uint64_t completeRevision() const noexcept { return this->completedRevision; }

    /** @brief Lists objects with a higher version. @param version Version known to the asker. @return Objects. */
    [[nodiscard]] std::vector<VersionedObject> findNewerThan(std::uint64_t version) const;

    /** @brief Registers a listener for all later changes. @param listener Function to call. */
    void addListener(Listener listener);

    /**
     * @brief Brings an object into force if it is newer than the one in force.
     * @param object Version of the object.
     * @return True if it came into force.
     * @throws ConfigurationError If the document is not valid.
     */
    bool apply(const VersionedObject& object);

    /**
     * @brief Takes a batch of changes that has no gaps; objects with faults are logged and left out.
     * @param batch Changes after the revision up to which this host's knowledge is complete.
     * @param throughRevision Revision up to which the batch is complete.
     * @return Number of objects that came into force.
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
