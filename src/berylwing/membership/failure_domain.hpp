#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/peer.hpp"
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

class Metrics;

/**
 * @brief Tracks the hosts of this host's failure domain: their liveness, leases and roster versions.
 *
 * Hosts exchange heartbeats (`Beat` on the wire). A heartbeat echoes the sending time of the last heartbeat received
 * from its receiver. An echo grants the receiver a lease: until kLeaseTtl after the echoed sending time, the echoing
 * host does not take over what the receiver owns. docs/DESIGN.md explains why this bounds the load of an endpoint.
 */
class FailureDomain {
    [[nodiscard]] Peer& findOrAddPeer(const RosterMember& member);
    void applyRoster();
    void receiveHeartbeat(const wire::Envelope& envelope);
    void sendHeartbeats();
    void reportSilentPeers();

public:
    /** @brief Load information of the endpoint registry that is sent with heartbeats. */
    struct HeartbeatContent {
        /** Requests that this host has in flight at endpoints owned by other hosts, by owner. */
        std::map<std::string, std::vector<wire::Residual>, std::less<>> residuals;
        /** Load of the engines that this host owns, by model. */
        std::vector<wire::ModelLoad> loads;
    };

    /** @brief Function that returns the load information for the next heartbeats. */
    using HeartbeatContentProvider = std::function<HeartbeatContent()>;

    /** @brief Function called after a new roster version was applied. */
    using RosterListener = std::function<void()>;

    /** @brief Function called with the sender after a heartbeat was received. */
    using HeartbeatListener = std::function<void(const Peer&)>;

    /**
     * @brief Creates the failure domain from the roster in the catalog.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param hostMetrics Metrics of the host.
     */
    FailureDomain(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, Metrics& hostMetrics);

    /** @brief Returns the current roster. @return Roster; empty until the first one is known. */
    [[nodiscard]] const Roster& roster() const;

    /** @brief Returns the name of this host. @return Host. */
    [[nodiscard]] const std::string& selfHost() const noexcept { return this->link.identity().host; }

    /** @brief Checks if this process is a member. @return True if the roster lists this host with its incarnation. */
    [[nodiscard]] bool isMember() const;

    /**
     * @brief Returns the members that are not leaving, ranked for a key by rendezvous hash.
     * @param key Key, usually the name of an endpoint or of a ledger shard.
     * @return Hosts, the owner of the key first.
     */
    [[nodiscard]] const std::vector<std::string>& ranking(std::string_view key) const;

    /**
     * @brief Checks if the lease of a host has certainly expired, so that other hosts may take over.
     * @param host Host.
     * @return True if no heartbeat arrived for kLeaseTtl and kLeaseTakeoverDelay; false for this host.
     */
    [[nodiscard]] bool isSilent(std::string_view host) const;

    /**
     * @brief Returns the members of a roster ranked for a key, without silent ones and those with an overdue answer.
     * @param roster Roster of any failure domain, or a null pointer.
     * @param key Key, usually the name of an endpoint or of a ledger shard.
     * @param maxHosts Maximum number of hosts to return.
     * @return Hosts, the owner of the key first.
     */
    [[nodiscard]] std::vector<std::string> reachableOwners(
        const Roster* roster, std::string_view key, std::size_t maxHosts) const;

    /** @brief Returns the time since the last heartbeat of a host. @param host Host. @return Time; zero if unknown. */
    [[nodiscard]] Duration timeSinceHeartbeat(std::string_view host) const;

    /** @brief Checks if this host holds a lease from a peer. @param peer Peer. @return True if it has not expired. */
    [[nodiscard]] bool hasLeaseFrom(const Peer& peer) const;

    /** @brief Checks if this host holds a lease from each peer. @return True if all leases are valid. */
    [[nodiscard]] bool hasLeaseFromAll() const;

    /** @brief Checks if all peers have announced the current roster version. @return True if they have. */
    [[nodiscard]] bool isRosterAcknowledged() const;

    /** @brief Returns the other members of the roster. @return Peers by host. */
    [[nodiscard]] const std::map<std::string, Peer, std::less<>>& peers() const noexcept { return this->peersByHost; }

    /**
     * @brief Records requests that a peer has in flight; its next heartbeat replaces them.
     * @param host Peer.
     * @param residual Requests at an endpoint that this host owns.
     */
    void recordResidual(std::string_view host, const wire::Residual& residual);

    /** @brief Sets the provider of the load information in heartbeats. @param provider Function. */
    void setHeartbeatContentProvider(HeartbeatContentProvider provider);

    /** @brief Registers a listener for roster changes. @param listener Function. */
    void onRosterChange(RosterListener listener);

    /** @brief Registers a listener for received heartbeats. @param listener Function. */
    void onHeartbeat(HeartbeatListener listener);

    /** @brief Sets whether this host announces that it watches the platform. @param isWatching True if it does. */
    void setWatching(bool isWatching) noexcept;

    /** @brief Announces in heartbeats that this host is leaving, which works even if the roster cannot be written. */
    void setLeaving() noexcept { this->isLeaving = true; }

    /** @brief Sends heartbeats for as long as the host runs. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /** @brief Sends a heartbeat to each peer at once. */
    void sendHeartbeatsNow();

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    Metrics& metrics;
    HeartbeatContentProvider provideHeartbeatContent;
    std::vector<RosterListener> rosterListeners;
    std::vector<HeartbeatListener> heartbeatListeners;
    std::map<std::string, Peer, std::less<>> peersByHost;
    /** Cached results of ranking() for the current roster. */
    mutable std::map<std::string, std::vector<std::string>, std::less<>> rankings;
    std::uint64_t appliedRosterVersion = 0;
    bool isWatchingPlatform = false;
    bool isLeaving = false;
};

} // namespace berylwing
