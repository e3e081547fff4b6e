#include "berylwing/routing/authority.hpp"

#include <algorithm>
#include <limits>

namespace berylwing {

namespace {

constexpr std::size_t kUnranked = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMostRanks = 31;

} // namespace

std::uint32_t doubtShare(std::uint32_t limit, std::size_t rank) noexcept
{
    if (rank >= kMostRanks)
        return 0;
    return (limit >> rank) - (limit >> (rank + 1));
}

Authority::Authority(FailureDomain& failureDomain)
    : domain { failureDomain }
{
}

bool Authority::isFirst(std::string_view endpoint) const
{
    return this->domain.isMember() && this->rankOf(endpoint) == 0;
}

bool Authority::isStandIn(std::string_view endpoint) const
{
    // Nearly always the first host is not silent, which is found out at little cost.
    const auto& ranking = this->domain.ranking(endpoint);
    if (ranking.empty() || !this->domain.isSilent(ranking.front()))
        return false;
    return this->betterRanksSilent(endpoint) && this->domain.isMember() && this->domain.isRosterAcknowledged();
}

bool Authority::canClaimFirst(std::string_view endpoint) const
{
    return this->isFirst(endpoint) && this->domain.hasLeaseFromAll() && !this->someoneHoldsFirst(endpoint);
}

std::uint32_t Authority::allowance(std::string_view endpoint, const AuthorityState& state, std::uint32_t limit) const
{
    if (!this->domain.isMember() || state.handingOff)
        return 0;
    if (state.holdsFirst) {
        const bool isSure = this->isFirst(endpoint) && this->domain.hasLeaseFromAll();
        const auto reserved = this->reservedForOthers(endpoint, isSure ? 0 : limit);
        const auto free = limit > reserved ? limit - reserved : 0;
        return isSure ? free : std::min(free, doubtShare(limit, 0));
    }
    if (!state.firstDrained || !this->isStandIn(endpoint))
        return 0;
    return doubtShare(limit, this->rankOf(endpoint));
}

bool Authority::isInDoubt(std::string_view endpoint, const AuthorityState& state) const
{
    return state.holdsFirst ? !this->domain.hasLeaseFromAll() : this->isStandIn(endpoint);
}

std::size_t Authority::rankOf(std::string_view endpoint) const
{
    const auto ranking = this->domain.ranking(endpoint);
    const auto found = std::find(ranking.begin(), ranking.end(), this->domain.selfHost());
    return found == ranking.end() ? kUnranked : static_cast<std::size_t>(found - ranking.begin());
}

bool Authority::betterRanksSilent(std::string_view endpoint) const
{
    for (const auto& host : this->domain.ranking(endpoint)) {
        if (host == this->domain.selfHost())
            return true;
        if (!this->domain.isSilent(host))
            return false;
    }
    return false;
}

std::uint32_t Authority::reservedForOthers(std::string_view endpoint, std::uint32_t sharedLimit) const
{
    const auto& ranking = this->domain.ranking(endpoint);
    std::uint32_t total = 0;
    for (const auto& [host, peer] : this->domain.peers()) {
        std::uint32_t inFlight = 0;
        for (const auto& residual : peer.residuals) {
            if (residual.endpoint() == endpoint)
                inFlight += residual.in_flight();
        }
        const auto rank = static_cast<std::size_t>(std::find(ranking.begin(), ranking.end(), host) - ranking.begin());
        const bool mayStandIn = rank > 0 && rank < ranking.size();
        total += std::max(inFlight, mayStandIn ? doubtShare(sharedLimit, rank) : 0);
    }
    return total;
}

bool Authority::someoneHoldsFirst(std::string_view endpoint) const
{
    for (const auto& [host, peer] : this->domain.peers()) {
        for (const auto& residual : peer.residuals) {
            if (residual.endpoint() == endpoint && residual.holds_first())
                return true;
        }
    }
    return false;
}

} // namespace berylwing
