#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

namespace berylwing {

/**
 * @brief What the other hosts have told about their requests.
 *
 * A digest is a whole picture, so that lost, doubled and overtaken ones do no harm. The first hosts of a group that
 * are heard are its delegates, and the very first watches the store for it; each host decides so by itself, and a host
 * too many only costs some calls.
 */
class FleetView {
    struct Peer {
        wire::Digest digest;
        TimePoint receivedAt {};
    };

    struct Summary {
        wire::EndpointLoads loads;
        TimePoint receivedAt {};
    };

    /** Load of one endpoint. */
    struct Load {
        std::uint32_t inFlight = 0;
        std::uint32_t unreadTokens = 0;
    };

    using Loads = std::unordered_map<std::uint32_t, Load>;

    static void addLoads(Loads& totals, const wire::EndpointLoads& loads);
    static void appendLoad(wire::EndpointLoads& loads, std::uint32_t endpoint, const Load& load);
    [[nodiscard]] Loads otherGroupLoads() const;
    [[nodiscard]] bool isLive(const Peer& peer) const;
    [[nodiscard]] bool isLiveWatcher(const Peer& peer, bool canReachStore) const;
    [[nodiscard]] std::size_t countHigherRankedPeers() const;
    [[nodiscard]] bool hasSummaries() const { return !this->summaries.empty(); }
    void updateDirectoryLoads();

public:
    /**
     * @brief Creates a view without peers.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, whose loads from other hosts are kept up to date.
     * @param ownName Name of this host.
     * @param ownIncarnation Start of this process in milliseconds since 1970.
     */
    FleetView(const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName,
        std::uint64_t ownIncarnation);

    /**
     * @brief Takes a digest of another host unless a newer one is known.
     * @param digest Digest.
     * @return True if the host is new or has started again; nothing if the digest is not newer.
     */
    std::optional<bool> applyDigest(wire::Digest digest);

    /** @brief Takes what a delegate of another group tells. @param summary Loads of that group. */
    void applySummary(const wire::GroupSummary& summary);

    /** @brief Describes this host's requests. @return Digest. */
    [[nodiscard]] wire::Digest makeDigest();

    /** @brief Describes the requests of this host and its group. @return Loads. */
    [[nodiscard]] wire::EndpointLoads makeGroupLoads() const;

    /** @brief Answers the clock of a peer. @param host Peer. @return Echo, empty if the peer was not heard. */
    [[nodiscard]] wire::ClockEcho makeEcho(const std::string& host) const;

    /**
     * @brief Tells when a message was sent, at the earliest, on the clock of this host.
     *
     * The time that it took on its way is not known, so the sender echoes the last time that it heard of this host.
     * @param digest Digest of a peer.
     * @return Moment; nothing if the peer has not heard of this process.
     */
    [[nodiscard]] std::optional<TimePoint> earliestSendTime(const wire::Digest& digest) const;

    /** @brief Sets whether this host's calls to the store are answered. @param isReached Whether they are. */
    void setStoreReachable(bool isReached) noexcept { this->isStoreReachable = isReached; }

    /** @brief Tells whether this host speaks for its group. @return True for the first hosts that are heard. */
    [[nodiscard]] bool isDelegate() const { return this->countHigherRankedPeers() < kDelegates; }

    /** @brief Tells whether this host watches the store for its group. @return True for the first host that is heard.
     */
    [[nodiscard]] bool isWatcher() const { return this->countHigherRankedPeers() == 0; }

    /** @brief Finds the host that watches the store for this one. @return Its name; empty if none was heard lately. */
    [[nodiscard]] std::string watcher() const;

    /** @brief Tells whether another host of the group was heard lately. @param host Its name. @return True if so. */
    [[nodiscard]] bool isPeerLive(std::string_view host) const;

    /** @brief Tells whether other groups were heard lately, by this host or one of its group. @return True if so. */
    [[nodiscard]] bool hasLiveOtherGroups() const;

    /** @brief Tells whether another host looks for a store that it has lost. @return True if a watcher says so. */
    [[nodiscard]] bool isStoreProbed() const;

    /** @brief Forgets hosts and groups that have been silent for too long. */
    void dropExpired();

private:
    const Clock& clock;
    EndpointDirectory& directory;
    std::string name;
    std::uint64_t rank;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    bool isStoreReachable = true;
    std::map<std::string, Peer, std::less<>> peers;
    /** What delegates of other groups have told, by failure domain. */
    std::map<std::string, Summary, std::less<>> summaries;
};

} // namespace berylwing
