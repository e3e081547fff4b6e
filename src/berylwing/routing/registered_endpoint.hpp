#pragma once

#include "berylwing/config/objects.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/limits/fair_shares.hpp"
#include "berylwing/routing/endpoint_lifecycle.hpp"
#include "berylwing/routing/ownership_policy.hpp"
#include "berylwing/routing/placement_table.hpp"
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>

namespace berylwing {

/** @brief Endpoint of this host's failure domain, with all that this host knows about it. */
class RegisteredEndpoint : public boost::intrusive_ref_counter<RegisteredEndpoint, boost::thread_unsafe_counter> {
public:
    /**
     * @brief Creates the state of an endpoint of which nothing is known.
     * @param object Configuration.
     * @param hostClock Clock of the host.
     */
    RegisteredEndpoint(EndpointObject object, Clock& hostClock);

    /** @brief Counts the requests that this host has in flight at the endpoint. @return Requests. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return this->requests; }

    /** @brief Counts the requests that this host has admitted so far. @return Requests. */
    [[nodiscard]] std::uint64_t admitted() const noexcept { return this->admissions; }

    /** @brief Takes over a changed configuration. @param object Configuration. */
    void configure(EndpointObject object);

    /** @brief Counts a request that was admitted. */
    void addRequest() noexcept
    {
        ++this->requests;
        ++this->admissions;
    }

    /** @brief Counts a request that has ended. */
    void removeRequest() noexcept { --this->requests; }

    EndpointObject configuration;
    EndpointLifecycle lifecycle;
    OwnershipState ownership;
    /** Chats whose first-ranked engine this is and that were placed elsewhere. */
    PlacementTable placements;
    /** Chats that ran here since the engine last lost its memory, so that it likely holds their prefixes. */
    PlacementTable recentChats;
    /** Chats that wait for a place. */
    std::uint32_t waitingChats = 0;
    /** Notified when a place may be free. */
    Event slotFreed;
    TimePoint actingOwnerSince {};
    bool wasDegraded = false;
    bool wasActingOwner = false;
    bool isProbing = false;
    FairShares shares;
    /** Requests in flight that were running when another endpoint died. */
    std::uint32_t suspectsInFlight = 0;

private:
    std::uint32_t requests = 0;
    std::uint64_t admissions = 0;
};

/** @brief Reference to an endpoint's state. */
using RegisteredEndpointPtr = boost::intrusive_ptr<RegisteredEndpoint>;

/** @brief Place of one request in its endpoint's limit; given back when it goes out of scope. */
class Admission {
public:
    /**
     * @brief Takes a place.
     * @param endpoint Endpoint.
     * @param workspaceName Workspace of the request.
     * @param isSuspectRequest Whether the request was running when another endpoint died.
     */
    Admission(RegisteredEndpointPtr endpoint, std::string workspaceName, bool isSuspectRequest)
        : heldEndpoint { std::move(endpoint) }
        , workspace { std::move(workspaceName) }
        , isSuspect { isSuspectRequest }
    {
        this->heldEndpoint->addRequest();
        this->heldEndpoint->shares.add(this->workspace);
        this->heldEndpoint->suspectsInFlight += this->isSuspect ? 1 : 0;
    }

    ~Admission()
    {
        this->heldEndpoint->removeRequest();
        this->heldEndpoint->shares.remove(this->workspace);
        this->heldEndpoint->suspectsInFlight -= this->isSuspect ? 1 : 0;
        this->heldEndpoint->slotFreed.notifyAll();
    }

    Admission(const Admission&) = delete;
    Admission& operator=(const Admission&) = delete;

private:
    RegisteredEndpointPtr heldEndpoint;
    std::string workspace;
    bool isSuspect;
};

} // namespace berylwing
