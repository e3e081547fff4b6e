#include "berylwing/gateway/cold_limit.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylwing {

namespace {

/** Share of the hosts' number by which a short burst may go beyond the rate; the tolerance is half the rate and 5. */
constexpr double kBurstShare = 0.25;

} // namespace

ColdLimit::ColdLimit(std::string ownHost, HostNames names)
    : ownName { std::move(ownHost) }
    , hostNames { std::move(names) }
{
}

bool ColdLimit::isChosen(const GatewayEndpoint& endpoint, std::size_t senders) const
{
    const auto& names = this->hostNames();
    if (names.size() <= senders)
        return true;
    const auto key = hashText(endpoint.record.id);
    const auto ownScore = rendezvousScore(key, this->ownName);
    const auto better = std::count_if(names.begin(), names.end(),
        [&](const std::string& name) { return name != this->ownName && rendezvousScore(key, name) > ownScore; });
    return static_cast<std::size_t>(better) < senders;
}

bool ColdLimit::allows(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const
{
    const auto rate = service.coldRequestsPerSecond;
    if (rate <= 0)
        return true;
    const auto hosts = std::max<std::size_t>(this->hostNames().size(), 1);
    // Each sender may be one request ahead of its share, so their number has to stay within the tolerated burst.
    const auto senders = std::min(hosts, static_cast<std::size_t>(std::max(1.0, std::floor(rate * kBurstShare) + 4)));
    if (!this->isChosen(endpoint, senders))
        return false;
    const std::chrono::duration<double, std::milli> gap { 1000.0 * static_cast<double>(senders) / rate };
    return now - endpoint.lastColdSend >= gap;
}

} // namespace berylwing
