#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/store/platform_client.hpp"
#include <functional>

namespace berylwing {

/**
 * @brief Maintains this host's entry in the roster of its failure domain and removes dead members.
 *
 * Only the highest-ranked live member removes others. It removes a member that sends no heartbeats and that the
 * platform's list of hosts no longer shows.
 */
class Registrar {
    /** Function that modifies a roster; false if there is nothing to write. */
    using RosterUpdate = std::function<bool(Roster&)>;

    [[nodiscard]] Task<bool> updateRoster(RosterUpdate update);
    [[nodiscard]] Task<void> registerOwnEntry();
    [[nodiscard]] Task<bool> updateOwnEntry();
    [[nodiscard]] Task<void> removeDeadMembers();
    [[nodiscard]] bool isFirstLiveMember() const;
    [[nodiscard]] RosterMember makeOwnEntry() const;

public:
    /**
     * @brief Creates a registrar.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param hostDomain Failure domain of the host.
     * @param platformClient Client of the platform.
     */
    Registrar(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& hostDomain,
        PlatformClient& platformClient);

    /** @brief Registers this host and maintains the roster until removeSelf(). @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Marks this host as leaving in the roster. @return True if the platform accepted the write. */
    [[nodiscard]] Task<bool> announceLeaving();

    /** @brief Removes this host from the roster. @return True if the platform accepted the write. */
    [[nodiscard]] Task<bool> removeSelf();

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    PlatformClient& platform;
    Event updateRequested;
    bool isLeaving = false;
    bool isRemoved = false;
};

} // namespace berylwing
