#include "berylwing/gateway/endpoint_directory.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Time after an outage in which endpoints rewrite their expired entries; the platform guarantees 2 s. */
constexpr Duration kLapseGrace { 1900 };

} // namespace

void GatewayEndpoint::abortSilentCalls(TimePoint since)
{
    for (auto place = this->repeatableCalls.begin(); place != this->repeatableCalls.end();) {
        auto& call = *place++;
        if (call.lastSignAt < since)
            call.abort();
    }
}

bool EndpointDirectory::mayBeLapsed(TimePoint now) const noexcept
{
    if (this->storeLostAt == TimePoint {})
        return false;
    return this->storeRegainedAt < this->storeLostAt || now < this->storeRegainedAt + kLapseGrace;
}

void EndpointDirectory::writeChange(LogEvent event, const GatewayEndpoint& endpoint, std::string_view state)
{
    LogLine line { event };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service).add("state", state);
    this->log.write(line.add("in", endpoint.record.domain).add("cold_ms", endpoint.record.coldFor));
}

void EndpointDirectory::put(EndpointRecord record)
{
    const auto now = this->clock.now();
    auto& endpoint = this->endpoints[record.id];
    const bool isNew = !endpoint || endpoint->record.bornAt != record.bornAt;
    if (isNew) {
        endpoint = new GatewayEndpoint { std::move(record) };
        endpoint->coldUntil = now + endpoint->record.coldFor;
        this->writeChange(LogEvent::EndpointSeen, *endpoint, endpoint->record.isDraining ? "leaving" : "open");
        return;
    }
    endpoint->isMissing = false;
    if (record.coldFor > Duration {})
        endpoint->coldUntil = std::max(endpoint->coldUntil, now + record.coldFor);
    const bool hasChanged = record.isDraining != endpoint->record.isDraining || record.coldFor > Duration {};
    endpoint->record = std::move(record);
    if (hasChanged)
        this->writeChange(LogEvent::EndpointChanged, *endpoint, endpoint->record.isDraining ? "leaving" : "open");
}

void EndpointDirectory::remove(const std::string& id)
{
    const auto found = this->endpoints.find(id);
    if (found == this->endpoints.end())
        return;
    if (this->mayBeLapsed(this->clock.now())) {
        found->second->isMissing = true;
        this->writeChange(LogEvent::EndpointChanged, *found->second, "missing after an outage of the store");
        return;
    }
    this->writeChange(LogEvent::EndpointGone, *found->second, "removed from the store");
    found->second->record.isDraining = true;
    this->endpoints.erase(found);
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
}

void EndpointDirectory::regainStore()
{
    if (this->storeRegainedAt < this->storeLostAt)
        this->storeRegainedAt = this->clock.now();
}

void EndpointDirectory::noteOutage(TimePoint endedAt) noexcept
{
    if (endedAt <= this->storeRegainedAt)
        return;
    this->storeLostAt = endedAt;
    this->storeRegainedAt = endedAt;
}

void EndpointDirectory::dropLapsed()
{
    if (this->mayBeLapsed(this->clock.now()))
        return;
    std::erase_if(this->endpoints, [this](const auto& entry) {
        if (!entry.second->isMissing)
            return false;
        this->writeChange(LogEvent::EndpointGone, *entry.second, "still missing after the store's return");
        entry.second->record.isDraining = true;
        return true;
    });
}

void EndpointDirectory::setDomainOut(const std::string& domain, bool isOut)
{
    if (isOut)
        this->domainsOut.insert(domain);
    else
        this->domainsOut.erase(domain);
}

bool EndpointDirectory::isOpen(const GatewayEndpoint& endpoint) const
{
    return !endpoint.record.isDraining && !this->domainsOut.contains(endpoint.record.domain);
}

std::vector<GatewayEndpointPtr> EndpointDirectory::openEndpoints(std::string_view service) const
{
    std::vector<GatewayEndpointPtr> present;
    std::vector<GatewayEndpointPtr> missing;
    for (const auto& [id, endpoint] : this->endpoints) {
        if (endpoint->record.service == service && this->isOpen(*endpoint))
            (endpoint->isMissing ? missing : present).push_back(endpoint);
    }
    // If most entries are missing, they expired together in an outage; a single missing endpoint has more likely left.
    if (missing.size() > present.size())
        present.insert(present.end(), missing.begin(), missing.end());
    return present;
}

} // namespace berylwing
