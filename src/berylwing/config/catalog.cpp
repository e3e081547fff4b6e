#include "berylwing/config/catalog.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

template <typename Objects> auto findByName(const Objects& objects, std::string_view name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

template <typename Objects, typename Read>
void replaceOrErase(Objects& objects, const VersionedObject& object, const Read& read)
{
    if (object.value.empty()) {
        objects.erase(object.name);
        return;
    }
    Findings ignored;
    objects[object.name] = read(object.value, object.name, ignored);
}

} // namespace

const Contract* Catalog::findContractByKey(std::string_view key) const
{
    const auto* workspace = findByName(this->workspaceOfKey, key);
    return workspace == nullptr ? nullptr : this->contract(*workspace);
}

const Contract* Catalog::contract(std::string_view workspace) const { return findByName(this->contracts, workspace); }

const ServiceObject* Catalog::service(std::string_view name) const { return findByName(this->services, name); }

const EndpointObject* Catalog::endpoint(std::string_view name) const { return findByName(this->endpointsByName, name); }

const Roster* Catalog::roster(std::string_view domain) const { return findByName(this->rostersByDomain, domain); }

bool Catalog::isDomainOutOfService(std::string_view domain) const
{
    const auto* state = findByName(this->domainStates, domain);
    return state != nullptr && state->isOutOfService;
}

bool Catalog::isHostOutOfService(std::string_view host) const
{
    const auto* state = findByName(this->hostStates, host);
    return state != nullptr && state->isOutOfService;
}

std::uint64_t Catalog::version(ObjectKind kind, std::string_view name) const
{
    const auto found = this->objects.find({ kind, std::string { name } });
    return found == this->objects.end() ? 0 : found->second.version;
}

std::vector<VersionedObject> Catalog::findNewerThan(std::uint64_t version) const
{
    std::vector<VersionedObject> newer;
    for (const auto& [key, object] : this->objects) {
        if (object.version <= version)
            continue;
        auto value = object.text.empty() ? nlohmann::json {} : nlohmann::json::parse(object.text);
        newer.push_back({ key.kind, key.name, object.version, std::move(value) });
    }
    return newer;
}

void Catalog::addListener(Listener listener) { this->listeners.push_back(std::move(listener)); }

bool Catalog::apply(const VersionedObject& object)
{
    if (object.version <= this->version(object.kind, object.name))
        return false;
    if (!object.value.empty())
        checkObject(object.kind, object.name, object.value).throwIfAny();
    this->objects[{ object.kind, object.name }]
        = { object.version, object.value.empty() ? std::string {} : object.value.dump() };
    this->install(object);
    for (const auto& listener : this->listeners)
        listener(object);
    return true;
}

std::size_t Catalog::applyBatch(const std::vector<VersionedObject>& batch, std::uint64_t throughRevision)
{
    std::size_t appliedCount = 0;
    for (const auto& object : batch) {
        try {
            appliedCount += this->apply(object) ? 1 : 0;
        } catch (const ConfigurationError& error) {
            spdlog::error("skipping invalid object {} at version {}: {}", object.name, object.version, error.what());
        }
    }
    this->completedRevision = std::max(this->completedRevision, throughRevision);
    return appliedCount;
}

void Catalog::install(const VersionedObject& object)
{
    switch (object.kind) {
    case ObjectKind::Contract:
        if (const auto* former = this->contract(object.name))
            this->workspaceOfKey.erase(former->key);
        replaceOrErase(this->contracts, object, readContract);
        if (const auto* current = this->contract(object.name))
            this->workspaceOfKey[current->key] = object.name;
        break;
    case ObjectKind::Endpoint:
        replaceOrErase(this->endpointsByName, object, readEndpoint);
        break;
    case ObjectKind::Service:
        replaceOrErase(this->services, object, readService);
        break;
    case ObjectKind::FailureDomain:
        replaceOrErase(this->domainStates, object, readMaintenanceState);
        break;
    case ObjectKind::Host:
        replaceOrErase(this->hostStates, object, readMaintenanceState);
        break;
    case ObjectKind::Roster:
        replaceOrErase(this->rostersByDomain, object, readRoster);
        if (const auto found = this->rostersByDomain.find(object.name); found != this->rostersByDomain.end())
            found->second.version = object.version;
        break;
    case ObjectKind::Ledger:
    case ObjectKind::RoutingPlan:
    case ObjectKind::ServiceVersions:
    case ObjectKind::Rollout:
        break;
    }
}

} // namespace berylwing
