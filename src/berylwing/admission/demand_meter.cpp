#include "berylwing/admission/demand_meter.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>

namespace berylwing {

namespace {

/** Averaging time of demand; a burst fills the queues of short requests within some tenths of a second. */
constexpr Duration kAveragingTime { 500 };
/** Workspaces of an urgency that a host measures one by one. */
constexpr std::size_t kMaxWorkspaces = 64;
/** Workspaces of an urgency that a host reports one by one: a few are large, and the others ask less than a share. */
constexpr std::size_t kMaxReportedWorkspaces = 8;
/** Work below which a service or a workspace is not reported, in slots. */
constexpr double kMinWork = 0.002;

} // namespace

std::uint32_t hashDemandName(std::string_view name) noexcept { return static_cast<std::uint32_t>(hashText(name)); }

DemandMeter::ClassRates::ClassRates()
    : fresh { kAveragingTime }
    , late { kAveragingTime }
    , promised { kAveragingTime }
{
}

DemandMeter::ClassRates& DemandMeter::ratesOf(std::uint32_t service, unsigned urgency)
{
    return this->services[service][std::min(urgency, kLeastUrgency)];
}

void DemandMeter::record(std::uint32_t service, unsigned urgency, std::uint32_t workspace, double slotMs, bool isLate)
{
    const auto now = this->clock.now();
    auto& rates = this->ratesOf(service, urgency);
    if (isLate) {
        rates.late.record(now, slotMs);
        return;
    }
    rates.fresh.record(now, slotMs);
    rates.workspaces.try_emplace(workspace, kAveragingTime).first->second.record(now, slotMs);
    this->limitWorkspaces(rates);
}

void DemandMeter::recordPromise(std::uint32_t service, unsigned urgency, double slotMs)
{
    this->ratesOf(service, urgency).promised.record(this->clock.now(), slotMs);
}

void DemandMeter::limitWorkspaces(ClassRates& rates) const
{
    if (rates.workspaces.size() <= kMaxWorkspaces)
        return;
    const auto now = this->clock.now();
    const auto smallest = std::min_element(rates.workspaces.begin(), rates.workspaces.end(),
        [now](const auto& left, const auto& right) { return left.second.perMs(now) < right.second.perMs(now); });
    rates.workspaces.erase(smallest);
}

ClassDemand DemandMeter::measure(unsigned urgency, const ClassRates& rates) const
{
    const auto now = this->clock.now();
    ClassDemand demand { urgency, rates.fresh.perMs(now), rates.late.perMs(now), rates.promised.perMs(now), {} };
    for (const auto& [workspace, rate] : rates.workspaces) {
        if (const auto work = rate.perMs(now); work >= kMinWork)
            demand.workspaces.push_back({ workspace, work });
    }
    std::sort(demand.workspaces.begin(), demand.workspaces.end(),
        [](const WorkspaceDemand& left, const WorkspaceDemand& right) { return left.work > right.work; });
    if (demand.workspaces.size() > kMaxReportedWorkspaces)
        demand.workspaces.resize(kMaxReportedWorkspaces);
    std::sort(demand.workspaces.begin(), demand.workspaces.end(),
        [](const WorkspaceDemand& left, const WorkspaceDemand& right) { return left.workspace < right.workspace; });
    return demand;
}

DemandReport DemandMeter::report(const std::function<bool(std::uint32_t service)>& isDetailed) const
{
    DemandReport report;
    for (const auto& [service, classes] : this->services) {
        ServiceDemand demand { service, 0, {} };
        for (const auto& [urgency, rates] : classes) {
            auto measured = this->measure(urgency, rates);
            demand.total += measured.fresh + measured.late;
            demand.classes.push_back(std::move(measured));
        }
        if (demand.total < kMinWork)
            continue;
        if (!isDetailed(service))
            demand.classes.clear();
        report.services.push_back(std::move(demand));
    }
    return report;
}

} // namespace berylwing
