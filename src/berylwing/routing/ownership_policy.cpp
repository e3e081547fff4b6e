#include "berylwing/routing/ownership_policy.hpp"

#include <algorithm>
#include <limits>

namespace berylwing {

namespace {

constexpr std::size_t kUnranked = std::numeric_limits<std::size_t>::max();
constexpr std::size_t kMaxRanks = 31;

} // namespace

std::uint32_t degradedShare(std::uint32_t limit, std::size_t rank) noexcept
{
    if (rank >= kMaxRanks)
        return 0;
    return (limit >> rank) - (limit >> (rank + 1));
}

OwnershipPolicy::OwnershipPolicy(FailureDomain& failureDomain)
    : domain { failureDomain }
{
}

bool OwnershipPolicy::isPreferredOwner(std::string_view endpoint) const
{
    return this->domain.isMember() && this->rankOf(endpoint) == 0;
}

bool OwnershipPolicy::isActingOwner(std::string_view endpoint) const
{
    // Fast path: the preferred owner is rarely silent, and one look-up is enough to see that it is not.
    const auto& ranking = this->domain.ranking(endpoint);
    if (ranking.empty() || !this->domain.isSilent(ranking.front()))
        return false;
    return this->isEveryHigherRankSilent(endpoint) && this->domain.isMember() && this->domain.isRosterAcknowledged();
}

bool OwnershipPolicy::canClaimOwnership(std::string_view endpoint) const
{
    return this->isPreferredOwner(endpoint) && this->domain.hasLeaseFromAll() && !this->isOwnedByPeer(endpoint);
}

std::uint32_t OwnershipPolicy::allowance(
    std::string_view endpoint, const OwnershipState& state, std::uint32_t limit) const
{
    if (!this->domain.isMember() || state.isHandingOff)
        return 0;
    if (state.isOwner) {
        const bool isUndisputed = this->isPreferredOwner(endpoint) && this->domain.hasLeaseFromAll();
        const auto reserved = this->computePeerReserve(endpoint, isUndisputed ? 0 : limit);
        const auto free = limit > reserved ? limit - reserved : 0;
        return isUndisputed ? free : std::min(free, degradedShare(limit, 0));
    }
    if (!state.isLoadWithinOwnerShare || !this->isActingOwner(endpoint))
        return 0;
    return degradedShare(limit, this->rankOf(endpoint));
}

bool OwnershipPolicy::isDegraded(std::string_view endpoint, const OwnershipState& state) const
{
    return state.isOwner ? !this->domain.hasLeaseFromAll() : this->isActingOwner(endpoint);
}

std::size_t OwnershipPolicy::rankOf(std::string_view endpoint) const
{
    const auto ranking = this->domain.ranking(endpoint);
    const auto found = std::find(ranking.begin(), ranking.end(), this->domain.selfHost());
    return found == ranking.end() ? kUnranked : static_cast<std::size_t>(found - ranking.begin());
}

bool OwnershipPolicy::isEveryHigherRankSilent(std::string_view endpoint) const
{
    for (const auto& host : this->domain.ranking(endpoint)) {
        if (host == this->domain.selfHost())
            return true;
        if (!this->domain.isSilent(host))
            return false;
    }
    return false;
}

std::uint32_t OwnershipPolicy::computePeerReserve(std::string_view endpoint, std::uint32_t sharedLimit) const
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
        const bool canActAsOwner = rank > 0 && rank < ranking.size();
        total += std::max(inFlight, canActAsOwner ? degradedShare(sharedLimit, rank) : 0);
    }
    return total;
}

bool OwnershipPolicy::isOwnedByPeer(std::string_view endpoint) const
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
