#include "berylwing/gateway/cold_rate_limit.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace berylwing {

namespace {

/**
 * Part of the rate that is granted to short bursts. A cold endpoint tolerates bursts of half the rate plus 5 requests;
 * the burst stays below that.
 */
constexpr double kBurstShare = 0.25;

} // namespace

ColdRateLimit::ColdRateLimit(std::string ownHost, HostNames names)
    : ownName { std::move(ownHost) }
    , hostNames { std::move(names) }
{
}

bool ColdRateLimit::isSender(const GatewayEndpoint& endpoint, std::size_t senderCount) const
{
    const auto& names = this->hostNames();
    if (names.size() <= senderCount)
        return true;
    return rendezvousRank(hashText(endpoint.record.id), this->ownName, names) < senderCount;
}

bool ColdRateLimit::canSend(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const
{
    const auto rate = service.coldRequestsPerSecond;
    if (rate <= 0)
        return true;
    const auto hosts = std::max<std::size_t>(this->hostNames().size(), 1);
    // Each sender may be one request ahead of its share, so the number of senders has to stay within the burst.
    const auto senderCount
        = std::min(hosts, static_cast<std::size_t>(std::max(1.0, std::floor(rate * kBurstShare) + 4)));
    if (!this->isSender(endpoint, senderCount))
        return false;
    const std::chrono::duration<double, std::milli> interval { 1000.0 * static_cast<double>(senderCount) / rate };
    return now - endpoint.lastColdSendAt >= interval;
}

} // namespace berylwing
