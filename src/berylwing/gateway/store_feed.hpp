#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/core/json_text.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/document_history.hpp"
#include "berylwing/gateway/store_era.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/**
 * @brief Callbacks through which a feed reports the state of the store and queries the state of other hosts.
 *
 * An object whose change throws an exception is ignored; a list that throws is requested again.
 */
struct StoreFeedHooks {
    /** Called before the first list of an era of the store that began after an earlier list. */
    std::function<void()> reportRestore = [] {};
    /** Receives the complete list of objects, which replaces all that was reported before. */
    std::function<void(const std::vector<VersionedObject>&)> replaceAll;
    /** Receives one change; the value is null if the object was removed, discarded if it cannot be read. */
    std::function<void(const VersionedObject&)> change;
    /** Parses a document that another host relays. */
    std::function<nlohmann::json(ObjectKind kind, std::string_view name, std::string_view text)> readDocument
        = [](ObjectKind, std::string_view name, std::string_view text) { return berylwing::readDocument(text, name); };
    /** Receives the time up to which all changes are known. */
    std::function<void(TimePoint)> confirm = [](TimePoint) {};
    /** Called when a call to the store has failed. */
    std::function<void()> reportFailure = [] {};
    /** Receives the time at which an outage of the store ended, as reported by another host. */
    std::function<void(TimePoint)> reportOutageEnd = [](TimePoint) {};
    /** Checks if this host watches the store for its group. */
    std::function<bool()> isWatcher = [] { return true; };
    /** Returns the time for which received news remain valid without newer ones. */
    std::function<Duration()> newsTtl = [] { return Duration { 1200 }; };
    /** Checks if the watcher of the group may not have been heard yet, so that the first watch can wait for its news.
     */
    std::function<bool()> isWatcherAwaited = [] { return false; };
    /** Checks if another host watches the store for this one, so that the feed need not call it. */
    std::function<bool()> isWatchedByPeer;
    /**
     * Checks if another host or feed probes an unreachable store, so that this feed can delay its own retry.
     * The argument is the time of this feed's last call.
     */
    std::function<bool(TimePoint)> isProbedByPeer;
    /** Returns the delay after which it is this host's turn to fetch what its group has missed, beside fetchDelay. */
    std::function<Duration()> fetchTurn = [] { return Duration {}; };
};

/** @brief Timing of a feed's calls to the store. */
struct StoreFeedTiming {
    /** Time that a watch waits for a change. A connection that fails silently goes unnoticed for as long. */
    Duration watchTimeout {};
    /** Delay after a change, so that the next watch returns further changes in one batch. */
    Duration batchingDelay {};
    /** Whether each change is followed by a short watch that confirms that no newer change exists. */
    bool hasConfirmationWatch = false;
    /** Delay before missing changes are fetched from the store, in which a watcher may still send them. */
    Duration fetchDelay {};
    /** Whether documents can be so large that hosts relay what has changed in them. */
    bool hasLargeDocuments = false;
};

/**
 * @brief Follows the objects of one kind in the platform's store.
 *
 * One host of each group, the watcher, watches the store and relays the changes to the other hosts as news. While news
 * arrive, the feed applies them and calls the store only for changes that it has missed. Without news it watches the
 * store itself.
 */
class StoreFeed {
    struct RecentChange {
        std::string name;
        /** JSON document, or a text that is none if it cannot be read; empty if the object was removed. */
        std::string document;
        /** Revision of the response that contained the change; not lower than the revision of the change itself. */
        std::uint64_t through = 0;
        TimePoint at {};
        /** Revision of the change itself. */
        std::uint64_t version = 0;
        /** Whether a digest has had the change. */
        bool isSent = false;
    };

    /** Watch that is abandoned when the store was restored meanwhile. */
    struct PendingWatch {
        std::optional<WatchBatch> batch;
        std::exception_ptr failure;
    };

    [[nodiscard]] Task<void> listObjects();
    /** Watches the store once. @return False if the watch was abandoned. */
    [[nodiscard]] Task<bool> watchChanges();
    /** Waits for changes. @return Changes; nothing if the objects have to be listed again meanwhile. */
    [[nodiscard]] Task<std::optional<WatchBatch>> watchUntilRestored(Duration length);
    [[nodiscard]] Task<void> completeWatch(std::uint64_t after, Duration length, std::shared_ptr<PendingWatch> pending);
    /** Applies what a watch returned. News may have brought later changes meanwhile. */
    void applyBatch(const WatchBatch& batch);
    [[nodiscard]] Task<void> completeRefresh(PlatformCallReason reason);
    /** Returns an exponential delay with jitter, so that hosts do not retry at the same time. */
    [[nodiscard]] Duration nextRetryDelay();
    /** Checks if news or the probes of other hosts make a call to the store unnecessary for now. */
    [[nodiscard]] bool canPostponeCall() const;
    /** Returns why the feed makes its next call. */
    [[nodiscard]] PlatformCallReason callReason() const;
    void logCall(PlatformOperation operation, PlatformCallReason reason);
    /** Logs an answer of the store that takes a host noticeable time to receive. */
    void logAnswer(PlatformCallReason reason, const WatchBatch& batch, TimePoint calledAt);
    /** Logs a call of the store that failed. */
    void logFailure(PlatformCallReason reason, const PlatformError& error, TimePoint calledAt);
    /** @param document Document of the change as text, empty if the object was removed. */
    void applyChange(const VersionedObject& change, std::uint64_t through, std::string document);
    /** Applies a change that was received as a whole document. */
    void applyWhole(const VersionedObject& change, std::uint64_t through);
    /** Hands a change to the hooks. */
    void reportChange(const VersionedObject& change);
    /** Applies the differences of large documents. @return False if they do not lead on from what is known here. */
    bool applyPatches(const wire::StoreNews& news);
    void applyChanges(const wire::StoreNews& news);
    void pruneRecentChanges();
    /** Takes note that no changes are known to be missing any more. */
    void forgetMissing();
    [[nodiscard]] wire::StoreNews makeNewsHeader() const;
    static void addChange(wire::StoreNews& news, const RecentChange& recent);
    /** Records the version of an object, which is zero if it was removed, for the fingerprint. */
    void setVersion(const std::string& name, std::uint64_t version);
    /** Writes a log line with the revision and the era that the feed has reached. */
    void logPosition(LogLine line);
    void recordSuccess();
    void recordFailure(const PlatformError& error);

public:
    /**
     * @brief Creates a feed; run() starts it.
     * @param hostClock Clock of the host.
     * @param storeClient Client of the store.
     * @param objectKind Kind of the objects.
     * @param feedTiming Timing of the calls to the store.
     * @param feedHooks Callbacks of the feed.
     * @param storeEra Latest known era of the store; requireList() has to be called when it rises.
     * @param decisionLog Decision log of the host.
     */
    StoreFeed(Clock& hostClock, PlatformClient& storeClient, ObjectKind objectKind, const StoreFeedTiming& feedTiming,
        StoreFeedHooks feedHooks, StoreEra& storeEra, DecisionLog& decisionLog);

    /** @brief Follows the objects until the host stops. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /** @brief Checks if the objects have been listed. @return True after the first complete list. */
    [[nodiscard]] bool isListed() const noexcept { return this->hasList; }

    /** @brief Checks if the feed follows the latest known era. @return False until the objects have been listed in it.
     */
    [[nodiscard]] bool isCurrent() const noexcept { return this->hasList && !this->isListRequired; }

    /** @brief Returns the era that the feed follows. @return Era of the last list. */
    [[nodiscard]] std::uint64_t listedEra() const noexcept { return this->listEra; }

    /** @brief Lists the objects again as soon as possible, because the store was restored from a copy. */
    void requireList();

    /**
     * @brief Fetches the changes of the last moment, beside whatever run() waits for; calls at the same time share one.
     * @param reason Reason of the call to the store.
     * @return True if all changes up to the call are applied now.
     */
    [[nodiscard]] Task<bool> refresh(PlatformCallReason reason = PlatformCallReason::Refresh);

    /** @brief Returns the kind of the objects. @return Kind. */
    [[nodiscard]] ObjectKind objectKind() const noexcept { return this->kind; }

    /** @brief Checks if the last call to the store succeeded. @return False during an outage. */
    [[nodiscard]] bool isStoreReachable() const noexcept { return this->failures == 0; }

    /** @brief Returns since when calls to the store have failed. @return Time; nothing if the last one succeeded. */
    [[nodiscard]] std::optional<TimePoint> unreachableSince() const noexcept
    {
        return this->failures == 0 ? std::nullopt : std::optional { this->lostAt };
    }

    /** @brief Returns the time up to which all changes are known. @return Time; the epoch before the first list. */
    [[nodiscard]] TimePoint confirmationTime() const noexcept { return this->confirmedAt; }

    /** @brief Returns the latest time at which the watcher is known to have been up to date. @return Time. */
    [[nodiscard]] TimePoint watcherConfirmationTime() const noexcept { return this->watcherConfirmedAt; }

    /** @brief Creates news of the changes that this host has seen recently. @return News for a digest. */
    [[nodiscard]] wire::StoreNews makeRecentNews();

    /** @brief Returns the revision after which changes are missing. @return Revision; nothing if none is missing. */
    [[nodiscard]] std::optional<std::uint64_t> missingAfter() const;

    /** @brief Creates a request for the changes that this host does not know. @return Request. */
    [[nodiscard]] wire::NewsRequest makeRequest() const;

    /**
     * @brief Creates news with the last change of each object after a revision, regardless of document size.
     * @param newsEra Era that the revision belongs to.
     * @param after Revision.
     * @param knownFingerprint Fingerprint of the objects that the recipient knows; zero if unknown.
     * @return News; nothing if this host no longer has all of these changes.
     */
    [[nodiscard]] std::optional<wire::StoreNews> makeNewsAfter(
        std::uint64_t newsEra, std::uint64_t after, std::uint64_t knownFingerprint = 0);

    /** @brief Checks if a call for the changes of the last moment is in progress. @return True if it is. */
    [[nodiscard]] bool isFetching() const noexcept { return this->isRefreshing || this->isShortWatchPending; }

    /**
     * @brief Applies the changes that another host has seen in the era that this feed follows; ignores other news.
     * @param news News of the feed's kind.
     * @param sentAt Earliest time at which they can have been sent; nothing if unknown.
     * @param interval Time until the sender's next news; zero if unknown.
     */
    void receiveNews(const wire::StoreNews& news, std::optional<TimePoint> sentAt, Duration interval = {});

private:
    Clock& clock;
    PlatformClient& client;
    ObjectKind kind;
    StoreFeedTiming timing;
    StoreFeedHooks hooks;
    StoreEra& era;
    DecisionLog& log;
    std::minstd_rand random;
    Event newsArrived;
    Event watchEnded;
    Event refreshEnded;
    bool isRefreshing = false;
    /** Time up to which the last call of refresh() that was answered has applied all changes. */
    TimePoint refreshedUntil {};
    TimePoint nextRefreshAt {};
    /** Whether the store has answered a refresh since the last call of run(). */
    bool isRefreshAnswered = false;
    /** Era of the last list, which all revisions here belong to. */
    std::uint64_t listEra = 0;
    std::uint64_t revision = 0;
    /** Versions of the objects that exist, by name. */
    std::unordered_map<std::string, std::uint64_t> versions;
    /** Fingerprint without objects; senders that know no fingerprint send zero. */
    static constexpr std::uint64_t kEmptyFingerprint = 1;
    /** Combined hash of the names and versions. */
    std::uint64_t fingerprint = kEmptyFingerprint;
    DocumentHistory history;
    /** Whether a watch is in progress that does not wait for further changes. */
    bool isShortWatchPending = false;
    /** Last change of each object, kept to be relayed to other hosts. */
    std::deque<RecentChange> recentChanges;
    /** Revision after which recentChanges is complete. */
    std::uint64_t recentChangesAfter = 0;
    /** Time up to which all changes are known. */
    TimePoint confirmedAt {};
    TimePoint lastAttemptAt {};
    /** Time up to which the received news remain valid without newer ones. */
    TimePoint newsValidUntil {};
    /** Time up to which the watcher knew all changes. */
    TimePoint watcherConfirmedAt {};
    std::optional<TimePoint> outageEndedAt;
    /** Time since which changes are known to be missing, for example because news omitted their documents. */
    std::optional<TimePoint> missingSince;
    /** Revision up to which news have told that changes are missing. */
    std::uint64_t missingUntil = 0;
    bool hasList = false;
    bool isListRequired = true;
    /** Why the objects have to be listed again. */
    PlatformCallReason listReason = PlatformCallReason::Restore;
    /** Whether the next watch is short, to confirm that no newer change exists. */
    bool isConfirmationRequired = false;
    /** Failed calls since the last successful one. */
    unsigned failures = 0;
    /** Time of the first of them. */
    TimePoint lostAt {};
};

} // namespace berylwing
