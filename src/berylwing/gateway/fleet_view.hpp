#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace berylwing {

/**
 * @brief Keeps the latest digests of other hosts and derives endpoint loads and roles from them.
 *
 * A digest holds the complete state of its sender, so lost, duplicated and reordered digests do no harm. Hosts are
 * ranked by whether they reach the store, then by the hash of their name. The first live hosts of a group are its
 * delegates, and the very first is its watcher. Each host computes the roles by itself, without an election; if views
 * differ for a while, too many hosts hold a role, which costs only some calls to the store.
 */
class FleetView {
    struct Peer {
        /** Hash of the name, as in `rank` of this host. */
        std::uint64_t rank = 0;
        wire::Digest digest;
        /** Time of the last news that came between two digests. */
        TimePoint newsAt {};
        /** Whether the host has left the list of hosts, so that its messages are ignored. */
        bool hasLeft = false;
        TimePoint receivedAt {};
        /** Process that the sender of the digest has replaced. Incarnations have no order: clocks can be set back. */
        std::uint64_t formerIncarnation = 0;
    };

    struct Summary {
        wire::EndpointLoads loads;
        TimePoint receivedAt {};
        /** Age of the loads when the summary was sent. */
        Duration loadsAge {};
        std::string domain;
        /** Time until the sender's next summary. */
        Duration interval {};
        /** Version of the sender's routing plan. */
        std::uint64_t planVersion = 0;
    };

    /** Load of one endpoint. */
    struct Load {
        std::uint32_t inFlight = 0;
        std::uint32_t unreadTokens = 0;
        std::uint32_t heldTokens = 0;
        /** Requests in flight of hosts that do not count their tokens. */
        std::uint32_t uncounted = 0;
        std::uint32_t outputTokens = 0;
        /** Sum of the logarithms of the slowness, weighted by the answers that tell it. */
        double logSlowness = 0;
        double answers = 0;
    };

    using Loads = std::unordered_map<std::uint32_t, Load>;

    static void addLoads(Loads& totals, const wire::EndpointLoads& loads);
    static void addPaces(Loads& totals, const wire::EndpointLoads& loads);
    /** Appends the pace of an endpoint unless it is about the usual. */
    static void appendPace(wire::EndpointLoads& loads, std::uint32_t endpoint, const PaceReport& pace);
    [[nodiscard]] static PaceReport paceOf(const Load& load);
    static void appendLoad(wire::EndpointLoads& loads, std::uint32_t endpoint, const Load& load);
    [[nodiscard]] Loads otherGroupLoads() const;
    /** Returns the peer whose digest has the latest loads of other groups; a null pointer if there is none. */
    [[nodiscard]] const Peer* findLatestElsewhere() const;
    [[nodiscard]] Duration otherGroupLoadAge() const;
    [[nodiscard]] bool isLive(const Peer& peer) const;
    [[nodiscard]] bool isLiveWatcher(const Peer& peer, bool canReachStore) const;
    [[nodiscard]] std::size_t countHigherRankedPeers() const;
    /** Checks if the loads of other groups come from their summaries, not from the digest of a delegate. */
    [[nodiscard]] bool usesSummaries() const;
    [[nodiscard]] bool hasSummaryOfOtherDomain() const;
    [[nodiscard]] std::uint64_t newestPlanElsewhere() const;
    /** Takes note that another host has a version of the routing plan. */
    void recordPlan(std::uint64_t version);
    void updateDirectoryLoads();

public:
    /**
     * @brief Creates a view without peers.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints whose loads from other hosts the view updates.
     * @param ownName Name of this host.
     * @param ownDomain Failure domain of this host.
     * @param ownIncarnation Identifier of this process, unlike those of earlier processes of the host.
     */
    FleetView(const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName, std::string ownDomain,
        std::uint64_t ownIncarnation);

    /**
     * @brief Applies a digest of another host unless a newer one is known.
     * @param digest Digest.
     * @return True if the host is new or has restarted; nothing if the digest is outdated.
     */
    std::optional<bool> applyDigest(wire::Digest digest);

    /**
     * @brief Takes note of news that a watcher sends between two digests.
     * @param update Digest with the sender's state and news only.
     * @return False if they are of a process that no digest has come from.
     */
    bool applyNewsUpdate(const wire::Digest& update);

    /**
     * @brief Takes note that a host has left the list of hosts, or is in it again.
     * @param host Host. @param isListed Whether it is in the list; else it has no role until it starts again.
     */
    void setListed(std::string_view host, bool isListed);

    /** @brief Takes note of a complete list of hosts, as setListed() of each. @param names Names. */
    void retain(const std::set<std::string, std::less<>>& names);

    /** @brief Applies the summary of another group. @param summary Summary sent by a delegate of the group. */
    void applySummary(const wire::GroupSummary& summary);

    /** @brief Creates the next digest of this host. @return Digest. */
    [[nodiscard]] wire::Digest makeDigest();

    /** @brief Creates a digest without loads, for news between two digests. @return Digest without a number. */
    [[nodiscard]] wire::Digest makeNewsUpdate() const;

    /** @brief Adds up the loads of this host and its group. @return Loads. */
    [[nodiscard]] wire::EndpointLoads makeGroupLoads() const;

    /** @brief Returns the mean age of the loads reported by this host's group. @return Age; zero without digests. */
    [[nodiscard]] Duration groupLoadAge() const;

    /**
     * @brief Estimates for how long the loads of endpoints have not included the other hosts' latest requests.
     * @return Mean age of the loads reported by the own group, or of those of the other groups if that is higher.
     */
    [[nodiscard]] Duration loadAge() const { return std::max(this->groupLoadAge(), this->otherGroupLoadAge()); }

    /** @brief Echoes the send time of a peer's last digest. @param host Peer. @return Echo; empty if it is unknown. */
    [[nodiscard]] wire::ClockEcho makeEcho(const std::string& host) const;

    /**
     * @brief Computes the earliest time on this host's clock at which a digest can have been sent.
     *
     * Clocks of hosts are not synchronized and the transit time is unknown. The sender therefore echoes the send time
     * of this host's last digest and the time that has passed since it arrived.
     * @param digest Digest of a peer.
     * @return Time; nothing if the peer has not received a digest of this process.
     */
    [[nodiscard]] std::optional<TimePoint> earliestSendTime(const wire::Digest& digest) const;

    /**
     * @brief Checks if a peer has received a digest of this process. @param host Name of the peer.
     * @return False also if no recent digest of the peer has arrived.
     */
    [[nodiscard]] bool isKnownTo(std::string_view host) const;

    /** @brief Sets whether this host's calls to the store succeed. @param isReached Whether they succeed. */
    void setStoreReachable(bool isReached) noexcept { this->isStoreReachable = isReached; }

    /** @brief Checks if this host is a delegate of its group. @return True for the highest-ranked live hosts. */
    [[nodiscard]] bool isDelegate() const { return this->countHigherRankedPeers() < kDelegateCount; }

    /** @brief Checks if this host watches the store for its group. @return True for the highest-ranked live host. */
    [[nodiscard]] bool isWatcher() const { return this->countHigherRankedPeers() == 0; }

    /** @brief Tells this host's place in the order of its group. @return Part of the group that comes first, below 1.
     */
    [[nodiscard]] double groupPosition() const
    {
        return static_cast<double>(this->countHigherRankedPeers()) / static_cast<double>(this->peers.size() + 1);
    }

    /** @brief Finds a live peer that watches the store and reaches it. @return Its name; empty if there is none. */
    [[nodiscard]] std::string watcher() const;

    /** @brief Checks if a recent digest of another host arrived. @param host Name of the host. @return True if so. */
    [[nodiscard]] bool isPeerLive(std::string_view host) const;

    /** @brief Returns the highest version of a routing plan that a peer has named. @return Version; zero if unknown. */
    [[nodiscard]] std::uint64_t newestPlanVersion() const noexcept { return this->newestPlan; }

    /**
     * @brief Returns the time at which a host was first known to have a newer routing plan, also one of another group.
     * @param version Version of the plan that is known here.
     * @return Time; nothing if no host has told of a newer one.
     */
    [[nodiscard]] std::optional<TimePoint> findNewerPlan(std::uint64_t version) const;

    /** @brief Checks if this host or a live peer receives summaries of groups in other domains. @return True if so. */
    [[nodiscard]] bool hasLiveOtherDomains() const;

    /** @brief Checks if a live watcher probes a store that it cannot reach. @return True if there is one. */
    [[nodiscard]] bool isStoreProbed() const;

    /** @brief Drops the digests and summaries of hosts and groups that have been silent for too long. */
    void dropExpired();

private:
    const Clock& clock;
    EndpointDirectory& directory;
    std::string name;
    std::string domain;
    /** Hash of the name, by which hosts are ranked; the lowest comes first. */
    std::uint64_t rank;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    bool isStoreReachable = true;
    std::uint64_t newestPlan = 0;
    /** Times at which versions of the routing plan were heard of first, of those that were the highest by then. */
    std::map<std::uint64_t, TimePoint> plansHeardAt;
    std::map<std::string, Peer, std::less<>> peers;
    /** Last summary of each other group, by the group's name. */
    std::map<std::string, Summary, std::less<>> summaries;
};

} // namespace berylwing
