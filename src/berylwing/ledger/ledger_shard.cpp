#include "berylwing/ledger/ledger_shard.hpp"

#include "berylwing/ledger/limits.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

LedgerShard::LedgerShard(std::string shardName, Clock& hostClock, WallClock wall, const Identity& self,
    PlatformClient& platformClient, Metrics& hostMetrics)
    : name { std::move(shardName) }
    , clock { hostClock }
    , wallClock { std::move(wall) }
    , identity { self }
    , platform { platformClient }
    , metrics { hostMetrics }
    , stateChanged { hostClock }
{
}

const Claim* LedgerShard::findClaim(std::string_view key) const
{
    const auto found = this->claims.find(key);
    return found == this->claims.end() ? nullptr : &found->second;
}

Task<bool> LedgerShard::acquire(OwnerLivenessCheck isOwnerAlive)
{
    while (this->isAcquiring)
        co_await this->stateChanged.waitUntil(this->clock.now() + kCommitRetryDelay);
    if (this->hasOwnership)
        co_return true;
    this->isAcquiring = true;
    bool acquired = false;
    std::exception_ptr failure;
    try {
        const auto stored = co_await this->platform.get(ObjectKind::Ledger, this->name);
        this->loadDocument(stored.value_or(StoredObject { 0, nlohmann::json::object() }));
        const auto incarnation = stored ? stored->value.value("incarnation", std::uint64_t { 0 }) : 0;
        const bool isTaken = !this->owner.empty() && isOwnerAlive(this->owner, incarnation);
        if (!isTaken) {
            ++this->epoch;
            const auto write = this->nextWriteNumber++;
            this->version
                = co_await this->platform.put(ObjectKind::Ledger, this->name, this->makeDocument(write), this->version);
            acquired = true;
        }
    } catch (const PlatformError& error) {
        // A conflict means that another host acquired the shard first; other errors are passed on to the caller.
        if (error.fault() != PlatformFault::Conflict)
            failure = std::current_exception();
    }
    this->isAcquiring = false;
    this->stateChanged.notifyAll();
    if (failure)
        std::rethrow_exception(failure);
    if (!acquired)
        co_return false;
    this->hasOwnership = true;
    this->isRelinquishing = false;
    this->owner = this->identity.host;
    ++this->ownershipTerm;
    // Changes from an earlier ownership that were never written are void: the claims were just read again.
    this->lastChange = this->lastWrittenChange;
    this->metrics.add(Incident::LedgerTakenOver);
    co_return true;
}

void LedgerShard::setClaim(const std::string& key, Claim claim)
{
    this->claims[key] = std::move(claim);
    ++this->lastChange;
}

void LedgerShard::removeClaim(const std::string& key)
{
    this->claims.erase(key);
    ++this->lastChange;
}

Task<CommitResult> LedgerShard::commit(TimePoint deadline)
{
    const auto target = this->lastChange;
    const auto startedIn = this->ownershipTerm;
    if (!this->isWriting && this->hasOwnership) {
        this->isWriting = true;
        spawn(this->clock.executor(), "ledger writer", this->writeLoop());
    }
    while (this->hasOwnership && this->ownershipTerm == startedIn && this->lastWrittenChange < target) {
        if (this->clock.now() >= deadline)
            co_return CommitResult::Unresolved;
        co_await this->stateChanged.waitUntil(deadline);
    }
    co_return this->ownershipTerm == startedIn&& this->lastWrittenChange >= target ? CommitResult::Written
                                                                                   : CommitResult::Lost;
}

Task<void> LedgerShard::relinquish(TimePoint deadline)
{
    this->isRelinquishing = true;
    ++this->lastChange;
    const auto result = co_await this->commit(deadline);
    if (result == CommitResult::Written)
        this->endOwnership();
}

Task<void> LedgerShard::writeLoop()
{
    while (this->hasOwnership && this->lastWrittenChange < this->lastChange) {
        const auto target = this->lastChange;
        const auto result = co_await this->writeOnce();
        if (result == CommitResult::Written)
            this->lastWrittenChange = target;
        else if (result == CommitResult::Lost)
            this->endOwnership();
        this->stateChanged.notifyAll();
        if (result == CommitResult::Unresolved)
            co_await this->clock.sleepFor(kCommitRetryDelay);
    }
    this->isWriting = false;
}

Task<CommitResult> LedgerShard::writeOnce()
{
    this->dropExpired();
    const auto write = this->nextWriteNumber++;
    bool isLost = false;
    try {
        this->version
            = co_await this->platform.put(ObjectKind::Ledger, this->name, this->makeDocument(write), this->version);
        co_return CommitResult::Written;
    } catch (const PlatformError& error) {
        spdlog::debug("cannot write ledger shard {}: {}", this->name, error.what());
        if (error.fault() == PlatformFault::Unavailable)
            co_return CommitResult::Unresolved;
        isLost = error.fault() == PlatformFault::Conflict;
    }
    // The write may have succeeded although its answer was lost, or may conflict with an earlier write of this host
    // whose answer was lost. The nonce in the stored object shows which write the platform holds.
    this->metrics.add(isLost ? Retry::PlatformConflict : Retry::PlatformReadBack);
    co_return co_await this->resolveWrite(write);
}

Task<CommitResult> LedgerShard::resolveWrite(std::uint64_t writeNumber)
{
    try {
        const auto stored = co_await this->platform.get(ObjectKind::Ledger, this->name);
        if (!stored)
            co_return CommitResult::Unresolved;
        // The object is unchanged: the write was not applied, but may still be in progress.
        if (stored->version == this->version)
            co_return CommitResult::Unresolved;
        const auto nonce = stored->value.value("nonce", std::string {});
        if (!nonce.starts_with(this->noncePrefix()))
            co_return CommitResult::Lost;
        // If an earlier write of this host was applied instead, the retry replaces the version which that write
        // created.
        this->version = stored->version;
        const bool isThisWrite = nonce == this->nonceOf(writeNumber);
        co_return isThisWrite ? CommitResult::Written : CommitResult::Unresolved;
    } catch (const PlatformError&) {
        co_return CommitResult::Unresolved;
    }
}

nlohmann::json LedgerShard::makeDocument(std::uint64_t writeNumber) const
{
    auto entries = nlohmann::json::object();
    for (const auto& [key, claim] : this->claims)
        entries[key] = writeClaim(claim);
    return { { "epoch", this->epoch }, { "owner", this->isRelinquishing ? std::string {} : this->identity.host },
        { "incarnation", this->identity.incarnation }, { "nonce", this->nonceOf(writeNumber) },
        { "claims", std::move(entries) } };
}

void LedgerShard::loadDocument(const StoredObject& stored)
{
    this->version = stored.version;
    this->epoch = stored.value.value("epoch", std::uint64_t { 0 });
    this->owner = stored.value.value("owner", std::string {});
    this->ownerReadTime = this->clock.now();
    this->claims.clear();
    const auto entries = stored.value.find("claims");
    if (entries == stored.value.end())
        return;
    for (const auto& [key, entry] : entries->items())
        this->claims.emplace(key, readClaim(entry));
}

void LedgerShard::endOwnership()
{
    this->hasOwnership = false;
    this->owner.clear();
    this->ownerReadTime = TimePoint {};
    this->claims.clear();
    this->metrics.add(Incident::LedgerLost);
}

void LedgerShard::dropExpired()
{
    const auto oldest = this->wallClock() - kClaimTtl.count();
    std::erase_if(this->claims, [oldest](const auto& entry) { return entry.second.keyCreatedMs < oldest; });
}

std::string LedgerShard::nonceOf(std::uint64_t writeNumber) const
{
    return this->noncePrefix() + std::to_string(writeNumber);
}

std::string LedgerShard::noncePrefix() const
{
    return this->identity.host + ":" + std::to_string(this->identity.incarnation) + ":";
}

} // namespace berylwing
