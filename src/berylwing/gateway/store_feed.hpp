#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace berylwing {

/** @brief What a feed tells about the objects of its kind. */
struct StoreFeedHooks {
    /** Takes the complete list of objects. */
    std::function<void(const std::vector<VersionedObject>&)> replaceAll;
    /** Takes one change; the value of a removed object is null. */
    std::function<void(const VersionedObject&)> change;
    /** Takes note that all changes up to a moment are known. */
    std::function<void(TimePoint)> confirm = [](TimePoint) {};
    /** Takes note that a call to the store has failed. */
    std::function<void()> reportFailure = [] {};
    /** Takes note of the end of an outage that another host saw. */
    std::function<void(TimePoint)> reportOutageEnd = [](TimePoint) {};
    /** Tells whether another host watches the store for this one. */
    std::function<bool()> isWatchedByPeer;
    /** Tells, by the time of the last call, whether someone else finds out when a store that was lost is back. */
    std::function<bool(TimePoint)> isProbedByPeer;
};

/** @brief How a feed asks the store. */
struct StoreFeedTiming {
    /** Time for which one watch waits, which is also how long a silent connection goes unnoticed. */
    Duration watchTimeout {};
    /** Pause after a change, in which further ones gather. */
    Duration batchingDelay {};
    /** Whether each change is followed by a short call that confirms the moment. */
    bool hasConfirmationWatch = false;
    /** Pause before a change that another host told of without its document is fetched. */
    Duration fetchDelay {};
};

/**
 * @brief Follows the objects of one kind in the platform's store.
 *
 * While another host watches the store and tells what it sees, the feed takes that and asks the store only for what it
 * has missed. Without news of other hosts it asks by itself.
 */
class StoreFeed {
    struct RecentChange {
        std::string name;
        /** Document in JSON; empty if the object was removed. */
        std::string document;
        /** Revision of the answer that brought the change, which is not lower than that of the change itself. */
        std::uint64_t through = 0;
        TimePoint at {};
    };

    [[nodiscard]] Task<void> listObjects();
    [[nodiscard]] Task<void> watchChanges();
    [[nodiscard]] Duration nextRetryDelay();
    [[nodiscard]] bool canRelyOnPeers() const;
    void applyChange(const VersionedObject& change, std::uint64_t through);
    [[nodiscard]] bool applyChanges(const wire::StoreNews& news);
    void pruneRecentChanges();
    [[nodiscard]] wire::StoreNews makeNewsHeader() const;
    static void addChange(wire::StoreNews& news, const RecentChange& recent);
    void recordSuccess();
    void recordFailure(const PlatformError& error);

public:
    /**
     * @brief Creates a feed that has not begun.
     * @param hostClock Clock of the host.
     * @param storeClient Client of the store.
     * @param objectKind Kind of the objects.
     * @param feedTiming How the store is asked.
     * @param feedHooks Takes what the store tells.
     * @param decisionLog Log of the host.
     */
    StoreFeed(Clock& hostClock, PlatformClient& storeClient, ObjectKind objectKind, const StoreFeedTiming& feedTiming,
        StoreFeedHooks feedHooks, DecisionLog& decisionLog);

    /** @brief Follows the objects for ever. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Tells whether the objects have been listed. @return True after the first complete list. */
    [[nodiscard]] bool isListed() const noexcept { return this->hasList; }

    /** @brief Reads the kind of the objects. @return Kind. */
    [[nodiscard]] ObjectKind objectKind() const noexcept { return this->kind; }

    /** @brief Tells whether the last call to the store was answered. @return False during an outage. */
    [[nodiscard]] bool isStoreReachable() const noexcept { return this->failures == 0; }

    /** @brief Tells when the host that watches for this one was surely up to date. @return Moment. */
    [[nodiscard]] TimePoint watcherConfirmationTime() const noexcept { return this->watcherConfirmedAt; }

    /** @brief Describes what this host has seen lately, for hosts that do not ask the store. @return News. */
    [[nodiscard]] wire::StoreNews makeRecentNews();

    /** @brief Tells after which revision this host misses changes. @return Revision; nothing if it misses none. */
    [[nodiscard]] std::optional<std::uint64_t> missingAfter() const;

    /**
     * @brief Describes the last change of each object after a revision, whatever the size of its document.
     * @param after Revision.
     * @return News; nothing if this host does not know all of these changes any more, or if they are too many.
     */
    [[nodiscard]] std::optional<wire::StoreNews> makeNewsAfter(std::uint64_t after);

    /**
     * @brief Takes what another host has seen.
     * @param news News of the feed's kind.
     * @param sentAt Earliest moment at which they may have been sent; nothing if it is not known.
     */
    void receiveNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt);

private:
    Clock& clock;
    PlatformClient& client;
    ObjectKind kind;
    StoreFeedTiming timing;
    StoreFeedHooks hooks;
    DecisionLog& log;
    std::minstd_rand random;
    Event newsArrived;
    std::uint64_t revision = 0;
    /** Changes that other hosts are told of, of each object the last one. */
    std::deque<RecentChange> recentChanges;
    /** Revision after which recentChanges has all changes. */
    std::uint64_t recentChangesAfter = 0;
    TimePoint confirmedAt {};
    TimePoint lastAttemptAt {};
    TimePoint newsReceivedAt {};
    TimePoint watcherConfirmedAt {};
    std::optional<TimePoint> outageEndedAt;
    /** Time since which a change is known to exist that was told of without its document. */
    std::optional<TimePoint> missingSince;
    bool hasList = false;
    bool isListRequired = true;
    bool isConfirmationRequired = false;
    unsigned failures = 0;
};

} // namespace berylwing
