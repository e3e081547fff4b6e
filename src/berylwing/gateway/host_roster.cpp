#include "berylwing/gateway/host_roster.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Fleet size up to which each host sends its digests to all others; a group of a larger fleet has some 17 hosts. */
constexpr std::size_t kMaxSingleGroupHosts = 18;

} // namespace

HostRoster::HostRoster(HostEntry ownEntry)
    : own { std::move(ownEntry) }
{
    this->updateNames();
}

void HostRoster::updateNames()
{
    this->allNames = { this->own.name };
    for (const auto& [name, entry] : this->hosts)
        this->allNames.push_back(name);
    this->isSingleGroup = this->allNames.size() <= kMaxSingleGroupHosts;
}

void HostRoster::put(HostEntry entry)
{
    if (entry.name == this->own.name)
        return;
    auto name = entry.name;
    this->missing.erase(name);
    this->hosts.insert_or_assign(std::move(name), std::move(entry));
    this->updateNames();
}

void HostRoster::remove(std::string_view name)
{
    const auto found = this->hosts.find(name);
    if (found == this->hosts.end())
        return;
    this->hosts.erase(found);
    this->updateNames();
}

void HostRoster::retain(const std::set<std::string, std::less<>>& names)
{
    this->missing.clear();
    std::erase_if(this->hosts, [&names](const auto& host) { return !names.contains(host.first); });
    this->updateNames();
}

void HostRoster::keepMissing(const std::set<std::string, std::less<>>& names, TimePoint until)
{
    for (const auto& [name, entry] : this->hosts) {
        if (!names.contains(name))
            this->missing.insert(name);
    }
    this->missingUntil = until;
}

void HostRoster::removeMissing(TimePoint now)
{
    if (now < this->missingUntil)
        return;
    for (const auto& name : std::exchange(this->missing, {}))
        this->remove(name);
}

bool HostRoster::isFirstFor(std::uint64_t key) const
{
    return rendezvousRank(key, this->own.name, this->allNames) == 0;
}

std::vector<HostEntry> HostRoster::groupMembers() const
{
    std::vector<HostEntry> members;
    for (const auto& [name, entry] : this->hosts) {
        const bool isMember = this->isSingleGroup || entry.domain == this->own.domain;
        if (isMember && !entry.address.address.empty())
            members.push_back(entry);
    }
    return members;
}

std::set<std::string> HostRoster::otherGroups() const
{
    std::set<std::string> domains;
    for (const auto& [name, entry] : this->hosts) {
        if (!this->isSingleGroup && entry.domain != this->own.domain && !entry.address.address.empty())
            domains.insert(entry.domain);
    }
    return domains;
}

std::vector<HostEntry> HostRoster::likelyDelegates(std::string_view domain) const
{
    std::vector<HostEntry> members;
    for (const auto& [name, entry] : this->hosts) {
        if (entry.domain == domain && !entry.address.address.empty())
            members.push_back(entry);
    }
    std::sort(members.begin(), members.end(),
        [](const HostEntry& left, const HostEntry& right) { return hashText(left.name) < hashText(right.name); });
    members.resize(std::min(members.size(), kDelegateCount));
    return members;
}

const HostEntry* HostRoster::find(std::string_view name) const
{
    const auto found = this->hosts.find(name);
    return found == this->hosts.end() ? nullptr : &found->second;
}

const HostEntry* HostRoster::findByAddress(std::string_view address) const
{
    const auto found = std::find_if(this->hosts.begin(), this->hosts.end(),
        [address](const auto& host) { return host.second.address.address == address; });
    return found == this->hosts.end() ? nullptr : &found->second;
}

} // namespace berylwing
