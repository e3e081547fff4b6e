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
 * @brief The hosts of this host's failure domain: who is alive, who confirms whom, and at which roster version.
 *
 * A host confirms another one by echoing the sending time of its beats. Until a grant's time after that sending time,
 * the echoing host does not act in the other's place. docs/DESIGN.md gives the argument for the load bound.
 */
class FailureDomain {
    [[nodiscard]] Peer& findOrAddPeer(const RosterMember& member);
    void applyRoster();
    void receiveHeartbeat(const wire::Envelope& envelope);
    void sendHeartbeats();
    void reportSilentPeers();

public:
    /** @brief What the endpoint owner adds to a round of beats. */
    struct HeartbeatContent {
        /** Requests of this host at endpoints of the others, by their owner. */
        std::map<std::string, std::vector<wire::Residual>, std::less<>> residuals;
        std::vector<wire::ModelLoad> loads;
    };

    /** @brief Function that gives the content of a round of beats. */
    using HeartbeatContentProvider = std::function<HeartbeatContent()>;

    /** @brief Function called after a roster was taken. */
    using RosterListener = std::function<void()>;

    /** @brief Function called after a beat arrived. */
    using HeartbeatListener = std::function<void(const Peer&)>;

    /**
     * @brief Creates the domain from the catalog's roster.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param hostMetrics Metrics of the host.
     */
    FailureDomain(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, Metrics& hostMetrics);

    /** @brief Reads the roster in force. @return Roster; empty before the first one is known. */
    [[nodiscard]] const Roster& roster() const;

    /** @brief Reads the name of this host. @return Host. */
    [[nodiscard]] const std::string& selfHost() const noexcept { return this->link.identity().host; }

    /** @brief Tells whether this process is a member of the roster. @return True if its incarnation is listed. */
    [[nodiscard]] bool isMember() const;

    /** @brief Orders the members that are not leaving for a key. @param key Key. @return Hosts, the owner first. */
    [[nodiscard]] const std::vector<std::string>& ranking(std::string_view key) const;

    /** @brief Tells whether a host has been silent beyond the grant. @param host Host. @return True if silent. */
    [[nodiscard]] bool isSilent(std::string_view host) const;

    /**
     * @brief Orders the members of a roster for a key, without those that are silent or owe an answer for too long.
     * @param roster Roster of any failure domain, or a null pointer.
     * @param key Key, usually the name of an endpoint or of a ledger shard.
     * @param most Most hosts to list.
     * @return Hosts, the owner of the key first.
     */
    [[nodiscard]] std::vector<std::string> reachableOwners(
        const Roster* roster, std::string_view key, std::size_t most) const;

    /** @brief Tells for how long a host has been silent. @param host Host. @return Time since its last beat. */
    [[nodiscard]] Duration timeSinceHeartbeat(std::string_view host) const;

    /** @brief Tells whether a peer confirms this host now. @param peer Peer. @return True within the grant. */
    [[nodiscard]] bool hasLeaseFrom(const Peer& peer) const;

    /** @brief Tells whether all peers confirm this host now. @return True if no doubt is left. */
    [[nodiscard]] bool hasLeaseFromAll() const;

    /** @brief Tells whether all peers have shown the roster version in force. @return True if they have. */
    [[nodiscard]] bool isRosterAcknowledged() const;

    /** @brief Lists the other members of the roster. @return Peers by host. */
    [[nodiscard]] const std::map<std::string, Peer, std::less<>>& peers() const noexcept { return this->peersByHost; }

    /**
     * @brief Takes note of requests that a peer has in flight, until its next beat tells.
     * @param host Peer.
     * @param residual Requests at an endpoint of this host.
     */
    void recordResidual(std::string_view host, const wire::Residual& residual);

    /** @brief Sets the function that adds to beats. @param describe Function. */
    void setHeartbeatContentProvider(HeartbeatContentProvider describe);

    /** @brief Registers a listener for rosters. @param listener Function. */
    void onRosterChange(RosterListener listener);

    /** @brief Registers a listener for beats. @param listener Function. */
    void onHeartbeat(HeartbeatListener listener);

    /** @brief Sets whether this host tells its peers that it watches the platform. @param isWatching True if it does.
     */
    void setWatching(bool isWatching) noexcept;

    /** @brief Tells the peers that this host stops, also while the roster cannot be changed. */
    void setLeaving() noexcept { this->isLeaving = true; }

    /** @brief Sends beats for as long as the host runs. @return Awaitable that does not complete. */
    [[nodiscard]] Task<void> run();

    /** @brief Sends one round of beats at once. */
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
    mutable std::map<std::string, std::vector<std::string>, std::less<>> rankings;
    std::uint64_t appliedRosterVersion = 0;
    bool isWatchingPlatform = false;
    bool isLeaving = false;
};

} // namespace berylwing
