#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
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
    /** Lists the objects of one kind, page by page. */
    List,
    /** Waits for changes of one kind. */
    WatchKind,
};

/** @brief One call of the object API. */
struct PlatformCall {
    PlatformOperation operation = PlatformOperation::Get;
    ObjectKind kind = ObjectKind::Contract;
    std::string name;
    std::string body;
    /** Version the object has to have for a write; zero if it may not exist yet. */
    std::uint64_t expectedVersion = 0;
    /** Revision after which a watch reports changes. */
    std::uint64_t after = 0;
    /** Name after which a page of a list begins. */
    std::string afterName;
    /** Whether a list may be some seconds old, which costs the platform less. */
    bool allowStale = false;
    /** Longest time for which a watch waits for a change. */
    Duration wait {};
    /** Time after which the call is given up. */
    Duration timeout {};
};

/** @brief Outcomes of a call that reached the platform. */
enum class PlatformStatus {
    Ok,
    NotFound,
    Conflict,
};

/** @brief Page of a list, or changes reported by a watch. */
struct WatchBatch {
    std::vector<VersionedObject> changes;
    /** Revision up to which the list or the changes are complete. */
    std::uint64_t through = 0;
    /** Whether the list goes on after the last object. */
    bool hasMore = false;
};

/** @brief Answer of the platform to one call. */
struct PlatformReply {
    PlatformStatus status = PlatformStatus::Ok;
    std::uint64_t version = 0;
    std::string body;
    /** Objects of a List or WatchKind call. */
    WatchBatch batch {};
};

/** @brief Object as it is stored in the platform. */
struct StoredObject {
    std::uint64_t version = 0;
    nlohmann::json value;
};

/** @brief Entry of the platform's list of hosts, which lags behind. */
struct HostListing {
    std::string host;
    bool leaving = false;
};

} // namespace berylwing
