#include "berylwing/config/objects.hpp"

#include "berylwing/config/document_reader.hpp"
#include <algorithm>
#include <limits>

namespace berylwing {

namespace {

constexpr std::int64_t kMostConcurrency = 1'000'000;
constexpr std::int64_t kMostCapacity = 100'000;
constexpr std::int64_t kMostPriority = 9;
constexpr std::int64_t kMostPort = 65535;
constexpr std::int64_t kLeastDeadlineMs = 100;
constexpr std::int64_t kMostDeadlineMs = 3'600'000;
constexpr std::int64_t kDefaultDeadlineMs = 60'000;
constexpr double kMostRate = 1e9;
constexpr double kMostWeight = 1000.0;
constexpr double kLeastWeight = 0.01;
constexpr std::int64_t kMostVersion = std::numeric_limits<std::int64_t>::max();

Duration readDeadline(DocumentReader& reader)
{
    return Duration { reader.number("deadline_ms", kLeastDeadlineMs, kMostDeadlineMs, kDefaultDeadlineMs) };
}

std::uint16_t readPort(DocumentReader& reader, std::string_view name)
{
    return static_cast<std::uint16_t>(reader.number(name, 1, kMostPort, 0));
}

std::string nameOf(ObjectKind kind, const nlohmann::json& value, Findings& findings)
{
    const std::string place { kObjectKindNames[kind] };
    switch (kind) {
    case ObjectKind::Contract:
        return readContract(value, place, findings).workspace;
    case ObjectKind::Endpoint:
        return readEndpoint(value, place, findings).name;
    case ObjectKind::Service:
        return readService(value, place, findings).name;
    case ObjectKind::FailureDomain:
    case ObjectKind::Host:
        return readOutOfService(value, place, findings).name;
    case ObjectKind::Roster:
        return readRoster(value, place, findings).domain;
    case ObjectKind::Ledger:
    case ObjectKind::RoutingPlan:
        break;
    }
    return {};
}

} // namespace

const RosterMember* Roster::find(std::string_view host) const noexcept
{
    const auto found = std::find_if(
        this->members.begin(), this->members.end(), [host](const RosterMember& member) { return member.host == host; });
    return found == this->members.end() ? nullptr : &*found;
}

Contract readContract(const nlohmann::json& value, std::string_view place, Findings& findings)
{
    DocumentReader reader { value, std::string { place }, findings };
    Contract contract;
    contract.workspace = reader.text("workspace");
    contract.key = reader.text("key");
    contract.home = reader.text("home");
    contract.requestsPerSecond = reader.decimal("requests_per_second", 0.001, kMostRate, 100);
    contract.tokensPerSecond = reader.decimal("tokens_per_second", 1, kMostRate, 100'000);
    contract.concurrency = reader.number("concurrency", 1, kMostConcurrency, 100);
    contract.queue = reader.number("queue", 0, kMostConcurrency, 100);
    contract.priority = reader.number("priority", 0, kMostPriority, 5);
    contract.weight = reader.decimal("weight", kLeastWeight, kMostWeight, 1);
    contract.deadline = readDeadline(reader);
    reader.finish();
    return contract;
}

EndpointObject readEndpoint(const nlohmann::json& value, std::string_view place, Findings& findings)
{
    DocumentReader reader { value, std::string { place }, findings };
    EndpointObject endpoint;
    endpoint.name = reader.text("name");
    endpoint.kind = reader.oneOf("kind", kEndpointKindNames, EndpointKind::Engine);
    endpoint.domain = reader.text("domain");
    endpoint.address = reader.text("address");
    endpoint.port = readPort(reader, "port");
    endpoint.serves = reader.text(endpoint.kind == EndpointKind::Engine ? "model" : "service");
    endpoint.capacity = reader.number("capacity", 1, kMostCapacity, 8);
    endpoint.coldCapacity = reader.number("cold_capacity", 1, kMostCapacity, 1);
    endpoint.weight = reader.decimal("weight", kLeastWeight, kMostWeight, 1);
    endpoint.leaving = reader.flag("leaving", false);
    if (endpoint.coldCapacity > endpoint.capacity)
        findings.add(std::string { place } + "/cold_capacity", std::to_string(endpoint.coldCapacity),
            "no more than the capacity");
    reader.finish();
    return endpoint;
}

ServiceObject readService(const nlohmann::json& value, std::string_view place, Findings& findings)
{
    DocumentReader reader { value, std::string { place }, findings };
    ServiceObject service;
    service.name = reader.text("name");
    service.deadline = readDeadline(reader);
    reader.list("once_only", [&service](DocumentReader& item) {
        service.onceOnly.push_back({ item.text("method"), item.text("prefix") });
    });
    reader.finish();
    return service;
}

OutOfService readOutOfService(const nlohmann::json& value, std::string_view place, Findings& findings)
{
    DocumentReader reader { value, std::string { place }, findings };
    OutOfService state;
    state.name = reader.text("name");
    state.out = reader.flag("out", false);
    reader.finish();
    return state;
}

Roster readRoster(const nlohmann::json& value, std::string_view place, Findings& findings)
{
    DocumentReader reader { value, std::string { place }, findings };
    Roster roster;
    roster.domain = reader.text("domain");
    reader.list("members", [&roster](DocumentReader& item) {
        RosterMember member;
        member.host = item.text("host");
        member.incarnation = static_cast<std::uint64_t>(item.number("incarnation", 1, kMostVersion, 0));
        member.address = item.text("address");
        member.linkPort = readPort(item, "link_port");
        member.statusPort = readPort(item, "status_port");
        member.leaving = item.flag("leaving", false);
        roster.members.push_back(member);
    });
    reader.finish();
    return roster;
}

nlohmann::json writeRoster(const Roster& roster)
{
    auto members = nlohmann::json::array();
    for (const auto& member : roster.members) {
        members.push_back({ { "host", member.host }, { "incarnation", member.incarnation },
            { "address", member.address }, { "link_port", member.linkPort }, { "status_port", member.statusPort },
            { "leaving", member.leaving } });
    }
    return { { "domain", roster.domain }, { "members", members } };
}

Findings checkObject(ObjectKind kind, std::string_view name, const nlohmann::json& value)
{
    Findings findings;
    const auto repeated = nameOf(kind, value, findings);
    if (kind != ObjectKind::Ledger && kind != ObjectKind::RoutingPlan && repeated != name)
        findings.add(kObjectKindNames[kind], "the name '" + repeated + "' in the document", "the object's own name");
    return findings;
}

} // namespace berylwing
