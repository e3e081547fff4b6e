#include "berylwing/config/objects.hpp"

#include "berylwing/config/document_reader.hpp"
#include <algorithm>
#include <limits>

namespace berylwing {

namespace {

constexpr std::int64_t kMaxConcurrency = 1'000'000;
constexpr std::int64_t kMaxCapacity = 100'000;
constexpr std::int64_t kMaxPriority = 9;
constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMinDeadlineMs = 100;
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::int64_t kDefaultDeadlineMs = 60'000;
constexpr double kMaxRate = 1e9;
constexpr double kMaxWeight = 1000.0;
constexpr double kMinWeight = 0.01;
constexpr std::int64_t kMaxVersion = std::numeric_limits<std::int64_t>::max();

Duration readDeadline(DocumentReader& reader)
{
    return Duration { reader.readInteger("deadline_ms", kMinDeadlineMs, kMaxDeadlineMs, kDefaultDeadlineMs) };
}

std::uint16_t readPort(DocumentReader& reader, std::string_view name)
{
    return static_cast<std::uint16_t>(reader.readInteger(name, 1, kMaxPort, 0));
}

/** Validates a document and returns the name in it; empty for kinds without rules here. */
std::string readObjectName(ObjectKind kind, const nlohmann::json& value, Findings& findings)
{
    const std::string path { kObjectKindNames[kind] };
    switch (kind) {
    case ObjectKind::Contract:
        return readContract(value, path, findings).workspace;
    case ObjectKind::Endpoint:
        return readEndpoint(value, path, findings).name;
    case ObjectKind::Service:
        return readService(value, path, findings).name;
    case ObjectKind::FailureDomain:
    case ObjectKind::Host:
        return readMaintenanceState(value, path, findings).name;
    case ObjectKind::Roster:
        return readRoster(value, path, findings).domain;
    case ObjectKind::Ledger:
    case ObjectKind::RoutingPlan:
    case ObjectKind::ServiceVersions:
    case ObjectKind::Rollout:
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

Contract readContract(const nlohmann::json& value, std::string_view path, Findings& findings)
{
    DocumentReader reader { value, std::string { path }, findings };
    Contract contract;
    contract.workspace = reader.readString("workspace");
    contract.key = reader.readString("key");
    contract.homeDomain = reader.readString("home");
    contract.requestsPerSecond = reader.readNumber("requests_per_second", 0.001, kMaxRate, 100);
    contract.tokensPerSecond = reader.readNumber("tokens_per_second", 1, kMaxRate, 100'000);
    contract.concurrency = reader.readInteger("concurrency", 1, kMaxConcurrency, 100);
    contract.queue = reader.readInteger("queue", 0, kMaxConcurrency, 100);
    contract.priority = reader.readInteger("priority", 0, kMaxPriority, 5);
    contract.weight = reader.readNumber("weight", kMinWeight, kMaxWeight, 1);
    contract.deadline = readDeadline(reader);
    reader.reportUnknownNames();
    return contract;
}

EndpointObject readEndpoint(const nlohmann::json& value, std::string_view path, Findings& findings)
{
    DocumentReader reader { value, std::string { path }, findings };
    EndpointObject endpoint;
    endpoint.name = reader.readString("name");
    endpoint.kind = reader.readEnum("kind", kEndpointKindNames, EndpointKind::Engine);
    endpoint.domain = reader.readString("domain");
    endpoint.address = reader.readString("address");
    endpoint.port = readPort(reader, "port");
    endpoint.servedName = reader.readString(endpoint.kind == EndpointKind::Engine ? "model" : "service");
    endpoint.capacity = reader.readInteger("capacity", 1, kMaxCapacity, 8);
    endpoint.coldCapacity = reader.readInteger("cold_capacity", 1, kMaxCapacity, 1);
    endpoint.weight = reader.readNumber("weight", kMinWeight, kMaxWeight, 1);
    endpoint.isLeaving = reader.readBool("leaving", false);
    if (endpoint.coldCapacity > endpoint.capacity)
        findings.add(std::string { path } + "/cold_capacity", std::to_string(endpoint.coldCapacity),
            "no more than the capacity");
    reader.reportUnknownNames();
    return endpoint;
}

ServiceObject readService(const nlohmann::json& value, std::string_view path, Findings& findings)
{
    DocumentReader reader { value, std::string { path }, findings };
    ServiceObject service;
    service.name = reader.readString("name");
    service.deadline = readDeadline(reader);
    reader.readList("once_only", [&service](DocumentReader& item) {
        service.nonIdempotentCalls.push_back({ item.readString("method"), item.readString("prefix") });
    });
    reader.reportUnknownNames();
    return service;
}

MaintenanceState readMaintenanceState(const nlohmann::json& value, std::string_view path, Findings& findings)
{
    DocumentReader reader { value, std::string { path }, findings };
    MaintenanceState state;
    state.name = reader.readString("name");
    state.isOutOfService = reader.readBool("out", false);
    reader.reportUnknownNames();
    return state;
}

Roster readRoster(const nlohmann::json& value, std::string_view path, Findings& findings)
{
    DocumentReader reader { value, std::string { path }, findings };
    Roster roster;
    roster.domain = reader.readString("domain");
    reader.readList("members", [&roster](DocumentReader& item) {
        RosterMember member;
        member.host = item.readString("host");
        member.incarnation = static_cast<std::uint64_t>(item.readInteger("incarnation", 1, kMaxVersion, 0));
        member.address = item.readString("address");
        member.linkPort = readPort(item, "link_port");
        member.statusPort = readPort(item, "status_port");
        member.isLeaving = item.readBool("leaving", false);
        roster.members.push_back(member);
    });
    reader.reportUnknownNames();
    return roster;
}

nlohmann::json writeRoster(const Roster& roster)
{
    auto members = nlohmann::json::array();
    for (const auto& member : roster.members) {
        members.push_back({ { "host", member.host }, { "incarnation", member.incarnation },
            { "address", member.address }, { "link_port", member.linkPort }, { "status_port", member.statusPort },
            { "leaving", member.isLeaving } });
    }
    return { { "domain", roster.domain }, { "members", members } };
}

Findings checkObject(ObjectKind kind, std::string_view name, const nlohmann::json& value)
{
    Findings findings;
    const auto documentName = readObjectName(kind, value, findings);
    const bool hasRules = kind != ObjectKind::Ledger && kind != ObjectKind::RoutingPlan
        && kind != ObjectKind::ServiceVersions && kind != ObjectKind::Rollout;
    if (hasRules && documentName != name)
        findings.add(
            kObjectKindNames[kind], "the name '" + documentName + "' in the document", "the object's own name");
    return findings;
}

} // namespace berylwing
