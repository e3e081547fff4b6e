#include "berylwing/rollout/version_clearance.hpp"

#include <algorithm>

namespace berylwing {

void VersionClearance::beginList()
{
    for (auto& [service, versions] : this->services) {
        for (auto& [version, seen] : versions)
            seen.endpoints = 0;
    }
}

void VersionClearance::add(std::string_view service, std::uint32_t version, TimePoint now)
{
    auto found = this->services.find(service);
    if (found == this->services.end())
        found = this->services.try_emplace(std::string { service }).first;
    auto& seen = found->second[version];
    if (seen.firstSeenAt == TimePoint {})
        seen.firstSeenAt = now;
    ++seen.endpoints;
    this->hasHeld = this->hasHeld || (!seen.isCleared && found->second.size() > 1);
}

void VersionClearance::endList(TimePoint ordersKnownUntil)
{
    this->hasHeld = false;
    for (auto& [service, versions] : this->services) {
        std::erase_if(versions, [](const auto& entry) { return entry.second.endpoints == 0; });
        for (auto& [version, seen] : versions) {
            seen.isCleared = seen.isCleared || seen.firstSeenAt <= ordersKnownUntil;
            this->hasHeld = this->hasHeld || (!seen.isCleared && versions.size() > 1);
        }
    }
    std::erase_if(this->services, [](const auto& entry) { return entry.second.empty(); });
}

bool VersionClearance::isHeld(std::string_view service, std::uint32_t version) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return false;
    const auto& versions = found->second;
    const auto own = versions.find(version);
    if (own == versions.end() || own->second.isCleared)
        return false;
    const bool isOtherCleared
        = std::any_of(versions.begin(), versions.end(), [](const auto& entry) { return entry.second.isCleared; });
    if (isOtherCleared)
        return true;
    const auto most = std::max_element(versions.begin(), versions.end(),
        [](const auto& left, const auto& right) { return left.second.endpoints < right.second.endpoints; });
    return most->first != version;
}

bool VersionClearance::isListed(std::string_view service, std::uint32_t version) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.contains(version);
}

std::vector<std::uint32_t> VersionClearance::versionsOf(std::string_view service) const
{
    std::vector<std::uint32_t> listed;
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return listed;
    for (const auto& [version, seen] : found->second)
        listed.push_back(version);
    return listed;
}

bool VersionClearance::isOtherListed(std::string_view service, std::uint32_t version) const
{
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.size() > (found->second.contains(version) ? 1U : 0U);
}

} // namespace berylwing
