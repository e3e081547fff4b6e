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
    , changed { hostClock }
{
}

const Claim* LedgerShard::find(std::string_view key) const
{
    const auto found = this->claims.find(key);
    return found == this->claims.end() ? nullptr : &found->second;
}

Task<bool> LedgerShard::acquire(OwnerCheck isAlive)
{
    while (this->acquiring)
        co_await this->changed.waitUntil(this->clock.now() + kCommitRetryPause);
    if (this->owned)
        co_return true;
    this->acquiring = true;
    bool acquired = false;
    std::exception_ptr failure;
    try {
        const auto stored = co_await this->platform.get(ObjectKind::Ledger, this->name);
        this->load(stored.value_or(StoredObject { 0, nlohmann::json::object() }));
        const auto incarnation = stored ? stored->value.value("incarnation", std::uint64_t { 0 }) : 0;
        const bool isTaken = !this->owner.empty() && isAlive(this->owner, incarnation);
        if (!isTaken) {
            ++this->epoch;
            const auto write = this->nextWrite++;
            this->version
                = co_await this->platform.put(ObjectKind::Ledger, this->name, this->document(write), this->version);
            acquired = true;
        }
    } catch (const PlatformError& error) {
        // A conflict means that another host was faster; anything else is the caller's to report.
        if (error.fault() != PlatformFault::Conflict)
            failure = std::current_exception();
    }
    this->acquiring = false;
    this->changed.notifyAll();
    if (failure)
        std::rethrow_exception(failure);
    if (!acquired)
        co_return false;
    this->owned = true;
    this->givingUp = false;
    this->owner = this->identity.host;
    ++this->ownership;
    this->changeNumber = this->writtenNumber;
    this->metrics.add(Incident::LedgerTakenOver);
    co_return true;
}

void LedgerShard::set(const std::string& key, Claim claim)
{
    this->claims[key] = std::move(claim);
    ++this->changeNumber;
}

void LedgerShard::release(const std::string& key)
{
    this->claims.erase(key);
    ++this->changeNumber;
}

Task<CommitResult> LedgerShard::commit(TimePoint deadline)
{
    const auto target = this->changeNumber;
    const auto startedIn = this->ownership;
    if (!this->writing && this->owned) {
        this->writing = true;
        spawn(this->clock.executor(), "ledger writer", this->writeLoop());
    }
    while (this->owned && this->ownership == startedIn && this->writtenNumber < target) {
        if (this->clock.now() >= deadline)
            co_return CommitResult::Unresolved;
        co_await this->changed.waitUntil(deadline);
    }
    co_return this->ownership == startedIn&& this->writtenNumber >= target ? CommitResult::Written : CommitResult::Lost;
}

Task<void> LedgerShard::giveUp(TimePoint deadline)
{
    this->givingUp = true;
    ++this->changeNumber;
    const auto result = co_await this->commit(deadline);
    if (result == CommitResult::Written)
        this->lose();
}

Task<void> LedgerShard::writeLoop()
{
    while (this->owned && this->writtenNumber < this->changeNumber) {
        const auto target = this->changeNumber;
        const auto result = co_await this->writeOnce();
        if (result == CommitResult::Written)
            this->writtenNumber = target;
        else if (result == CommitResult::Lost)
            this->lose();
        this->changed.notifyAll();
        if (result == CommitResult::Unresolved)
            co_await this->clock.sleepFor(kCommitRetryPause);
    }
    this->writing = false;
}

Task<CommitResult> LedgerShard::writeOnce()
{
    this->dropExpired();
    const auto write = this->nextWrite++;
    bool isLost = false;
    try {
        this->version
            = co_await this->platform.put(ObjectKind::Ledger, this->name, this->document(write), this->version);
        co_return CommitResult::Written;
    } catch (const PlatformError& error) {
        spdlog::debug("ledger {} not written: {}", this->name, error.what());
        if (error.fault() == PlatformFault::Unavailable)
            co_return CommitResult::Unresolved;
        isLost = error.fault() == PlatformFault::Conflict;
    }
    // After a lost answer, or a conflict with an own earlier write whose answer was lost, the object tells whose it is.
    this->metrics.add(isLost ? Retry::PlatformConflict : Retry::PlatformReadBack);
    co_return co_await this->resolve(write);
}

Task<CommitResult> LedgerShard::resolve(std::uint64_t writeNumber)
{
    try {
        const auto stored = co_await this->platform.get(ObjectKind::Ledger, this->name);
        if (!stored)
            co_return CommitResult::Unresolved;
        if (stored->version == this->version)
            co_return CommitResult::Unresolved;
        const auto nonce = stored->value.value("nonce", std::string {});
        if (!nonce.starts_with(this->noncePrefix()))
            co_return CommitResult::Lost;
        this->version = stored->version;
        const bool isThisWrite = nonce == this->nonceOf(writeNumber);
        co_return isThisWrite ? CommitResult::Written : CommitResult::Unresolved;
    } catch (const PlatformError&) {
        co_return CommitResult::Unresolved;
    }
}

nlohmann::json LedgerShard::document(std::uint64_t writeNumber) const
{
    auto entries = nlohmann::json::object();
    for (const auto& [key, claim] : this->claims)
        entries[key] = writeClaim(claim);
    return { { "epoch", this->epoch }, { "owner", this->givingUp ? std::string {} : this->identity.host },
        { "incarnation", this->identity.incarnation }, { "nonce", this->nonceOf(writeNumber) },
        { "claims", std::move(entries) } };
}

void LedgerShard::load(const StoredObject& stored)
{
    this->version = stored.version;
    this->epoch = stored.value.value("epoch", std::uint64_t { 0 });
    this->owner = stored.value.value("owner", std::string {});
    this->readAt = this->clock.now();
    this->claims.clear();
    const auto entries = stored.value.find("claims");
    if (entries == stored.value.end())
        return;
    for (const auto& [key, entry] : entries->items())
        this->claims.emplace(key, readClaim(entry));
}

void LedgerShard::lose()
{
    this->owned = false;
    this->owner.clear();
    this->readAt = TimePoint {};
    this->claims.clear();
    this->metrics.add(Incident::LedgerLost);
}

void LedgerShard::dropExpired()
{
    const auto oldest = this->wallClock() - kRetention.count();
    std::erase_if(this->claims, [oldest](const auto& entry) { return entry.second.keyTimeMs < oldest; });
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
