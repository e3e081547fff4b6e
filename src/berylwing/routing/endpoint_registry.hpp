#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/reasons.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/routing/endpoint_connection.hpp"
#include "berylwing/routing/handoffs.hpp"
#include "berylwing/routing/ownership_policy.hpp"
#include "berylwing/routing/registered_endpoint.hpp"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

class Metrics;

/** @brief Total load of the engines that serve one model in a failure domain. */
struct PoolLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t engines = 0;

    /**
     * @brief Returns the maximum number of requests in flight at one engine, as in bounded-load hashing.
     * @param multiple Multiple of the mean load that one engine may have.
     * @return Limit, at least one.
     */
    [[nodiscard]] std::uint32_t boundPerEngine(double multiple) const noexcept;
};

/**
 * @brief Endpoints of this host's failure domain, with their ownership, lifecycle and load.
 *
 * The registry probes the endpoints that this host sends to, admits requests, and transfers endpoints to other hosts
 * when the roster changes. It sends the lifecycle of owned endpoints to the hosts that would become acting owner.
 */
class EndpointRegistry {
    void onCatalogChange(const VersionedObject& object);
    void onEndpointState(const wire::EndpointState& state);
    /** Claims, gives up or offers the ownership of an endpoint, as roster and leases require. */
    void reconcile(RegisteredEndpoint& endpoint);
    void reconcileAll();
    /** Counts changes of degraded and acting ownership, and resets the load check of a new acting owner. */
    void trackOwnershipChanges(RegisteredEndpoint& endpoint);
    /** Forgets the chats whose prefixes the restarted engine no longer caches. */
    void handleTurnedCold(RegisteredEndpoint& endpoint);
    [[nodiscard]] FailureDomain::HeartbeatContent describeHeartbeat() const;
    /** Sends the lifecycle of an owned endpoint to the hosts ranked next, if it has changed. */
    void publishState(const RegisteredEndpoint& endpoint);
    [[nodiscard]] Task<void> probe(RegisteredEndpointPtr endpoint);
    void applyLoadReport(RegisteredEndpoint& endpoint, const LoadReport& report, TimePoint probedAt);

public:
    /**
     * @brief Creates the registry from the catalog.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param endpointAccess Access to the endpoints.
     * @param multiple Multiple of the mean load that an engine may have.
     */
    EndpointRegistry(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        Metrics& hostMetrics, EndpointAccess endpointAccess, double multiple);

    /** @brief Finds an endpoint by name. @param name Name. @return Its state, or a null pointer. */
    [[nodiscard]] RegisteredEndpointPtr find(std::string_view name) const;

    /** @brief Returns all endpoints of the domain. @return Endpoints by name. */
    [[nodiscard]] const std::map<std::string, RegisteredEndpointPtr, std::less<>>& all() const noexcept
    {
        return this->endpoints;
    }

    /** @brief Returns how many requests this host may have in flight at an endpoint now. @param endpoint Endpoint. */
    [[nodiscard]] std::uint32_t allowance(const RegisteredEndpoint& endpoint) const;

    /**
     * @brief Checks if one more request can be admitted at an endpoint.
     * @param endpoint Endpoint.
     * @param request Request.
     * @param observed Load that the entry host learned from the refusals of other engines.
     * @return Reason for a refusal, or nothing if the request can be admitted.
     */
    [[nodiscard]] std::optional<Refusal> checkAdmission(
        RegisteredEndpoint& endpoint, const wire::Request& request, const PoolLoad& observed) const;

    /**
     * @brief Checks again, immediately before a request is sent, if this host may still send it.
     * @param endpoint Endpoint that admitted the request.
     * @return Reason for a refusal, or nothing if the request can be sent.
     */
    [[nodiscard]] std::optional<Refusal> checkSend(const RegisteredEndpoint& endpoint) const;

    /**
     * @brief Returns the load of a model's engines in the domain, as far as their owners are heard.
     * @param model Model.
     * @return Load.
     */
    [[nodiscard]] PoolLoad poolLoad(std::string_view model) const;

    /** @brief Returns the number of requests in flight from this host. @return Requests. */
    [[nodiscard]] std::size_t totalInFlight() const;

    /** @brief Records the head of a response. @param endpoint Endpoint. @param head Head. */
    void observeHead(RegisteredEndpoint& endpoint, const EndpointHead& head);

    /** @brief Records a complete response. @param endpoint Endpoint. */
    void observeSuccess(RegisteredEndpoint& endpoint);

    /** @brief Records a refused or broken connection. @param endpoint Endpoint. */
    void observeFailure(RegisteredEndpoint& endpoint);

    /** @brief Probes endpoints and transfers ownership periodically. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /**
     * @brief Hands off every endpoint, although this host is still in the roster.
     *
     * Used by a planned stop when the platform does not accept the change of the roster.
     */
    void handOffAll();

    /** @brief Checks if this host owns no endpoint that another host could take. @return True if none is left. */
    [[nodiscard]] bool hasHandedOffAll() const;

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    Metrics& metrics;
    EndpointAccess access;
    OwnershipPolicy ownershipPolicy;
    Handoffs handoffs;
    double loadMultiple;
    std::map<std::string, RegisteredEndpointPtr, std::less<>> endpoints;
    std::map<std::string, wire::EndpointState, std::less<>> publishedStates;
    std::uint64_t publishedRosterVersion = 0;
};

} // namespace berylwing
