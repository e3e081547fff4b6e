#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/routing/authority.hpp"
#include "berylwing/routing/owned_endpoint.hpp"
#include <string>

namespace berylwing {

class Metrics;

/** @brief Describes the lifecycle of an endpoint for other hosts. @param endpoint Endpoint. @return Message. */
[[nodiscard]] wire::EndpointState describeState(const OwnedEndpoint& endpoint);

/** @brief Gives the first places of endpoints to other hosts and takes those that others give. */
class Handoffs {
    [[nodiscard]] std::string successorOf(const OwnedEndpoint& endpoint) const;

public:
    /**
     * @brief Creates the handoffs of a host.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param hostAuthority Tells which endpoints the host owns.
     */
    Handoffs(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics,
        const Authority& hostAuthority);

    /** @brief Tells whether this host gives all its endpoints away. @return True after bequeath(). */
    [[nodiscard]] bool isBequeathing() const noexcept { return this->bequeathing; }

    /** @brief Gives endpoints also to hosts that the roster does not name, and takes none any more. */
    void bequeath() noexcept { this->bequeathing = true; }

    /** @brief Offers an endpoint to its next owner; until that one answers, this host sends nothing to it. @param
     * endpoint Endpoint. */
    void offer(OwnedEndpoint& endpoint);

    /** @brief Takes an endpoint that is offered at the roster in force. @param envelope Offer. @param endpoint
     * Endpoint. */
    void take(const wire::Envelope& envelope, OwnedEndpoint& endpoint);

    /** @brief Ends the handoff that another host has taken. @param taken Confirmation. @param endpoint Endpoint. */
    void confirm(const wire::HandoffTaken& taken, OwnedEndpoint& endpoint);

private:
    Clock& clock;
    Link& link;
    FailureDomain& domain;
    Metrics& metrics;
    const Authority& authority;
    bool bequeathing = false;
};

} // namespace berylwing
