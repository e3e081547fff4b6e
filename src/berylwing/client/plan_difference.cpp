#include "berylwing/client/plan_difference.hpp"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <sstream>
#include <string_view>
#include <utility>

namespace berylwing {

namespace {

/** Entry of a plan as text. */
struct DescribedEntry {
    std::string title;
    std::vector<std::pair<std::string, std::string>> fields;
    /** Keys of a workspace, which are never shown. */
    std::set<std::string> keys;
};

std::string toText(Duration time) { return std::to_string(time.count()) + " ms"; }

std::string toText(bool value) { return value ? "yes" : "no"; }

std::string toText(const std::vector<WeightedService>& services)
{
    std::string text;
    for (const auto& share : services)
        text += (text.empty() ? "" : ", ") + share.service + " (weight " + std::to_string(share.weight) + ")";
    return text;
}

DescribedEntry describe(const Route& route)
{
    return { "route " + route.name,
        { { "host name", route.hostname }, { "path prefix", route.pathPrefix },
            { "kind", std::string { kRouteKindNames[route.kind] } }, { "timeout", toText(route.timeout) },
            { "target latency", toText(route.targetLatency) }, { "target gap", toText(route.targetGap) },
            { "priority", std::to_string(route.priority) }, { "services", toText(route.services) },
            { "attempts", std::to_string(route.maxAttempts) }, { "public", toText(route.isPublic) },
            { "sticky", toText(route.isSticky) }, { "resumable", toText(route.isResumable) } },
        {} };
}

DescribedEntry describe(const ServiceTraits& service)
{
    std::ostringstream rate;
    rate << service.coldRequestsPerSecond << "/s";
    const auto model = service.model.value_or(ModelTraits { 0, 0, 0 });
    return { "service " + service.name,
        { { "connections", std::to_string(service.maxConnections) }, { "cold rate", rate.str() },
            { "cold time", toText(service.coldDuration) }, { "model", toText(service.model.has_value()) },
            { "model slots", std::to_string(model.slots) },
            { "model memory", std::to_string(model.memoryTokens) + " tokens" },
            { "tokens in an event", std::to_string(model.tokensPerEvent) } },
        {} };
}

DescribedEntry describe(const ListedWorkspace& workspace)
{
    const auto& [holder, keys] = workspace;
    return { "workspace " + holder.workspace,
        { { "priority", holder.priority ? std::to_string(*holder.priority) : "of the route" } },
        { keys.begin(), keys.end() } };
}

DescribedEntry describe(const CallerBounds& bounds)
{
    return { "limits of callers",
        { { "largest head", std::to_string(bounds.maxHeaderBytes) + " bytes" },
            { "largest body", std::to_string(bounds.maxBodyBytes) + " bytes" },
            { "time for a head", toText(bounds.headerTimeout) }, { "idle time", toText(bounds.idleTimeout) } },
        {} };
}

template <typename Entry>
void describeAll(const std::vector<Listed<Entry>>& entries, std::vector<DescribedEntry>& described)
{
    // Entries with the same name are told apart by their order.
    std::map<std::string, int> counts;
    for (const auto& listed : entries) {
        auto entry = describe(listed.entry);
        if (const auto count = ++counts[entry.title]; count > 1)
            entry.title += " (" + std::to_string(count) + ")";
        described.push_back(std::move(entry));
    }
}

std::vector<DescribedEntry> describe(const PlanListing& plan)
{
    std::vector<DescribedEntry> entries;
    describeAll(plan.routes, entries);
    describeAll(plan.services, entries);
    entries.push_back({ "keys", { { "required", toText(plan.requiresKeys) } }, {} });
    describeAll(plan.workspaces, entries);
    entries.push_back(describe(plan.bounds.entry));
    return entries;
}

/** Lists all fields of an entry that is in one plan only. */
std::vector<FieldChange> listFields(const DescribedEntry& entry, bool isAdded)
{
    std::vector<FieldChange> fields;
    const auto add = [&](const std::string& name, const std::string& value) {
        fields.push_back({ name, isAdded ? "" : value, isAdded ? value : "" });
    };
    for (const auto& [name, value] : entry.fields)
        add(name, value);
    if (!entry.keys.empty())
        add("keys", std::to_string(entry.keys.size()));
    return fields;
}

std::size_t countMissing(const std::set<std::string>& keys, const std::set<std::string>& others)
{
    return static_cast<std::size_t>(
        std::count_if(keys.begin(), keys.end(), [&others](const std::string& key) { return !others.contains(key); }));
}

std::vector<FieldChange> compareFields(const DescribedEntry& before, const DescribedEntry& after)
{
    std::vector<FieldChange> fields;
    for (std::size_t index = 0; index < before.fields.size(); ++index) {
        const auto& [name, value] = before.fields[index];
        if (const auto& next = after.fields[index].second; next != value)
            fields.push_back({ name, value, next });
    }
    if (before.keys != after.keys) {
        fields.push_back({ "keys", std::to_string(before.keys.size()),
            std::to_string(after.keys.size()) + " (" + std::to_string(countMissing(after.keys, before.keys)) + " new, "
                + std::to_string(countMissing(before.keys, after.keys)) + " gone)" });
    }
    return fields;
}

} // namespace

std::vector<PlanChange> comparePlans(const PlanListing& before, const PlanListing& after)
{
    std::map<std::string, DescribedEntry> earlier;
    std::vector<std::string> earlierTitles;
    for (auto& entry : describe(before)) {
        earlierTitles.push_back(entry.title);
        earlier.emplace(entry.title, std::move(entry));
    }
    std::vector<PlanChange> changes;
    for (const auto& entry : describe(after)) {
        const auto found = earlier.find(entry.title);
        if (found == earlier.end()) {
            changes.push_back({ PlanChangeKind::Added, entry.title, listFields(entry, true) });
            continue;
        }
        auto fields = compareFields(found->second, entry);
        if (!fields.empty())
            changes.push_back({ PlanChangeKind::Changed, entry.title, std::move(fields) });
        earlier.erase(found);
    }
    for (const auto& title : earlierTitles) {
        if (const auto found = earlier.find(title); found != earlier.end())
            changes.push_back({ PlanChangeKind::Removed, title, listFields(found->second, false) });
    }
    return changes;
}

} // namespace berylwing
