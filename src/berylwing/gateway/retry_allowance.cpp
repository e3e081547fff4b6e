#include "berylwing/gateway/retry_allowance.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Part of the bounds that is used, because windows of different hosts do not begin together. */
constexpr double kUsedShare = 0.8;

void dropBefore(std::deque<TimePoint>& times, TimePoint oldest)
{
    while (!times.empty() && times.front() < oldest)
        times.pop_front();
}

} // namespace

RetryAllowance::RetryAllowance(const Clock& hostClock, const RetryBounds& fleetBounds, HostCount fleetSize)
    : clock { hostClock }
    , bounds { fleetBounds }
    , hostCount { std::move(fleetSize) }
{
}

void RetryAllowance::dropOld(Usage& usage) const
{
    const auto oldest = this->clock.now() - this->bounds.window;
    dropBefore(usage.requests, oldest);
    dropBefore(usage.retries, oldest);
}

void RetryAllowance::recordRequest(const std::string& service)
{
    auto& usage = this->usages[service];
    this->dropOld(usage);
    usage.requests.push_back(this->clock.now());
}

bool RetryAllowance::take(const std::string& service)
{
    auto& usage = this->usages[service];
    this->dropOld(usage);
    const auto hosts = static_cast<double>(std::max<std::size_t>(this->hostCount(), 1));
    const auto allowed = this->bounds.ratio * static_cast<double>(usage.requests.size()) + this->bounds.minimum / hosts;
    if (static_cast<double>(usage.retries.size() + 1) > allowed * kUsedShare)
        return false;
    usage.retries.push_back(this->clock.now());
    return true;
}

} // namespace berylwing
