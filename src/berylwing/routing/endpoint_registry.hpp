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

/** @brief Load of the engines of one model in a failure domain. */
struct PoolLoad {
    std::uint32_t inFlight = 0;
    std::uint32_t engines = 0;

    /** @brief Computes the most requests that one engine may carry. @param multiple Multiple of the mean. */
    [[nodiscard]] std::uint32_t boundPerEngine(double multiple) const noexcept;
};

/**
 * @brief The endpoints of this host's failure domain: who owns them, how much they bear, who takes them over.
 */
class EndpointRegistry {
    void onCatalogChange(const VersionedObject& object);
    void onEndpointState(const wire::EndpointState& state);
    void reconcile(RegisteredEndpoint& endpoint);
    void reconcileAll();
    void trackOwnershipChanges(RegisteredEndpoint& endpoint);
    void handleTurnedCold(RegisteredEndpoint& endpoint);
    [[nodiscard]] FailureDomain::HeartbeatContent describeHeartbeat() const;
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
     * @param multiple Multiple of the mean load that an engine may carry.
     */
    EndpointRegistry(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        Metrics& hostMetrics, EndpointAccess endpointAccess, double multiple);

    /** @brief Finds an endpoint. @param name Name. @return Its state, or a null pointer. */
    [[nodiscard]] RegisteredEndpointPtr find(std::string_view name) const;

    /** @brief Lists all endpoints of the domain. @return Endpoints by name. */
    [[nodiscard]] const std::map<std::string, RegisteredEndpointPtr, std::less<>>& all() const noexcept
    {
        return this->endpoints;
    }

    /** @brief Computes how many requests this host may have in flight at an endpoint now. @param endpoint Endpoint. */
    [[nodiscard]] std::uint32_t allowance(const RegisteredEndpoint& endpoint) const;

    /**
     * @brief Tells why one more request cannot be admitted.
     * @param endpoint Endpoint.
     * @param request Request.
     * @param observed Load that the request's entry host saw at other engines.
     * @return Reason, or nothing if the request can be admitted.
     */
    [[nodiscard]] std::optional<Refusal> checkAdmission(
        RegisteredEndpoint& endpoint, const wire::Request& request, const PoolLoad& observed) const;

    /**
     * @brief Checks again, right before a request is sent, that this host may still send it.
     * @param endpoint Endpoint at which the request is admitted.
     * @return Reason, or nothing if the request can be sent.
     */
    [[nodiscard]] std::optional<Refusal> checkSend(const RegisteredEndpoint& endpoint) const;

    /** @brief Computes the load of a model's engines in the domain. @param model Model. @return Load. */
    [[nodiscard]] PoolLoad poolLoad(std::string_view model) const;

    /** @brief Counts all requests in flight from this host. @return Requests. */
    [[nodiscard]] std::size_t totalInFlight() const;

    /** @brief Takes note of the head of an answer. @param endpoint Endpoint. @param head Head. */
    void observeHead(RegisteredEndpoint& endpoint, const EndpointHead& head);

    /** @brief Takes note of a whole answer. @param endpoint Endpoint. */
    void observeSuccess(RegisteredEndpoint& endpoint);

    /** @brief Takes note of a refused or broken connection. @param endpoint Endpoint. */
    void observeFailure(RegisteredEndpoint& endpoint);

    /** @brief Probes endpoints and offers handoffs for as long as the host runs. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /**
     * @brief Hands every endpoint to the next host, although the roster still shows this host as their owner.
     *
     * A planned stop uses it while the platform does not take roster changes.
     */
    void handOffAll();

    /** @brief Tells whether every endpoint of this host was handed over. @return True if none is held. */
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
