#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/routing/ownership_policy.hpp"
#include "berylwing/routing/registered_endpoint.hpp"
#include <string>

namespace berylwing {

class Metrics;

/** @brief Creates the message that describes an endpoint to other hosts. @param endpoint Endpoint. @return Message. */
[[nodiscard]] wire::EndpointState describeState(const RegisteredEndpoint& endpoint);

/**
 * @brief Transfers the ownership of endpoints between hosts.
 *
 * The owner sends an offer and stops sending requests. The receiver becomes the owner and confirms. Offer and
 * confirmation carry the roster version and are ignored if another version is in force.
 */
class Handoffs {
    [[nodiscard]] std::string findSuccessor(const RegisteredEndpoint& endpoint) const;

public:
    /**
     * @brief Creates the transfers of a host.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param hostOwnershipPolicy Decides which endpoints this host is the preferred owner of.
     */
    Handoffs(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics,
        const OwnershipPolicy& hostOwnershipPolicy);

    /** @brief Checks if this host transfers all its endpoints. @return True after startDraining(). */
    [[nodiscard]] bool isDraining() const noexcept { return this->draining; }

    /** @brief Allows offers to hosts other than the preferred owner, and rejects all offers from other hosts. */
    void startDraining() noexcept { this->draining = true; }

    /**
     * @brief Offers an endpoint to its next owner; this host sends no more requests to it until that one confirms.
     * @param endpoint Endpoint.
     */
    void offer(RegisteredEndpoint& endpoint);

    /**
     * @brief Accepts the ownership of an endpoint if the offer was made at the roster version in force.
     * @param envelope Offer.
     * @param endpoint Endpoint.
     */
    void accept(const wire::Envelope& envelope, RegisteredEndpoint& endpoint);

    /**
     * @brief Gives up the ownership of an endpoint after the receiver's confirmation.
     * @param taken Confirmation.
     * @param endpoint Endpoint.
     */
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
