#include "berylwing/config/catalog.hpp"

#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

template <typename Objects> auto findIn(const Objects& objects, std::string_view name)
{
    const auto found = objects.find(name);
    return found == objects.end() ? nullptr : &found->second;
}

template <typename Objects, typename Read>
void replace(Objects& objects, const VersionedObject& object, const Read& read)
{
    if (object.value.empty()) {
        objects.erase(object.name);
        return;
    }
    Findings ignored;
    objects[object.name] = read(object.value, object.name, ignored);
}

} // namespace

const Contract* Catalog::contractOfKey(std::string_view key) const
{
    const auto* workspace = findIn(this->workspaceOfKey, key);
    return workspace == nullptr ? nullptr : this->contract(*workspace);
}

const Contract* Catalog::contract(std::string_view workspace) const { return findIn(this->contracts, workspace); }

const ServiceObject* Catalog::service(std::string_view name) const { return findIn(this->services, name); }

const EndpointObject* Catalog::endpoint(std::string_view name) const { return findIn(this->endpointsByName, name); }

const Roster* Catalog::roster(std::string_view domain) const { return findIn(this->rostersByDomain, domain); }

bool Catalog::isDomainOut(std::string_view domain) const
{
    const auto* state = findIn(this->domainStates, domain);
    return state != nullptr && state->out;
}

bool Catalog::isHostOut(std::string_view host) const
{
    const auto* state = findIn(this->hostStates, host);
    return state != nullptr && state->out;
}

std::uint64_t Catalog::version(ObjectKind kind, std::string_view name) const
{
    const auto found = this->objects.find({ kind, std::string { name } });
    return found == this->objects.end() ? 0 : found->second.version;
}

std::vector<VersionedObject> Catalog::newerThan(std::uint64_t version) const
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

void Catalog::listen(Listener listener) { this->listeners.push_back(std::move(listener)); }

bool Catalog::take(const VersionedObject& object)
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

std::size_t Catalog::takeAll(const std::vector<VersionedObject>& batch, std::uint64_t through)
{
    std::size_t taken = 0;
    for (const auto& object : batch) {
        try {
            taken += this->take(object) ? 1 : 0;
        } catch (const ConfigurationError& error) {
            spdlog::error("object {} version {} left out: {}", object.name, object.version, error.what());
        }
    }
    this->complete = std::max(this->complete, through);
    return taken;
}

void Catalog::install(const VersionedObject& object)
{
    switch (object.kind) {
    case ObjectKind::Contract:
        if (const auto* former = this->contract(object.name))
            this->workspaceOfKey.erase(former->key);
        replace(this->contracts, object, readContract);
        if (const auto* current = this->contract(object.name))
            this->workspaceOfKey[current->key] = object.name;
        break;
    case ObjectKind::Endpoint:
        replace(this->endpointsByName, object, readEndpoint);
        break;
    case ObjectKind::Service:
        replace(this->services, object, readService);
        break;
    case ObjectKind::FailureDomain:
        replace(this->domainStates, object, readOutOfService);
        break;
    case ObjectKind::Host:
        replace(this->hostStates, object, readOutOfService);
        break;
    case ObjectKind::Roster:
        replace(this->rostersByDomain, object, readRoster);
        if (const auto found = this->rostersByDomain.find(object.name); found != this->rostersByDomain.end())
            found->second.version = object.version;
        break;
    case ObjectKind::Ledger:
    case ObjectKind::RoutingPlan:
        break;
    }
}

} // namespace berylwing
