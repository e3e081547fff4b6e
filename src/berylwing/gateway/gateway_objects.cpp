#include "berylwing/core/json_text.hpp"
#include "berylwing/gateway/gateway.hpp"
#include <limits>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

void Gateway::applyPlan(const VersionedObject& object)
{
    if (object.value.is_null())
        return;
    const auto startedAt = this->clock.now();
    try {
        auto next = this->protocol.readPlan(object.value);
        // The plan never goes back to an older version, whatever the store returns.
        if (this->plan && next.version() <= this->plan->version())
            return;
        LogLine line { LogEvent::PlanTaken };
        line.add("plan", static_cast<std::int64_t>(next.version()));
        line.add("revision", static_cast<std::int64_t>(object.version)).add("read_ms", this->clock.now() - startedAt);
        if (const auto heardAt = this->plan ? this->fleet.findNewerPlan(this->plan->version()) : std::nullopt)
            line.add("behind_ms", this->clock.now() - *heardAt);
        this->log.write(line.add("era", static_cast<std::int64_t>(this->storeEra.current())));
        this->plan = std::make_shared<const RoutingPlan>(std::move(next));
    } catch (const std::exception& error) {
        LogLine line { LogEvent::PlanRejected };
        this->log.write(line.add("object", object.name).add("findings", error.what()));
    }
}

void Gateway::applyEndpoint(const VersionedObject& object)
{
    if (object.value.is_null()) {
        this->directory.remove(object.name);
        return;
    }
    try {
        auto record = this->protocol.readEndpoint(object.name, object.value);
        // Before the endpoint can be chosen it must be known whether its version may be.
        if (this->rollouts)
            this->rollouts->recordEndpoint(record);
        this->directory.put(std::move(record));
    } catch (const std::exception& error) {
        LogLine line { LogEvent::EndpointRejected };
        this->log.write(line.add("endpoint", object.name).add("findings", error.what()));
        this->directory.reject(object.name);
    }
}

void Gateway::applyDomain(const VersionedObject& object)
{
    const bool isWithdrawn = !object.value.is_null();
    LogLine line { isWithdrawn ? LogEvent::DomainWithdrawn : LogEvent::DomainReturned };
    this->log.write(line.add("withdrawn", object.name));
    this->directory.setDomainWithdrawn(object.name, isWithdrawn);
}

void Gateway::applyHost(const VersionedObject& object)
{
    if (object.value.is_null()) {
        this->roster.remove(object.name);
        this->fleet.setListed(object.name, false);
        this->registration.applyRemoval(object.name);
        return;
    }
    HostEntry entry { object.name, {}, {} };
    try {
        entry.domain = object.value.at("domain").get<std::string>();
        const auto port = readNumber(object.value.at("port"), std::numeric_limits<std::uint16_t>::max());
        if (!port)
            throw JsonTextError { "the port is out of range" };
        entry.address = { object.value.at("address").get<std::string>(), static_cast<std::uint16_t>(*port) };
    } catch (const std::exception& error) {
        // The host still counts for the fleet-wide limits, which only makes the shares of the others smaller.
        spdlog::warn("invalid entry of host {}: {}", object.name, error.what());
    }
    this->roster.put(std::move(entry));
    this->fleet.setListed(object.name, true);
}

void Gateway::retainHosts(const std::set<std::string, std::less<>>& names)
{
    this->roster.retain(names);
    this->fleet.retain(names);
}

} // namespace berylwing
