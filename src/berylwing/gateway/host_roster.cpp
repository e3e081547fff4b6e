#include "berylwing/gateway/host_roster.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Fleet size up to which each host sends its digests to all others. */
constexpr std::size_t kMaxSingleGroupHosts = 18;
/** Mean size of the groups of a domain above which there are twice as many groups. */
constexpr std::size_t kMaxGroupHosts = 32;
/** Seed that makes the groups independent of the order in which the hosts of a group get roles. */
constexpr std::uint64_t kGroupSeed = 1;

bool isReachable(const HostEntry& entry) { return !entry.address.address.empty(); }

} // namespace

HostRoster::HostRoster(HostEntry ownEntry)
    : own { std::move(ownEntry) }
    , allNames { this->own.name }
{
    ++this->domainSizes[this->own.domain];
}

bool HostRoster::isSingleGroup() const noexcept { return this->allNames.size() <= kMaxSingleGroupHosts; }

std::size_t HostRoster::groupCount(std::string_view domain) const
{
    const auto found = this->domainSizes.find(domain);
    const auto size = found == this->domainSizes.end() ? 0 : found->second;
    std::size_t count = 1;
    while (size > count * kMaxGroupHosts)
        count *= 2;
    return count;
}

std::string HostRoster::groupOf(const HostEntry& entry) const
{
    if (this->isSingleGroup())
        return {};
    const auto count = this->groupCount(entry.domain);
    // Twice as many groups divide each of the former ones, so that few hosts change their peers.
    const auto index = hashText(entry.name, kGroupSeed) % count;
    return count == 1 ? entry.domain : entry.domain + "/" + std::to_string(index) + "of" + std::to_string(count);
}

void HostRoster::add(HostEntry entry)
{
    if (const auto known = this->hosts.find(entry.name); known != this->hosts.end()) {
        if (known->second == entry)
            return;
        this->erase(known);
    }
    ++this->changes;
    this->allNames.push_back(entry.name);
    if (isReachable(entry)) {
        ++this->domainSizes[entry.domain];
        this->namesByAddress.insert_or_assign(entry.address.address, entry.name);
    }
    auto name = entry.name;
    this->hosts.emplace(std::move(name), std::move(entry));
}

void HostRoster::erase(std::map<std::string, HostEntry, std::less<>>::iterator position)
{
    const auto& entry = position->second;
    ++this->changes;
    if (isReachable(entry)) {
        --this->domainSizes[entry.domain];
        // Another host may have taken over the address.
        const auto found = this->namesByAddress.find(entry.address.address);
        if (found != this->namesByAddress.end() && found->second == entry.name)
            this->namesByAddress.erase(found);
    }
    std::erase(this->allNames, entry.name);
    this->hosts.erase(position);
}

void HostRoster::put(HostEntry entry)
{
    if (entry.name == this->own.name)
        return;
    this->missing.erase(entry.name);
    this->add(std::move(entry));
}

void HostRoster::introduce(HostEntry entry, TimePoint until)
{
    if (entry.name == this->own.name || this->hosts.contains(entry.name))
        return;
    this->missing.insert_or_assign(entry.name, until);
    this->add(std::move(entry));
}

void HostRoster::remove(std::string_view name)
{
    if (const auto found = this->hosts.find(name); found != this->hosts.end())
        this->erase(found);
}

void HostRoster::retain(const std::set<std::string, std::less<>>& names)
{
    std::erase_if(this->missing, [&names](const auto& entry) { return names.contains(entry.first); });
    for (auto position = this->hosts.begin(); position != this->hosts.end();) {
        const auto current = position++;
        // A host that has introduced itself may have written its entry after the list was made.
        if (!names.contains(current->first) && !this->missing.contains(current->first))
            this->erase(current);
    }
}

void HostRoster::keepMissing(const std::set<std::string, std::less<>>& names, TimePoint until)
{
    for (const auto& [name, entry] : this->hosts) {
        if (!names.contains(name))
            this->missing.insert_or_assign(name, until);
    }
}

void HostRoster::removeMissing(TimePoint now)
{
    for (auto position = this->missing.begin(); position != this->missing.end();) {
        const auto current = position++;
        if (now < current->second)
            continue;
        this->remove(current->first);
        this->missing.erase(current);
    }
}

std::vector<HostEntry> HostRoster::reachableHosts() const
{
    std::vector<HostEntry> reachable;
    reachable.reserve(this->allNames.size());
    if (isReachable(this->own))
        reachable.push_back(this->own);
    for (const auto& [name, entry] : this->hosts) {
        if (isReachable(entry))
            reachable.push_back(entry);
    }
    return reachable;
}

bool HostRoster::isFirstFor(std::uint64_t key) const
{
    return rendezvousRank(key, this->own.name, this->allNames) == 0;
}

std::vector<HostEntry> HostRoster::groupMembers() const
{
    std::vector<HostEntry> members;
    const auto group = this->ownGroup();
    for (const auto& [name, entry] : this->hosts) {
        const bool canBeMember = this->isSingleGroup() || entry.domain == this->own.domain;
        if (canBeMember && isReachable(entry) && this->groupOf(entry) == group)
            members.push_back(entry);
    }
    return members;
}

std::map<std::string, std::vector<HostEntry>> HostRoster::otherGroups() const
{
    std::map<std::string, std::vector<HostEntry>> groups;
    const auto ownName = this->ownGroup();
    for (const auto& [name, entry] : this->hosts) {
        if (!isReachable(entry))
            continue;
        if (auto group = this->groupOf(entry); group != ownName)
            groups[std::move(group)].push_back(entry);
    }
    for (auto& [group, members] : groups) {
        std::sort(members.begin(), members.end(),
            [](const HostEntry& left, const HostEntry& right) { return hashText(left.name) < hashText(right.name); });
    }
    return groups;
}

bool HostRoster::hasOtherDomains() const
{
    return std::any_of(this->domainSizes.begin(), this->domainSizes.end(),
        [this](const auto& domain) { return domain.first != this->own.domain && domain.second > 0; });
}

const HostEntry* HostRoster::find(std::string_view name) const
{
    const auto found = this->hosts.find(name);
    return found == this->hosts.end() ? nullptr : &found->second;
}

const HostEntry* HostRoster::findByAddress(std::string_view address) const
{
    const auto found = this->namesByAddress.find(std::string { address });
    return found == this->namesByAddress.end() ? nullptr : this->find(found->second);
}

} // namespace berylwing
