#include "berylwing/gateway/demand_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace berylwing {

namespace {

constexpr double kUnitsPerSlot = 1000;
/** Bounds of what is taken from a message; hosts send less. */
constexpr int kMaxServices = 256;
constexpr int kMaxClasses = 16;
constexpr int kMaxWorkspaces = 256;
constexpr std::uint32_t kMaxHosts = 100'000;

std::uint32_t toUnits(double slots)
{
    constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp(std::round(slots * kUnitsPerSlot), 0.0, kMax));
}

double toSlots(std::uint32_t units) { return units / kUnitsPerSlot; }

void write(const ClassDemand& demand, wire::ClassDemand& message)
{
    message.set_urgency(demand.urgency);
    message.set_fresh(toUnits(demand.fresh));
    message.set_late(toUnits(demand.late));
    message.set_promised(toUnits(demand.promised));
    for (const auto& each : demand.workspaces) {
        message.add_workspaces(each.workspace);
        message.add_workspace_work(toUnits(each.work));
    }
}

void write(const DemandReport& report, wire::DemandReport& message)
{
    // A digest stands for its sender, which needs no count.
    if (report.hosts != 1)
        message.set_hosts(report.hosts);
    if (report.tellingHosts != report.hosts)
        message.set_telling_hosts(report.tellingHosts);
    for (const auto& service : report.services) {
        auto& target = *message.add_services();
        target.set_service(service.service);
        target.set_total(toUnits(service.total));
        for (const auto& each : service.classes)
            write(each, *target.add_classes());
    }
}

ClassDemand readClass(const wire::ClassDemand& message)
{
    ClassDemand demand { std::min(message.urgency(), kLeastUrgency), toSlots(message.fresh()), toSlots(message.late()),
        toSlots(message.promised()), {} };
    const auto count = std::min({ message.workspaces_size(), message.workspace_work_size(), kMaxWorkspaces });
    for (int index = 0; index < count; ++index)
        demand.workspaces.push_back({ message.workspaces(index), toSlots(message.workspace_work(index)) });
    // Demands are merged in the order of the workspaces.
    std::sort(demand.workspaces.begin(), demand.workspaces.end(),
        [](const WorkspaceDemand& left, const WorkspaceDemand& right) { return left.workspace < right.workspace; });
    return demand;
}

DemandReport read(const wire::DemandReport& message)
{
    DemandReport report;
    report.hosts = std::clamp(message.hosts(), 1U, kMaxHosts);
    report.tellingHosts = message.has_telling_hosts() ? std::min(message.telling_hosts(), report.hosts) : report.hosts;
    for (int index = 0; index < std::min(message.services_size(), kMaxServices); ++index) {
        const auto& source = message.services(index);
        ServiceDemand service { source.service(), toSlots(source.total()), {} };
        for (int each = 0; each < std::min(source.classes_size(), kMaxClasses); ++each)
            service.classes.push_back(readClass(source.classes(each)));
        report.services.push_back(std::move(service));
    }
    return report;
}

Duration ageOf(std::uint64_t ms)
{
    constexpr std::uint64_t kMaxAgeMs = 60'000;
    return Duration { static_cast<Duration::rep>(std::min(ms, kMaxAgeMs)) };
}

} // namespace

void DemandExchange::appendTo(wire::Digest& digest)
{
    this->admission.view().setDelegate(digest.is_delegate());
    write(this->admission.ownReport(), *digest.mutable_demand());
    if (!digest.is_delegate())
        return;
    const auto elsewhere = this->admission.view().elsewhereReport();
    if (elsewhere.hosts > 0)
        write(elsewhere, *digest.mutable_demand_elsewhere());
}

void DemandExchange::appendTo(wire::GroupSummary& summary) const
{
    write(this->admission.view().groupReport(this->admission.ownReport()), *summary.mutable_demand());
}

void DemandExchange::apply(const wire::Digest& digest)
{
    auto& view = this->admission.view();
    view.applyHost(digest.host(), digest.has_demand() ? read(digest.demand()) : DemandReport { 1, 0, {} });
    if (digest.has_demand_elsewhere())
        view.applyElsewhere(read(digest.demand_elsewhere()), ageOf(digest.elsewhere_age_ms()));
}

void DemandExchange::apply(const wire::GroupSummary& summary)
{
    const auto age = ageOf(summary.loads_age_ms());
    if (summary.has_demand()) {
        this->admission.view().applyGroup(summary.group(), read(summary.demand()), age);
        return;
    }
    const auto groups = this->roster.otherGroups();
    const auto found = groups.find(summary.group());
    const auto hosts = found == groups.end() ? std::size_t { 1 } : found->second.size();
    this->admission.view().applyGroup(summary.group(), DemandReport { static_cast<std::uint32_t>(hosts), 0, {} }, age);
}

} // namespace berylwing
