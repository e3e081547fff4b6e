#include "berylwing/gateway/fleet_retry_budget.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Part of the limits that is used, because the windows of different hosts are not aligned. */
constexpr double kUsableShare = 0.8;

void removeBefore(std::deque<TimePoint>& times, TimePoint oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

FleetRetryBudget::FleetRetryBudget(const Clock& hostClock, const FleetRetryLimits& fleetLimits, HostCounter fleetSize)
    : clock { hostClock }
    , limits { fleetLimits }
    , hostCount { std::move(fleetSize) }
{
}

void FleetRetryBudget::removeExpired(Usage& usage) const
{
    const auto oldest = this->clock.now() - this->limits.window;
    removeBefore(usage.requests, oldest);
    removeBefore(usage.retries, oldest);
}

void FleetRetryBudget::recordRequest(const std::string& service)
{
    auto& usage = this->usages[service];
    this->removeExpired(usage);
    usage.requests.push_back(this->clock.now());
}

bool FleetRetryBudget::tryAcquire(const std::string& service)
{
    auto& usage = this->usages[service];
    this->removeExpired(usage);
    const auto hosts = static_cast<double>(std::max<std::size_t>(this->hostCount(), 1));
    const auto allowed = this->limits.ratio * static_cast<double>(usage.requests.size()) + this->limits.minimum / hosts;
    if (static_cast<double>(usage.retries.size() + 1) > allowed * kUsableShare)
        return false;
    usage.retries.push_back(this->clock.now());
    return true;
}

} // namespace berylwing
