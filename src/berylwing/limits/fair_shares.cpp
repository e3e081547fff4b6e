#include "berylwing/limits/fair_shares.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Time after its last request for which a workspace counts as active. */
constexpr Duration kActivityTtl = std::chrono::seconds { 60 };
/** One in this number of slots is reserved for workspaces below their share. */
constexpr std::uint32_t kReserveDivisor = 4;

} // namespace

bool FairShares::canAdmit(
    std::string_view workspace, double weight, std::uint32_t inFlight, std::uint32_t limit, TimePoint now)
{
    this->dropIdle(now);
    auto found = this->usages.find(workspace);
    if (found == this->usages.end())
        found = this->usages.emplace(workspace, Usage {}).first;
    found->second.weight = weight;
    found->second.seenAt = now;
    double weights = 0;
    for (const auto& [name, usage] : this->usages)
        weights += usage.weight;
    const auto share = std::max(1.0, limit * weight / weights);
    const bool isWithinShare = found->second.inFlight + 1 <= share;
    const auto reserved = this->usages.size() > 1 ? limit / kReserveDivisor : 0;
    return isWithinShare || inFlight + reserved < limit;
}

void FairShares::add(std::string_view workspace)
{
    const auto found = this->usages.find(workspace);
    if (found != this->usages.end())
        ++found->second.inFlight;
}

void FairShares::remove(std::string_view workspace)
{
    const auto found = this->usages.find(workspace);
    if (found != this->usages.end() && found->second.inFlight > 0)
        --found->second.inFlight;
}

void FairShares::dropIdle(TimePoint now)
{
    std::erase_if(this->usages,
        [now](const auto& entry) { return entry.second.inFlight == 0 && now - entry.second.seenAt > kActivityTtl; });
}

} // namespace berylwing
