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

/** @brief State of one endpoint of this host's failure domain, whether this host owns it or not. */
class RegisteredEndpoint : public boost::intrusive_ref_counter<RegisteredEndpoint, boost::thread_unsafe_counter> {
public:
    /**
     * @brief Creates the state of an endpoint that has not been contacted yet.
     * @param object Configuration.
     * @param hostClock Clock of the host.
     */
    RegisteredEndpoint(EndpointObject object, Clock& hostClock);

    /** @brief Returns the number of requests from this host in flight at the endpoint. @return Requests. */
    [[nodiscard]] std::uint32_t inFlight() const noexcept { return this->requests; }

    /** @brief Returns the number of requests that this host has admitted so far. @return Requests. */
    [[nodiscard]] std::uint64_t admitted() const noexcept { return this->admissions; }

    /** @brief Applies a changed configuration. @param object Configuration. */
    void configure(EndpointObject object);

    /** @brief Counts an admitted request as in flight. */
    void addRequest() noexcept
    {
        ++this->requests;
        ++this->admissions;
    }

    /** @brief Counts a request as ended. */
    void removeRequest() noexcept { --this->requests; }

    EndpointObject configuration;
    EndpointLifecycle lifecycle;
    OwnershipState ownership;
    /** Chats for which this engine is ranked first, but which run at another one. */
    PlacementTable placements;
    /** Chats that ran here since the engine's last restart; it probably still caches their prefixes. */
    PlacementTable recentChats;
    /** Number of chats that wait for a free slot. */
    std::uint32_t waitingChats = 0;
    /** Notified when a request ends, and a slot may be free. */
    Event slotFreed;
    /** Time at which this host last became acting owner. */
    TimePoint actingOwnerSince {};
    /** Results of the last check, to count changes. */
    bool wasDegraded = false;
    bool wasActingOwner = false;
    bool isProbing = false;
    FairShares shares;
    /** Number of requests in flight that were running when another endpoint crashed. */
    std::uint32_t suspectsInFlight = 0;

private:
    std::uint32_t requests = 0;
    std::uint64_t admissions = 0;
};

/** @brief Reference-counted pointer to an endpoint's state. */
using RegisteredEndpointPtr = boost::intrusive_ptr<RegisteredEndpoint>;

/** @brief Slot of one request in its endpoint's limit; released by the destructor. */
class Admission {
public:
    /**
     * @brief Acquires a slot.
     * @param endpoint Endpoint.
     * @param workspaceName Workspace of the request.
     * @param isSuspectRequest Whether the request was running when another endpoint crashed.
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
