#include "berylwing/gateway/service_versions.hpp"

#include "berylwing/gateway/version_exchange.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace berylwing {

namespace {

/** Time for which an endpoint can serve on after its entry is gone. */
constexpr Duration kServeOnTimeout { 4000 };
/** Longest time between two updates in which no version can have come and gone unseen. */
constexpr Duration kMaxUpdateGap { 1000 };
/** Delay after a failed list, in which take-ups are refused without a call. */
constexpr Duration kListRetryDelay { 500 };
/** Delay after other hosts did not know a version, in which take-ups do not ask them again. */
constexpr Duration kMinAskDelay { 500 };
/** Longest delay while no other host knows it either, as after a start of the whole fleet. */
constexpr Duration kMaxAskDelay { 4000 };
constexpr Duration kMinSyncRetryDelay { 500 };
/** Longest delay after failed writes; an outage of the store is priced by the call. */
constexpr Duration kMaxSyncRetryDelay { 4000 };
/** Time in which the writers have written again what a restored store lacks. */
constexpr Duration kRewriteTimeout { 3000 };
/** Number of conflicts with other writers after which a write counts as failed. */
constexpr int kMaxConflicts = 3;

constexpr const char* kVersionsField = "versions";

} // namespace

ServiceVersions::ServiceVersions(Clock& hostClock, const EndpointDirectory& endpointDirectory,
    PlatformClient& storeClient, ServiceVersionsHooks versionHooks, DecisionLog& decisionLog)
    : clock { hostClock }
    , directory { endpointDirectory }
    , client { storeClient }
    , hooks { std::move(versionHooks) }
    , log { decisionLog }
    , listEnded { hostClock }
    , askingEnded { hostClock }
    , syncRetryDelay { kMinSyncRetryDelay }
{
}

void ServiceVersions::update()
{
    const auto now = this->clock.now();
    const bool wasSuspended = this->updatedAt && now - *this->updatedAt > kMaxUpdateGap;
    if (!this->hooks.isCurrent())
        this->currentSince.reset();
    else if (!this->currentSince || wasSuspended)
        this->currentSince = now;
    this->updatedAt = now;
    this->recordListed();
    for (auto& [service, history] : this->histories)
        this->updateHistory(service, history);
    this->dropIdle();
    this->askHostsIfDue();
    const bool isDue = std::any_of(this->histories.begin(), this->histories.end(),
        [this](const auto& entry) { return this->isSyncDue(entry.second); });
    if (this->isSyncing || !isDue || now < this->nextSyncAt)
        return;
    this->isSyncing = true;
    spawn(this->clock.executor(), "version history", this->syncStore());
}

void ServiceVersions::recordListed()
{
    const auto now = this->clock.now();
    std::map<std::string_view, History*> known;
    for (const auto& [id, endpoint] : this->directory.all()) {
        const auto& record = endpoint->record;
        const auto [entry, isFirst] = known.try_emplace(record.service, nullptr);
        if (isFirst) {
            auto found = this->histories.find(record.service);
            if (found == this->histories.end() && this->hooks.streamLifetime(record.service) > Duration {}) {
                found = this->histories.try_emplace(record.service).first;
                found->second.watchedSince = now;
                this->updateHistory(found->first, found->second);
            }
            entry->second = found == this->histories.end() ? nullptr : &found->second;
        }
        if (entry->second)
            entry->second->lastSeen[record.version] = now;
    }
}

void ServiceVersions::updateHistory(std::string_view service, History& history)
{
    const auto now = this->clock.now();
    const auto streams = this->hooks.streamLifetime(service);
    const auto lifetime = streams > Duration {} ? streams + kServeOnTimeout : Duration {};
    // Streams that began by an earlier plan keep its longer lifetime.
    if (lifetime >= history.lifetime || now >= history.lifetimeUntil) {
        history.lifetime = lifetime;
        history.lifetimeUntil = now + lifetime;
    }
    const bool isTracked = history.lifetime > Duration {};
    if (!isTracked)
        history.watchedSince = now;
    std::erase_if(history.lastSeen, [&history, isTracked, now](const auto& version) {
        return !isTracked || version.second + history.lifetime < now;
    });
    const bool isMixed = history.lastSeen.size() > 1;
    if (std::exchange(history.isMixed, isMixed) == isMixed)
        return;
    if (!isMixed)
        history.settledAt = now;
    history.wasMixed = true;
    history.mayBeStored = true;
    this->logMixed(service, history);
}

void ServiceVersions::dropIdle()
{
    const bool isWriter = this->hooks.isWriter();
    std::erase_if(this->histories, [this, isWriter](const auto& entry) {
        const auto& history = entry.second;
        return !this->isSyncing && history.lastSeen.empty() && (!history.mayBeStored || !isWriter);
    });
}

bool ServiceVersions::isWatching() const
{
    const bool isUpdated = this->updatedAt && this->clock.now() - *this->updatedAt <= kMaxUpdateGap;
    return isUpdated && this->currentSince && this->hooks.isCurrent();
}

TimePoint ServiceVersions::watchedSince(const History& history) const
{
    return std::max(*this->currentSince, history.watchedSince);
}

bool ServiceVersions::hasWatchedLongEnough(const History& history) const
{
    return this->currentSince && this->clock.now() >= this->watchedSince(history) + history.lifetime;
}

bool ServiceVersions::hasOneVersion(const History& history)
{
    // Endpoints that tell no version can differ.
    return history.lastSeen.size() == 1 && !history.lastSeen.begin()->first.empty();
}

bool ServiceVersions::isOnlyVersion(std::string_view service, const History& history) const
{
    if (!hasOneVersion(history))
        return false;
    if (this->hasWatchedLongEnough(history))
        return true;
    const auto& told = history.told;
    // What began after the answers this host has seen itself.
    return told && told->askedAt >= this->watchedSince(history)
        && told->hash == hashVersion(service, history.lastSeen.begin()->first);
}

void ServiceVersions::askHostsIfDue()
{
    if (!this->isWatching() || !this->hooks.askHosts)
        return;
    for (auto& [service, history] : this->histories) {
        const bool isKnown = !hasOneVersion(history) || this->isOnlyVersion(service, history);
        if (isKnown)
            history.askDelay = {};
        else if (!history.isAsking && this->clock.now() >= history.nextAskAt)
            this->startAsking(service, history);
    }
}

void ServiceVersions::startAsking(const std::string& service, History& history)
{
    history.isAsking = true;
    spawn(this->clock.executor(), "version question", this->askHosts(service));
}

Task<void> ServiceVersions::askHosts(std::string service)
{
    const auto askedAt = this->clock.now();
    const auto version = co_await this->hooks.askHosts(service);
    const auto found = this->histories.find(service);
    if (found != this->histories.end()) {
        auto& history = found->second;
        history.isAsking = false;
        history.told = version ? std::optional { ToldVersion { *version, askedAt } } : std::nullopt;
        history.askDelay = std::clamp(2 * history.askDelay, kMinAskDelay, kMaxAskDelay);
        history.canAskAt = this->clock.now() + kMinAskDelay;
        history.nextAskAt = this->clock.now() + history.askDelay;
        this->logAnswer(service, version);
    }
    this->askingEnded.notifyAll();
}

bool ServiceVersions::isSyncDue(const History& history) const
{
    const auto& stored = history.stored;
    if (history.isMixed) {
        const bool isStored = stored
            && std::all_of(history.lastSeen.begin(), history.lastSeen.end(),
                [&stored](const auto& version) { return stored->versions.contains(version.first); });
        return !isStored && this->hooks.isWriter();
    }
    if (!this->hasWatchedLongEnough(history))
        return false;
    const bool isWriter = this->hooks.isWriter();
    const bool isInService = !history.lastSeen.empty();
    if (!stored)
        return isWriter && (isInService || history.mayBeStored);
    if (stored->revision == 0)
        return isWriter && isInService;
    if (stored->versions == namesOf(history))
        return false;
    // No writer may know of an object that a host has found after a start of the whole fleet.
    const auto now = this->clock.now();
    return now >= history.settledAt + history.lifetime
        && now >= stored->knownAt + (isWriter ? 1 : 2) * history.lifetime;
}

Task<void> ServiceVersions::syncStore()
{
    // The services are copied, as the histories can change during a call.
    std::set<std::string> services;
    for (const auto& [service, history] : this->histories) {
        if (this->isSyncDue(history))
            services.insert(service);
    }
    for (const auto& service : services) {
        try {
            co_await this->syncService(service);
            this->syncRetryDelay = kMinSyncRetryDelay;
        } catch (const std::exception& error) {
            const bool isFirst = this->syncRetryDelay == kMinSyncRetryDelay;
            if (isFirst)
                this->logFailure(PlatformOperation::Put, service, error.what());
            this->nextSyncAt = this->clock.now() + this->syncRetryDelay;
            this->syncRetryDelay = std::min(2 * this->syncRetryDelay, kMaxSyncRetryDelay);
            break;
        }
    }
    this->isSyncing = false;
}

Task<void> ServiceVersions::syncService(std::string service)
{
    for (int conflicts = 0; conflicts < kMaxConflicts; ++conflicts) {
        if (!this->isSyncDue(this->histories[service]))
            co_return;
        const bool isDone = co_await this->replaceObject(service);
        if (isDone)
            co_return;
        co_await this->readObject(service);
    }
    if (this->isSyncDue(this->histories[service]))
        throw PlatformError { PlatformFault::Conflict, "other writers keep changing the object" };
}

Task<bool> ServiceVersions::replaceObject(std::string service)
{
    auto& history = this->histories[service];
    const auto restoresBefore = this->restores;
    const auto revision = history.stored ? history.stored->revision : 0;
    StoredHistory next;
    if (!history.isMixed && !history.stored)
        co_return false;
    next.versions = history.isMixed ? this->versionsToStore(history) : namesOf(history);
    try {
        if (!next.versions.empty()) {
            const nlohmann::json document { { kVersionsField, next.versions } };
            next.revision = co_await this->client.put(ObjectKind::ServiceVersions, service, document, revision);
        } else if (revision > 0) {
            co_await this->client.remove(ObjectKind::ServiceVersions, service, revision);
        }
    } catch (const PlatformError& error) {
        if (error.fault() != PlatformFault::Conflict)
            throw;
        co_return false;
    }
    if (this->restores != restoresBefore)
        co_return true;
    next.knownAt = this->clock.now();
    history.mayBeStored = next.revision > 0 || history.isMixed;
    history.stored = std::move(next);
    co_return true;
}

Task<void> ServiceVersions::readObject(std::string service)
{
    const auto restoresBefore = this->restores;
    const auto object = co_await this->client.get(ObjectKind::ServiceVersions, service);
    if (this->restores != restoresBefore)
        co_return;
    StoredHistory stored;
    stored.knownAt = this->clock.now();
    if (object) {
        stored.revision = object->version;
        stored.versions = this->readVersions(service, object->value).value_or(Versions {});
    }
    this->histories[service].mayBeStored = stored.revision > 0;
    this->histories[service].stored = std::move(stored);
}

ServiceVersions::Versions ServiceVersions::namesOf(const History& history)
{
    Versions versions;
    for (const auto& [version, seenAt] : history.lastSeen)
        versions.insert(version);
    return versions;
}

ServiceVersions::Versions ServiceVersions::versionsToStore(const History& history) const
{
    auto versions = namesOf(history);
    if (history.stored && !this->hasWatchedLongEnough(history))
        versions.insert(history.stored->versions.begin(), history.stored->versions.end());
    return versions;
}

void ServiceVersions::recordRestore()
{
    ++this->restores;
    this->listing.reset();
    this->completeFrom = this->clock.now() + kRewriteTimeout;
    this->nextSyncAt = {};
    for (auto& [service, history] : this->histories) {
        history.stored.reset();
        // The copy may be from the time in which the service was mixed.
        history.mayBeStored = history.mayBeStored || history.wasMixed;
    }
}

bool ServiceVersions::isAnyMixed() const
{
    return std::any_of(
        this->histories.begin(), this->histories.end(), [](const auto& entry) { return entry.second.isMixed; });
}

bool ServiceVersions::isReportRequired() const
{
    if (!this->isWatching())
        return true;
    return std::any_of(this->histories.begin(), this->histories.end(), [this](const auto& entry) {
        const auto& [service, history] = entry;
        return history.isMixed || (hasOneVersion(history) && !this->isOnlyVersion(service, history));
    });
}

std::optional<std::uint32_t> ServiceVersions::tellVersion(std::uint32_t service)
{
    if (!this->isWatching())
        return std::nullopt;
    this->recordListed();
    const auto found = std::find_if(this->histories.begin(), this->histories.end(),
        [service](const auto& entry) { return VersionExchange::hashService(entry.first) == service; });
    if (found == this->histories.end())
        return std::nullopt;
    const auto& [name, history] = *found;
    if (history.lastSeen.size() > 1)
        return VersionExchange::kSeveralVersions;
    if (!this->isOnlyVersion(name, history))
        return std::nullopt;
    return hashVersion(name, history.lastSeen.begin()->first);
}

Task<std::optional<std::uint32_t>> ServiceVersions::findOnlyVersion(std::string service)
{
    while (this->isWatching()) {
        this->recordListed();
        const auto found = this->histories.find(service);
        if (found == this->histories.end() || !hasOneVersion(found->second))
            co_return std::nullopt;
        auto& history = found->second;
        const auto& version = history.lastSeen.begin()->first;
        if (this->isOnlyVersion(service, history))
            co_return hashVersion(service, version);
        const auto now = this->clock.now();
        if (this->hooks.askHosts && (history.isAsking || now >= history.canAskAt)) {
            if (!history.isAsking)
                this->startAsking(service, history);
            co_await this->askingEnded.waitUntil(TimePoint::max());
            continue;
        }
        // Other hosts know of another version whose streams can be open.
        if (history.told && history.told->askedAt >= this->watchedSince(history))
            co_return std::nullopt;
        if (now < this->completeFrom)
            co_return std::nullopt;
        if (this->listing && this->listing->sentAt >= this->watchedSince(history))
            co_return this->findOnlyListed(service, version);
        if (now < this->nextListAt)
            co_return std::nullopt;
        if (!std::exchange(this->isListing, true))
            spawn(this->clock.executor(), "version list", this->listObjects());
        co_await this->listEnded.waitUntil(TimePoint::max());
    }
    co_return std::nullopt;
}

bool ServiceVersions::isOnlyVersionKnown(std::string_view service) const
{
    const auto found = this->histories.find(service);
    return this->isWatching() && found != this->histories.end() && this->isOnlyVersion(service, found->second);
}

Task<std::optional<std::uint32_t>> ServiceVersions::confirmOnlyVersion(std::string service)
{
    const auto only = co_await this->findOnlyVersion(service);
    if (!only)
        co_return std::nullopt;
    std::optional<std::uint32_t> told;
    if (this->hooks.askHosts) {
        const auto answer = co_await this->hooks.askHosts(service);
        told = answer;
    }
    if (told) {
        const auto confirmed = *told == *only ? only : std::nullopt;
        co_return confirmed;
    }
    const bool isRefreshed = co_await this->hooks.refreshEndpoints();
    if (!isRefreshed)
        co_return std::nullopt;
    const auto current = co_await this->findOnlyVersion(service);
    co_return current;
}

std::optional<std::uint32_t> ServiceVersions::findOnlyListed(std::string_view service, std::string_view version) const
{
    // Without an object nobody has watched the service for long enough to know what was in it.
    const auto found = this->listing->versions.find(service);
    if (found == this->listing->versions.end())
        return std::nullopt;
    const auto& versions = found->second;
    const bool isOnly = versions && !versions->empty()
        && std::all_of(versions->begin(), versions->end(), [version](const auto& other) { return other == version; });
    return isOnly ? std::optional { hashVersion(service, version) } : std::nullopt;
}

Task<void> ServiceVersions::listObjects()
{
    const auto sentAt = this->clock.now();
    const auto restoresBefore = this->restores;
    try {
        const auto batch = co_await this->client.listAll(ObjectKind::ServiceVersions, false);
        if (this->restores != restoresBefore || !this->hooks.isListedEra(batch.era))
            throw PlatformError { PlatformFault::HistoryGone, "the store answered in another era", batch.era };
        this->applyListing(sentAt, batch);
    } catch (const std::exception& error) {
        this->logFailure(PlatformOperation::List, {}, error.what());
        this->nextListAt = this->clock.now() + kListRetryDelay;
    }
    this->isListing = false;
    this->listEnded.notifyAll();
}

void ServiceVersions::applyListing(TimePoint sentAt, const WatchBatch& batch)
{
    Listing next { sentAt, {} };
    for (const auto& object : batch.changes) {
        auto versions = this->readVersions(object.name, object.value);
        const auto found = this->histories.find(object.name);
        if (found != this->histories.end() && !found->second.stored) {
            found->second.mayBeStored = true;
            found->second.stored = { versions.value_or(Versions {}), object.version, this->clock.now() };
        }
        next.versions.insert_or_assign(object.name, std::move(versions));
    }
    this->listing = std::move(next);
}

std::optional<ServiceVersions::Versions> ServiceVersions::readVersions(
    std::string_view service, const nlohmann::json& value)
{
    try {
        return value.at(kVersionsField).get<Versions>();
    } catch (const nlohmann::json::exception& error) {
        this->logFailure(PlatformOperation::Get, service, error.what());
        return std::nullopt;
    }
}

void ServiceVersions::logMixed(std::string_view service, const History& history)
{
    LogLine line { history.isMixed ? LogEvent::VersionsMixed : LogEvent::VersionsSettled };
    std::string names;
    for (const auto& [version, seenAt] : history.lastSeen)
        names += (names.empty() ? "" : ",") + version;
    this->log.write(line.add("service", service).add("versions", names));
}

void ServiceVersions::logAnswer(std::string_view service, std::optional<std::uint32_t> version)
{
    std::string_view answer = "unknown";
    if (version)
        answer = *version == VersionExchange::kSeveralVersions ? "several" : "only";
    LogLine line { LogEvent::VersionAsked };
    this->log.write(line.add("service", service).add("answer", answer));
}

void ServiceVersions::logFailure(PlatformOperation operation, std::string_view service, std::string_view error)
{
    LogLine line { LogEvent::VersionHistoryFailed };
    line.add("operation", kPlatformOperationNames[operation]).add("service", service);
    this->log.write(line.add("error", error));
}

} // namespace berylwing
