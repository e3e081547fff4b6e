#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/routing/ownership_policy.hpp"
#include "berylwing/routing/registered_endpoint.hpp"
#include <string>

namespace berylwing {

class Metrics;

/** @brief Describes the lifecycle of an endpoint for other hosts. @param endpoint Endpoint. @return Message. */
[[nodiscard]] wire::EndpointState describeState(const RegisteredEndpoint& endpoint);

/** @brief Gives the first places of endpoints to other hosts and takes those that others give. */
class Handoffs {
    [[nodiscard]] std::string findSuccessor(const RegisteredEndpoint& endpoint) const;

public:
    /**
     * @brief Creates the handoffs of a host.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param hostOwnershipPolicy Tells which endpoints the host owns.
     */
    Handoffs(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics,
        const OwnershipPolicy& hostOwnershipPolicy);

    /** @brief Tells whether this host gives all its endpoints away. @return True after startDraining(). */
    [[nodiscard]] bool isDraining() const noexcept { return this->draining; }

    /** @brief Gives endpoints also to hosts that the roster does not name, and takes none any more. */
    void startDraining() noexcept { this->draining = true; }

    /** @brief Offers an endpoint to its next owner; until that one answers, this host sends nothing to it. @param
     * endpoint Endpoint. */
    void offer(RegisteredEndpoint& endpoint);

    /** @brief Takes an endpoint that is offered at the roster in force. @param envelope Offer. @param endpoint
     * Endpoint. */
    void accept(const wire::Envelope& envelope, RegisteredEndpoint& endpoint);

    /** @brief Ends the handoff that another host has taken. @param taken Confirmation. @param endpoint Endpoint. */
    void complete(const wire::HandoffTaken& taken, RegisteredEndpoint& endpoint);

private:
    Clock& clock;
    Link& link;
    FailureDomain& domain;
    Metrics& metrics;
    const OwnershipPolicy& ownershipPolicy;
    bool draining = false;
};

} // namespace berylwing
