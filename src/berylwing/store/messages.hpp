#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Operations of the platform's object API. */
enum class PlatformOperation {
    Get,
    Put,
    Remove,
    Watch,
    Hosts,
    /** Lists the objects of one kind in pages. */
    List,
    /** Waits for changes of the objects of one kind. */
    WatchKind,
    /** Replaces the part of an object that this system writes, under the condition of its version. */
    PutStatus,
};

/** @brief Names of the operations in logs and metrics. */
inline constexpr EnumNames<PlatformOperation, 8> kPlatformOperationNames { {
    "get",
    "put",
    "remove",
    "watch",
    "hosts",
    "list",
    "watch_kind",
    "put_status",
} };

/** @brief Reasons for which a host calls the object API. */
enum class PlatformCallReason {
    /** Reads or writes an object on demand. */
    Access,
    /** Writes or removes the host's own entry. */
    Registration,
    /** First list after the start of the process. */
    Start,
    /** List of a store that was restored from a copy. */
    Restore,
    /** List because the store has dropped the changes that are missing. */
    HistoryLost,
    /** List because an object could not be applied. */
    ListRejected,
    /** Watch of the host that watches for its group. */
    Watch,
    /** Short watch after a change, which confirms that there is no newer one. */
    Confirmation,
    /** Watch for changes that the watcher's news omitted. */
    MissedNews,
    /** Watch because no news have arrived recently, although the watcher is up to date. */
    NoNews,
    /** Watch because no other host is known to watch, or its confirmations are too old. */
    NoWatcher,
    /** Repetition of a call that has failed. */
    Retry,
    /** Short watch because a caller's request depends on changes of the last moment. */
    Refresh,
    /** Short watch because another host has a newer plan. */
    NewerPlan,
};

/** @brief Names of the reasons in logs and metrics. */
inline constexpr EnumNames<PlatformCallReason, 14> kPlatformCallReasonNames { {
    "access",
    "registration",
    "start",
    "restore",
    "history_lost",
    "list_rejected",
    "watch",
    "confirmation",
    "missed_news",
    "no_news",
    "no_watcher",
    "retry",
    "refresh",
    "newer_plan",
} };

/** @brief Request to the object API. */
struct PlatformCall {
    PlatformOperation operation = PlatformOperation::Get;
    ObjectKind kind = ObjectKind::Contract;
    PlatformCallReason reason = PlatformCallReason::Access;
    std::string name;
    std::string body;
    /** Version that the object must have for a write; zero if it must not exist yet. */
    std::uint64_t expectedVersion = 0;
    /** Revision after which a watch reports changes. */
    std::uint64_t after = 0;
    /** Name after which a page of a list starts. */
    std::string afterName;
    /** Whether a list may be a few seconds old, which is cheaper for the platform. */
    bool allowStale = false;
    /** Maximum time that a watch waits for a change. */
    Duration wait {};
    /** Time after which the call fails; zero for the default. */
    Duration timeout {};
};

/** @brief Results of a call that the platform answered. */
enum class PlatformStatus {
    Ok,
    NotFound,
    Conflict,
};

/** @brief Page of a list, or changes returned by a watch. */
struct WatchBatch {
    std::vector<VersionedObject> changes;
    /** Revision up to which the list or the changes are complete. */
    std::uint64_t through = 0;
    /**
     * Era of the store, which rises each time that the store is restored from a copy; zero if the platform has no eras.
     * Revisions are comparable only within an era.
     */
    std::uint64_t era = 0;
    /** Whether the list continues after this page. */
    bool hasMore = false;
    /** Name after which the next page starts, in the bytes of the store; empty if the page has no readable name. */
    std::string lastName;
    /** Bytes of the response; zero if the transport does not tell. */
    std::size_t bytes = 0;
};

/** @brief Response of the platform to a call. */
struct PlatformReply {
    PlatformStatus status = PlatformStatus::Ok;
    std::uint64_t version = 0;
    std::string body;
    /** Objects of a List or WatchKind call. */
    WatchBatch batch {};
    /** Era of the store; zero if the response names none. */
    std::uint64_t era = 0;
};

/** @brief Object as it is stored in the platform. */
struct StoredObject {
    std::uint64_t version = 0;
    nlohmann::json value;
};

/** @brief Entry of the platform's list of hosts, which is updated with a delay. */
struct HostListing {
    std::string host;
    bool leaving = false;
};

} // namespace berylwing
