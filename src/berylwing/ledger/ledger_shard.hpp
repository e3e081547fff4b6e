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

/** @brief Function that returns the wall clock time in milliseconds since the Unix epoch. */
using WallClock = std::function<std::int64_t()>;

/** @brief Results of writing a ledger shard to the platform. */
enum class CommitResult {
    /** The platform holds all changes made before the call. */
    Written,
    /** It is unknown whether the platform holds the changes; as far as this host knows, it still owns the shard. */
    Unresolved,
    /** Another host owns the shard. */
    Lost,
};

/**
 * @brief One shard of the ledger, which records the orders (requests that must run at most once) and their answers.
 *
 * The shard is stored as one platform object. Each write is a compare-and-swap on the version that this host read or
 * wrote last, so a host that lost ownership cannot write. All changes pending when a write starts go into it together.
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
    /** @brief Function that checks if the owner named in the stored object is another live host. */
    using OwnerLivenessCheck = std::function<bool(const std::string& host, std::uint64_t incarnation)>;

    /**
     * @brief Creates a shard that this host does not own.
     * @param shardName Name of the platform object of the shard.
     * @param hostClock Clock of the host.
     * @param wall Wall clock.
     * @param self Identity of the host.
     * @param platformClient Client of the platform.
     * @param hostMetrics Metrics of the host.
     */
    LedgerShard(std::string shardName, Clock& hostClock, WallClock wall, const Identity& self,
        PlatformClient& platformClient, Metrics& hostMetrics);

    /**
     * @brief Checks if this host owns the shard as far as it knows.
     * @return True from a successful acquire() until a write finds another owner or relinquish() succeeds.
     */
    [[nodiscard]] bool isOwned() const noexcept { return this->hasOwnership; }

    /** @brief Returns the owner named in the stored object when it was last read. @return Host; empty if none. */
    [[nodiscard]] const std::string& ownerHost() const noexcept { return this->owner; }

    /** @brief Returns the time at which the stored object was last read. @return Time on the host's clock. */
    [[nodiscard]] TimePoint ownerReadAt() const noexcept { return this->ownerReadTime; }

    /** @brief Returns the number of claims. @return Number of claims. */
    [[nodiscard]] std::size_t claimCount() const noexcept { return this->claims.size(); }

    /** @brief Finds a claim. @param key Key from makeClaimKey(). @return Claim, or nullptr. */
    [[nodiscard]] const Claim* findClaim(std::string_view key) const;

    /**
     * @brief Acquires the shard unless another live host owns it.
     * @param isOwnerAlive Checks if the owner named in the stored object is another live host.
     * @return True if this host owns the shard now.
     * @throws PlatformError If the platform does not answer.
     */
    [[nodiscard]] Task<bool> acquire(OwnerLivenessCheck isOwnerAlive);

    /**
     * @brief Sets a claim locally; it is in effect only after commit() returned Written.
     * @param key Key from makeClaimKey().
     * @param claim Claim.
     */
    void setClaim(const std::string& key, Claim claim);

    /** @brief Removes a claim locally; commit() writes the removal. @param key Key from makeClaimKey(). */
    void removeClaim(const std::string& key);

    /**
     * @brief Writes all changes made before the call, batched with those of concurrent callers.
     * @param deadline Time after which the wait ends.
     * @return Result of the write; Unresolved if the deadline passed first.
     */
    [[nodiscard]] Task<CommitResult> commit(TimePoint deadline);

    /**
     * @brief Writes the shard without an owner and ends the ownership; the shard stays owned if the write fails.
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
    /** Version of the stored object that this host read or wrote last. */
    std::uint64_t version = 0;
    /** Number of times that any host acquired the shard. */
    std::uint64_t epoch = 0;
    /** Sequence number of the last local change. */
    std::uint64_t lastChange = 0;
    /** Sequence number of the last change that the platform holds. */
    std::uint64_t lastWrittenChange = 0;
    /** Number of the next write, which makes its nonce unique. */
    std::uint64_t nextWriteNumber = 1;
    /** Number of times this host acquired the shard; lets commit() detect that ownership was lost and regained. */
    std::uint64_t ownershipTerm = 0;
    bool hasOwnership = false;
    bool isRelinquishing = false;
    bool isWriting = false;
    bool isAcquiring = false;
};

} // namespace berylwing
