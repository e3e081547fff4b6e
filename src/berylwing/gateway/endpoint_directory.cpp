#include "berylwing/gateway/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Time after an outage in which endpoints rewrite their expired entries; the platform guarantees 2 s. */
constexpr Duration kOutageGraceTimeout { 1900 };
/** Time after a restore of the store in which operators write again what its copy lacks. */
constexpr Duration kRestoreGraceTimeout { 5000 };
/** Time for which endpoints that are gone are remembered; the copy that a store is restored from is seconds old. */
constexpr Duration kDepartureTtl { 60'000 };
/** Bytes of the ids in one line about the first list. */
constexpr std::size_t kMaxListTextBytes = 2000;

/** Checks if a process started before another one; a start of zero is unknown. */
bool isEarlier(std::uint64_t startedAt, std::uint64_t otherStartedAt)
{
    return startedAt != 0 && startedAt < otherStartedAt;
}

} // namespace

void GatewayEndpoint::abortSilentCalls(TimePoint since)
{
    for (auto iterator = this->retryableCalls.begin(); iterator != this->retryableCalls.end();) {
        auto& call = *iterator++;
        if (call.lastActivityAt < since)
            call.abort();
    }
}

bool EndpointDirectory::isInOutageGrace(TimePoint now) const noexcept
{
    if (this->storeLostAt == TimePoint {})
        return false;
    return this->storeRegainedAt < this->storeLostAt || now < this->storeRegainedAt + kOutageGraceTimeout;
}

void EndpointDirectory::logChange(LogEvent event, const GatewayEndpoint& endpoint, std::string_view state)
{
    LogLine line { event };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service).add("state", state);
    line.add("version", endpoint.record.version);
    this->log.write(line.add("in", endpoint.record.domain).add("cold_ms", endpoint.record.coldDuration));
}

bool EndpointDirectory::hasLeft(const EndpointRecord& record) const
{
    if (const auto known = this->endpoints.find(record.id); known != this->endpoints.end())
        return known->second->record.startedAt == record.startedAt && known->second->record.isDraining;
    const auto gone = this->departures.find(record.id);
    return gone != this->departures.end()
        && (gone->second.startedAt == record.startedAt || isEarlier(record.startedAt, gone->second.startedAt));
}

bool EndpointDirectory::adjustCopied(EndpointRecord& record)
{
    const auto known = this->endpoints.find(record.id);
    if (known != this->endpoints.end() && isEarlier(record.startedAt, known->second->record.startedAt)) {
        known->second->isMissing = true;
        this->logChange(LogEvent::EndpointChanged, *known->second, "missing after a restore of the store");
        return false;
    }
    if (this->hasLeft(record))
        record.isDraining = true;
    // The time that is left of a warm-up is as old as the copy.
    if (known != this->endpoints.end() && known->second->record.startedAt == record.startedAt)
        record.coldDuration = {};
    return true;
}

void EndpointDirectory::recordDeparture(GatewayEndpoint& endpoint)
{
    endpoint.record.isDraining = true;
    this->departures.insert_or_assign(
        endpoint.record.id, Departure { endpoint.record.startedAt, this->clock.now(), endpoint.stop });
}

void EndpointDirectory::put(EndpointRecord record)
{
    const auto now = this->clock.now();
    if (this->isApplyingCopy && !this->adjustCopied(record))
        return;
    auto& endpoint = this->endpoints[record.id];
    const bool isNew
        = !endpoint || endpoint->record.startedAt != record.startedAt || endpoint->record.version != record.version;
    if (isNew) {
        if (endpoint)
            endpoint->isVersionUncertain = endpoint->record.version != record.version;
        endpoint = new GatewayEndpoint { std::move(record) };
        endpoint->coldUntil = now + endpoint->record.coldDuration;
        // An entry that was removed and written again can be older than the answers of its process.
        const auto gone = this->departures.find(endpoint->record.id);
        if (gone != this->departures.end() && gone->second.startedAt == endpoint->record.startedAt)
            endpoint->stop = gone->second.stop;
        if (!this->isFirstList)
            this->logChange(LogEvent::EndpointSeen, *endpoint, endpoint->record.isDraining ? "leaving" : "open");
        return;
    }
    endpoint->isMissing = false;
    if (record.coldDuration > Duration {})
        endpoint->coldUntil = std::max(endpoint->coldUntil, now + record.coldDuration);
    const bool hasChanged = record.isDraining != endpoint->record.isDraining || record.coldDuration > Duration {};
    endpoint->record = std::move(record);
    if (hasChanged)
        this->logChange(LogEvent::EndpointChanged, *endpoint, endpoint->record.isDraining ? "leaving" : "open");
}

void EndpointDirectory::remove(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    if (this->isInOutageGrace(this->clock.now())) {
        found->second->isMissing = true;
        this->logChange(LogEvent::EndpointChanged, *found->second, "missing after an outage of the store");
        return;
    }
    this->erase(found, "removed from the store");
}

void EndpointDirectory::reject(const std::string& id)
{
    if (const auto found = this->endpoints.find(id); found != this->endpoints.end())
        this->erase(found, "its entry is invalid");
}

void EndpointDirectory::erase(
    std::map<std::string, GatewayEndpointPtr, std::less<>>::iterator position, std::string_view reason)
{
    this->logChange(LogEvent::EndpointGone, *position->second, reason);
    this->recordDeparture(*position->second);
    this->endpoints.erase(position);
}

void EndpointDirectory::retain(const std::set<std::string, std::less<>>& ids)
{
    std::vector<std::string> absent;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (!ids.contains(id))
            absent.push_back(id);
    }
    for (const auto& id : absent)
        this->remove(id);
    this->isApplyingCopy = false;
    if (std::exchange(this->isFirstList, false))
        this->logFirstList();
}

void EndpointDirectory::logFirstList()
{
    std::map<std::pair<std::string, std::string_view>, std::vector<std::string>> lines;
    const auto now = this->clock.now();
    for (const auto& [id, endpoint] : this->endpoints) {
        const std::string_view state
            = endpoint->record.isDraining ? "leaving" : (endpoint->isCold(now) ? "cold" : "open");
        auto& texts = lines[{ endpoint->record.service, state }];
        if (texts.empty() || texts.back().size() + id.size() >= kMaxListTextBytes)
            texts.emplace_back();
        texts.back() += (texts.back().empty() ? "" : " ") + id;
    }
    for (const auto& [key, texts] : lines) {
        for (const auto& text : texts) {
            LogLine line { LogEvent::EndpointsListed };
            this->log.write(line.add("service", key.first).add("state", key.second).add("endpoints", text));
        }
    }
}

void EndpointDirectory::recordStoreRegained()
{
    if (this->storeRegainedAt < this->storeLostAt)
        this->storeRegainedAt = this->clock.now();
}

void EndpointDirectory::recordOutage(TimePoint endedAt) noexcept
{
    if (endedAt <= this->storeRegainedAt)
        return;
    this->storeLostAt = endedAt;
    this->storeRegainedAt = endedAt;
}

void EndpointDirectory::recordRestore() noexcept
{
    this->isApplyingCopy = true;
    this->recordOutage(this->clock.now());
}

void EndpointDirectory::keepWithdrawnDomains()
{
    const auto now = this->clock.now();
    if (now >= this->keptUntil)
        this->keptDomains.clear();
    this->keptDomains.insert(this->withdrawnDomains.begin(), this->withdrawnDomains.end());
    this->keptUntil = now + kRestoreGraceTimeout;
}

void EndpointDirectory::removeExpired()
{
    const auto oldest = this->clock.now() - kDepartureTtl;
    std::erase_if(this->departures, [oldest](const auto& entry) { return entry.second.at < oldest; });
    if (this->isInOutageGrace(this->clock.now()))
        return;
    std::erase_if(this->endpoints, [this](const auto& entry) {
        if (!entry.second->isMissing)
            return false;
        this->logChange(LogEvent::EndpointGone, *entry.second, "still missing after the store's return");
        this->recordDeparture(*entry.second);
        return true;
    });
}

void EndpointDirectory::setDomainWithdrawn(const std::string& domain, bool isWithdrawn)
{
    if (isWithdrawn)
        this->withdrawnDomains.insert(domain);
    else
        this->withdrawnDomains.erase(domain);
    this->keptDomains.erase(domain);
}

bool EndpointDirectory::isAvailable(const GatewayEndpoint& endpoint) const
{
    const auto& domain = endpoint.record.domain;
    const bool isKeptWithdrawn = this->keptDomains.contains(domain) && this->clock.now() < this->keptUntil;
    return !endpoint.record.isDraining && !endpoint.hasAnnouncedStop() && !isKeptWithdrawn
        && !this->withdrawnDomains.contains(domain);
}

std::vector<GatewayEndpointPtr> EndpointDirectory::availableEndpoints(std::string_view service) const
{
    std::vector<GatewayEndpointPtr> present;
    std::vector<GatewayEndpointPtr> missing;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint->record.service == service && this->isAvailable(*endpoint))
            (endpoint->isMissing ? missing : present).push_back(endpoint);
    }
    // If most entries are missing, they expired together in an outage; a single missing endpoint has more likely left.
    if (missing.size() > present.size())
        present.insert(present.end(), missing.begin(), missing.end());
    return present;
}

} // namespace berylwing
