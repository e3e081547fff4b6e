#include "berylwing/gateway/unseen_requests.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Averaging time of the rate of requests to a service, in which a host sends several of them. */
constexpr Duration kRequestAveragingTime { 2000 };

} // namespace

UnseenRequests::UnseenRequests(const Clock& hostClock, HostCounter fleetSize, LoadAge loadAge)
    : clock { hostClock }
    , hostCount { std::move(fleetSize) }
    , age { std::move(loadAge) }
{
}

void UnseenRequests::recordRequest(const std::string& service)
{
    this->rates.try_emplace(service, kRequestAveragingTime).first->second.record(this->clock.now());
}

double UnseenRequests::estimate(std::string_view service) const
{
    const auto found = this->rates.find(service);
    return found == this->rates.end() ? 0 : this->estimate(found->second);
}

double UnseenRequests::estimate(const EventRate& ownRate) const
{
    const auto others = static_cast<double>(std::max<std::size_t>(this->hostCount(), 1) - 1);
    return others * ownRate.perMs(this->clock.now()) * static_cast<double>(this->age().count());
}

} // namespace berylwing
