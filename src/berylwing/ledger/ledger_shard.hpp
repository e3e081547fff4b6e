#pragma once

#include "berylwing/core/event.hpp"
#include "berylwing/ledger/claim.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/store/platform_client.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

class Metrics;

/** @brief Function that reads the wall clock in milliseconds since the Unix epoch. */
using WallClock = std::function<std::int64_t()>;

/** @brief Results of a write of the ledger. */
enum class CommitResult {
    /** The platform holds all claims that were made before the write. */
    Written,
    /** It is not known yet whether the platform holds them; the host still takes itself for the owner. */
    Unresolved,
    /** Another host owns the shard. */
    Lost,
};

/**
 * @brief One shard of the ledger of requests that may not be repeated.
 *
 * The shard is one object of the platform. Each write replaces the version that the host has read or written last, so
 * that a host that is no longer the owner cannot write. All claims that wait when a write begins go into it together.
 */
class LedgerShard {
    [[nodiscard]] Task<void> writeLoop();
    [[nodiscard]] Task<CommitResult> writeOnce();
    [[nodiscard]] Task<CommitResult> resolveWrite(std::uint64_t writeNumber);
    [[nodiscard]] nlohmann::json makeDocument(std::uint64_t writeNumber) const;
    void loadDocument(const StoredObject& stored);
    void endOwnership();
    void dropExpired();
    [[nodiscard]] std::string nonceOf(std::uint64_t writeNumber) const;
    [[nodiscard]] std::string noncePrefix() const;

public:
    /** @brief Function that tells whether a host still holds the shards it owned. */
    using OwnerLivenessCheck = std::function<bool(const std::string& host, std::uint64_t incarnation)>;

    /**
     * @brief Creates a shard that this host does not own yet.
     * @param shardName Name of the shard's object.
     * @param hostClock Clock of the host.
     * @param wall Wall clock.
     * @param self Identity of the host.
     * @param platformClient Client of the platform.
     * @param hostMetrics Metrics of the host.
     */
    LedgerShard(std::string shardName, Clock& hostClock, WallClock wall, const Identity& self,
        PlatformClient& platformClient, Metrics& hostMetrics);

    /** @brief Tells whether this host takes itself for the owner. @return True after acquire() until a lost write. */
    [[nodiscard]] bool isOwned() const noexcept { return this->hasOwnership; }

    /** @brief Tells the owner read last. @return Host; empty if there is none. */
    [[nodiscard]] const std::string& ownerHost() const noexcept { return this->owner; }

    /** @brief Tells when the owner was read last. @return Time on the host's clock. */
    [[nodiscard]] TimePoint ownerReadAt() const noexcept { return this->ownerReadTime; }

    /** @brief Counts the claims. @return Number of claims held. */
    [[nodiscard]] std::size_t claimCount() const noexcept { return this->claims.size(); }

    /** @brief Finds the claim of a key. @param key Key with its workspace. @return Claim, or nothing. */
    [[nodiscard]] const Claim* findClaim(std::string_view key) const;

    /**
     * @brief Takes the shard over unless another host owns it.
     * @param isOwnerAlive Tells whether the owner named in the object is to be respected.
     * @return True if this host owns the shard now.
     * @throws PlatformError If the platform does not answer.
     */
    [[nodiscard]] Task<bool> acquire(OwnerLivenessCheck isOwnerAlive);

    /**
     * @brief Sets the claim of a key; it counts only once commit() gave Written.
     * @param key Key with its workspace.
     * @param claim Claim.
     */
    void setClaim(const std::string& key, Claim claim);

    /** @brief Takes the claim of a key back. @param key Key with its workspace. */
    void removeClaim(const std::string& key);

    /**
     * @brief Writes all changes made before the call, together with those of others.
     * @param deadline Time after which the wait ends.
     * @return Result of the write; Unresolved if the deadline came first.
     */
    [[nodiscard]] Task<CommitResult> commit(TimePoint deadline);

    /**
     * @brief Gives the shard up in a planned stop.
     * @param deadline Time after which the wait ends.
     * @return Awaitable.
     */
    [[nodiscard]] Task<void> relinquish(TimePoint deadline);

private:
    std::string name;
    Clock& clock;
    WallClock wallClock;
    Identity identity;
    PlatformClient& platform;
    Metrics& metrics;
    Event stateChanged;
    std::map<std::string, Claim, std::less<>> claims;
    std::string owner;
    TimePoint ownerReadTime {};
    std::uint64_t version = 0;
    std::uint64_t epoch = 0;
    std::uint64_t lastChange = 0;
    std::uint64_t lastWrittenChange = 0;
    std::uint64_t nextWriteNumber = 1;
    std::uint64_t ownershipTerm = 0;
    bool hasOwnership = false;
    bool isRelinquishing = false;
    bool isWriting = false;
    bool isAcquiring = false;
};

} // namespace berylwing
