#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Functions by which the history of versions learns of its host. */
struct ServiceVersionsHooks {
    /** Returns the longest time for which a stream of a service can be open; zero if its streams cannot be resumed. */
    std::function<Duration(std::string_view service)> streamLifetime;
    /** Checks if this host knows all recent changes of the endpoints. */
    std::function<bool()> isCurrent;
    /** Checks if this host writes to the store for its group. */
    std::function<bool()> isWriter;
    /** Asks other hosts for the hash of a service's only version; returns as VersionExchange::ask(). */
    std::function<Task<std::optional<std::uint32_t>>(std::string service)> askHosts;
    /** Brings the list of endpoints up to date; returns false if the store does not answer. */
    std::function<Task<bool>()> refreshEndpoints;
    /** Checks if the endpoints are known from the era of the store that an answer names. */
    std::function<bool(std::uint64_t era)> isListedEra = [](std::uint64_t) { return true; };
};

/**
 * @brief Software versions whose endpoints can have begun the streams of a service that are still open.
 *
 * If there is only one, any stream may go on, whoever began it. Hosts see the entries of endpoints come and go; what
 * was in service before a host started is known to hosts that have watched the service meanwhile, and stands in the
 * platform's store, written by hosts that have watched the service for so long that they know all of it, or that see
 * several versions.
 */
class ServiceVersions {
    using Versions = std::set<std::string, std::less<>>;

    /** Object of a service in the store. */
    struct StoredHistory {
        Versions versions;
        /** Revision of the object; zero if there is none. */
        std::uint64_t revision = 0;
        /** Time at which this host learned it. */
        TimePoint knownAt {};
    };

    /** Answer of other hosts about a service. */
    struct ToldVersion {
        /** Hash of the only version, or VersionExchange::kSeveralVersions. */
        std::uint32_t hash = 0;
        /** Time at which they were asked. */
        TimePoint askedAt {};
    };

    struct History {
        /** Last time at which an endpoint of the version had an entry. */
        std::map<std::string, TimePoint, std::less<>> lastSeen;
        /** Time for which streams of a version can be open after its last entry is gone. */
        Duration lifetime {};
        /** Time until which streams can be open that began when the lifetime was as long as now. */
        TimePoint lifetimeUntil {};
        TimePoint watchedSince {};
        bool isMixed = false;
        /** Time since which there is only one version. */
        TimePoint settledAt {};
        bool wasMixed = false;
        /** Whether the store may hold an object that has to be removed once the service is no longer mixed. */
        bool mayBeStored = false;
        /** Object in the store; nothing if this host does not know. */
        std::optional<StoredHistory> stored;
        /** Last answer of other hosts; nothing if none of them knew the version. */
        std::optional<ToldVersion> told;
        bool isAsking = false;
        /** Time from which a caller's return asks other hosts again. */
        TimePoint canAskAt {};
        /** Time at which this host asks others again without a caller's return. */
        TimePoint nextAskAt {};
        Duration askDelay {};
    };

    using Histories = std::map<std::string, History, std::less<>>;

    /** Objects of all services as listed once. A service whose object cannot be read has no versions. */
    struct Listing {
        TimePoint sentAt {};
        std::map<std::string, std::optional<Versions>, std::less<>> versions;
    };

    /** Checks if all changes of the endpoints have been noted up to now. */
    [[nodiscard]] bool isWatching() const;
    /** Returns the time since which this host has seen each version of a service; requires that it is watching. */
    [[nodiscard]] TimePoint watchedSince(const History& history) const;
    /** Checks if this host itself knows all versions whose streams can be open. */
    [[nodiscard]] bool hasWatchedLongEnough(const History& history) const;
    /** Checks if no stream of another version than the one in service can be open; requires that it is watching. */
    [[nodiscard]] bool isOnlyVersion(std::string_view service, const History& history) const;
    /** Checks if a service has one version in service that its endpoints tell. */
    [[nodiscard]] static bool hasOneVersion(const History& history);
    void askHostsIfDue();
    [[nodiscard]] Task<void> askHosts(std::string service);
    void startAsking(const std::string& service, History& history);
    void logAnswer(std::string_view service, std::optional<std::uint32_t> version);
    void recordListed();
    void updateHistory(std::string_view service, History& history);
    void dropIdle();
    /** Checks if the object of a service has to be written or removed by this host. */
    [[nodiscard]] bool isSyncDue(const History& history) const;
    /** Writes and removes the objects that are due. */
    [[nodiscard]] Task<void> syncStore();
    [[nodiscard]] Task<void> syncService(std::string service);
    /** Writes or removes an object whose stored state is known or assumed. @return False on a conflict. */
    [[nodiscard]] Task<bool> replaceObject(std::string service);
    [[nodiscard]] Task<void> readObject(std::string service);
    /** Versions that count as in service. */
    [[nodiscard]] static Versions namesOf(const History& history);
    /** Versions to write: those in service, and those of other writers that this host has not watched. */
    [[nodiscard]] Versions versionsToStore(const History& history) const;
    [[nodiscard]] Task<void> listObjects();
    void applyListing(TimePoint sentAt, const WatchBatch& batch);
    /** Reads the versions of an object; logs if that is not possible. */
    [[nodiscard]] std::optional<Versions> readVersions(std::string_view service, const nlohmann::json& value);
    /** Finds the only version by the listed objects. */
    [[nodiscard]] std::optional<std::uint32_t> findOnlyListed(std::string_view service, std::string_view version) const;
    void logMixed(std::string_view service, const History& history);
    void logFailure(PlatformOperation operation, std::string_view service, std::string_view error);

public:
    /**
     * @brief Creates an empty history.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints.
     * @param storeClient Client of the store.
     * @param versionHooks Functions of the host.
     * @param decisionLog Log of the host.
     */
    ServiceVersions(Clock& hostClock, const EndpointDirectory& endpointDirectory, PlatformClient& storeClient,
        ServiceVersionsHooks versionHooks, DecisionLog& decisionLog);

    /** @brief Takes note of the versions that are in service now, and writes changes to the store; called regularly. */
    void update();

    /** @brief Takes note that the store was restored from a copy, which may lack what was written. */
    void recordRestore();

    /** @brief Checks if any service had several versions of late. @return True while streams of either can be open. */
    [[nodiscard]] bool isAnyMixed() const;

    /**
     * @brief Checks if other hosts have to be told of the streams that this host begins.
     * @return True while this host cannot tell the only version of a service; others may not know it either.
     */
    [[nodiscard]] bool isReportRequired() const;

    /**
     * @brief Returns what this host tells others of the version of a service.
     * @param service Hash of the service, as VersionExchange::hashService().
     * @return Hash of the only version whose streams can be open, VersionExchange::kSeveralVersions, or nothing if this
     * host cannot know.
     */
    [[nodiscard]] std::optional<std::uint32_t> tellVersion(std::uint32_t service);

    /**
     * @brief Finds the version that must have begun each stream of a service that is still open.
     * @param service Service.
     * @return Hash of the version, as GatewayEndpoint::versionHash; nothing if there can be several, or if this host
     * cannot know.
     */
    [[nodiscard]] Task<std::optional<std::uint32_t>> findOnlyVersion(std::string service);

    /**
     * @brief Finds the version that must have begun each open stream, for a host that hears no keeper and so may be out
     * of step: it asks other hosts, and the store if none of them knows.
     * @param service Service.
     * @return As findOnlyVersion().
     */
    [[nodiscard]] Task<std::optional<std::uint32_t>> confirmOnlyVersion(std::string service);

    /**
     * @brief Checks if findOnlyVersion() needs no call.
     * @param service Service.
     * @return True if this host itself knows the only version.
     */
    [[nodiscard]] bool isOnlyVersionKnown(std::string_view service) const;

private:
    Clock& clock;
    const EndpointDirectory& directory;
    PlatformClient& client;
    ServiceVersionsHooks hooks;
    DecisionLog& log;
    Histories histories;
    std::optional<TimePoint> updatedAt;
    /** Time since which this host has known all changes; nothing while it does not. */
    std::optional<TimePoint> currentSince;
    std::optional<Listing> listing;
    Event listEnded;
    Event askingEnded;
    bool isListing = false;
    TimePoint nextListAt {};
    bool isSyncing = false;
    TimePoint nextSyncAt {};
    Duration syncRetryDelay;
    /** Number of restores; what was asked before the last one says nothing of the restored store. */
    unsigned restores = 0;
    /** Time from which the objects are complete after a restore. */
    TimePoint completeFrom {};
};

} // namespace berylwing
