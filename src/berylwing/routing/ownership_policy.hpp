#pragma once

#include "berylwing/membership/failure_domain.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Share of a limit that surely belongs to the holder of a rank while hosts do not confirm each other.
 *
 * The shares of all ranks add up to no more than the limit.
 * @param limit Limit to share.
 * @param rank Rank of the holder, counted from zero.
 * @return Share of the holder.
 */
[[nodiscard]] std::uint32_t degradedShare(std::uint32_t limit, std::size_t rank) noexcept;

/** @brief What a host knows about its right to send to one endpoint. */
struct OwnershipState {
    /** @brief Makes the state of a host that holds the first place. @return State. */
    [[nodiscard]] static OwnershipState owner()
    {
        OwnershipState state;
        state.isOwner = true;
        return state;
    }

    /** Whether this host holds the first place, by handoff or because nobody else can hold it. */
    bool isOwner = false;
    /** Whether a handoff was sent that may have been taken. */
    bool isHandingOff = false;
    /** Roster version at which the handoff was sent. */
    std::uint64_t handoffRosterVersion = 0;
    /** Whether the endpoint itself has reported, after the first host fell silent, that it is within the first share.
     */
    bool isLoadWithinOwnerShare = false;
};

/**
 * @brief Decides how much of an endpoint's limit this host may use.
 *
 * Confirmed by all members, the owner uses the limit less what others still have in flight. In doubt each rank uses its
 * own share, the ranks after the first only when all ranks before them are silent.
 */
class OwnershipPolicy {
    [[nodiscard]] std::size_t rankOf(std::string_view endpoint) const;
    [[nodiscard]] bool isEveryHigherRankSilent(std::string_view endpoint) const;
    /** Requests that other hosts have in flight or may send on shares of a limit; zero to count no shares. */
    [[nodiscard]] std::uint32_t computePeerReserve(std::string_view endpoint, std::uint32_t sharedLimit) const;
    [[nodiscard]] bool isOwnedByPeer(std::string_view endpoint) const;

public:
    /** @brief Creates the authority of a host. @param failureDomain Domain of the host. */
    explicit OwnershipPolicy(FailureDomain& failureDomain);

    /** @brief Tells whether this host is ranked first. @param endpoint Endpoint. @return True for the owner. */
    [[nodiscard]] bool isPreferredOwner(std::string_view endpoint) const;

    /** @brief Tells whether this host may act because better ranks are silent. @param endpoint Endpoint. */
    [[nodiscard]] bool isActingOwner(std::string_view endpoint) const;

    /**
     * @brief Tells whether the first place of an endpoint is free to be taken without a handoff.
     * @param endpoint Endpoint.
     * @return True if this host is ranked first and every member showed that it does not hold the place.
     */
    [[nodiscard]] bool canClaimOwnership(std::string_view endpoint) const;

    /**
     * @brief Computes the part of a limit that this host may use now.
     * @param endpoint Endpoint.
     * @param state This host's state for the endpoint.
     * @param limit Limit of the endpoint.
     * @return Most requests that this host may have in flight; zero if it has to refuse.
     */
    [[nodiscard]] std::uint32_t allowance(
        std::string_view endpoint, const OwnershipState& state, std::uint32_t limit) const;

    /** @brief Tells whether this host acts in doubt. @param endpoint Endpoint. @param state State. */
    [[nodiscard]] bool isDegraded(std::string_view endpoint, const OwnershipState& state) const;

private:
    FailureDomain& domain;
};

} // namespace berylwing
