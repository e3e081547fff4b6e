#include "berylwing/admission/demand_view.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Time for which a report stays valid; some later ones may be lost. */
constexpr Duration kReportTtl { 3000 };
/** Hosts that are remembered as heard; a group has fewer. */
constexpr std::size_t kMaxHeardHosts = 1024;

ClassDemand& classOf(ServiceDemand& demand, unsigned urgency)
{
    const auto position = std::lower_bound(demand.classes.begin(), demand.classes.end(), urgency,
        [](const ClassDemand& each, unsigned value) { return each.urgency < value; });
    if (position != demand.classes.end() && position->urgency == urgency)
        return *position;
    return *demand.classes.insert(position, ClassDemand { urgency, 0, 0, 0, {} });
}

void addWorkspaces(std::vector<WorkspaceDemand>& sum, const std::vector<WorkspaceDemand>& added)
{
    std::vector<WorkspaceDemand> merged;
    merged.reserve(sum.size() + added.size());
    auto left = sum.begin();
    auto right = added.begin();
    while (left != sum.end() || right != added.end()) {
        if (right == added.end() || (left != sum.end() && left->workspace < right->workspace)) {
            merged.push_back(*left++);
        } else if (left == sum.end() || right->workspace < left->workspace) {
            merged.push_back(*right++);
        } else {
            merged.push_back({ left->workspace, left->work + right->work });
            ++left;
            ++right;
        }
    }
    sum = std::move(merged);
}

void addService(DemandReport& sum, const ServiceDemand& added)
{
    auto found = std::find_if(sum.services.begin(), sum.services.end(),
        [&added](const ServiceDemand& each) { return each.service == added.service; });
    if (found == sum.services.end())
        found = sum.services.insert(found, ServiceDemand { added.service, 0, {} });
    found->total += added.total;
    for (const auto& each : added.classes) {
        auto& target = classOf(*found, each.urgency);
        target.fresh += each.fresh;
        target.late += each.late;
        target.promised += each.promised;
        addWorkspaces(target.workspaces, each.workspaces);
    }
}

void addReport(DemandReport& sum, const DemandReport& added)
{
    sum.hosts += added.hosts;
    sum.tellingHosts += added.tellingHosts;
    for (const auto& service : added.services)
        addService(sum, service);
}

void scaleClasses(ServiceDemand& service, double factor)
{
    for (auto& each : service.classes) {
        each.fresh *= factor;
        each.late *= factor;
        each.promised *= factor;
        for (auto& workspace : each.workspaces)
            workspace.work *= factor;
    }
}

double workOfClasses(const ServiceDemand& service)
{
    double sum = 0;
    for (const auto& each : service.classes)
        sum += each.fresh + each.late;
    return sum;
}

} // namespace

void DemandView::applyHost(std::string_view host, DemandReport report)
{
    const auto now = this->clock.now();
    this->hosts.insert_or_assign(std::string { host }, Entry { std::move(report), now, {} });
    if (this->heardHosts.size() < kMaxHeardHosts)
        this->heardHosts.insert_or_assign(std::string { host }, now);
}

void DemandView::applyGroup(std::string_view group, DemandReport report, Duration age)
{
    this->groups.insert_or_assign(std::string { group }, Entry { std::move(report), this->clock.now(), age });
    this->hasHeardElsewhere = true;
}

void DemandView::applyElsewhere(DemandReport report, Duration age)
{
    this->elsewhere = Entry { std::move(report), this->clock.now(), age };
    this->hasHeardElsewhere = true;
}

void DemandView::dropExpired()
{
    const auto oldest = this->clock.now() - kReportTtl;
    const auto isExpired = [oldest](const auto& entry) { return entry.second.receivedAt < oldest; };
    std::erase_if(this->hosts, isExpired);
    std::erase_if(this->groups, isExpired);
    if (this->elsewhere.receivedAt < oldest)
        this->elsewhere = Entry { DemandReport { 0, 0, {} }, {}, {} };
}

bool DemandView::usesSummaries() const
{
    // A host that is no delegate any more still has the last summaries that it received.
    return !this->groups.empty() && (this->isDelegate || this->elsewhere.receivedAt == TimePoint {});
}

void DemandView::forEachReport(const std::function<void(const Entry&)>& function) const
{
    for (const auto& [host, entry] : this->hosts)
        function(entry);
    if (this->usesSummaries()) {
        for (const auto& [group, entry] : this->groups)
            function(entry);
    } else if (this->elsewhere.receivedAt != TimePoint {}) {
        function(this->elsewhere);
    }
}

DemandReport DemandView::groupReport(const DemandReport& own) const
{
    auto sum = own;
    for (const auto& [host, entry] : this->hosts)
        addReport(sum, entry.report);
    return sum;
}

DemandReport DemandView::elsewhereReport() const
{
    DemandReport sum { 0, 0, {} };
    for (const auto& [group, entry] : this->groups)
        addReport(sum, entry.report);
    return sum;
}

DemandReport DemandView::fleetReport(const DemandReport& own, const FleetSize& size) const
{
    auto sum = own;
    this->forEachReport([&sum](const Entry& entry) { addReport(sum, entry.report); });
    // Nobody is heard by a host that is cut off from all others, which go on without it.
    const bool isAlone = sum.hosts <= own.hosts;
    const auto heardInGroup = isAlone ? 1 : this->heardHosts.size() + 1;
    double unheard = heardInGroup < size.group ? static_cast<double>(size.group - heardInGroup) : 0;
    if ((isAlone || !this->hasHeardElsewhere) && size.all > size.group)
        unheard += static_cast<double>(size.all - size.group);
    const auto hostCount = sum.hosts + unheard;
    const auto factor = hostCount / std::max(1.0, static_cast<double>(sum.tellingHosts));
    for (auto& service : sum.services) {
        service.total *= factor;
        // Hosts that told no details are taken to ask for the same kinds as those that did.
        const auto detailed = workOfClasses(service);
        if (detailed > 0)
            scaleClasses(service, service.total / detailed);
    }
    sum.hosts = static_cast<std::uint32_t>(hostCount);
    return sum;
}

double DemandView::heardHostCount() const
{
    double count = 1;
    this->forEachReport([&count](const Entry& entry) { count += entry.report.hosts; });
    return count;
}

Duration DemandView::age() const
{
    const auto now = this->clock.now();
    double total = 0;
    double count = 0;
    this->forEachReport([&](const Entry& entry) {
        total += static_cast<double>((now - entry.receivedAt + entry.age).count()) * entry.report.hosts;
        count += entry.report.hosts;
    });
    return Duration { static_cast<Duration::rep>(total / std::max(count, 1.0)) };
}

} // namespace berylwing
