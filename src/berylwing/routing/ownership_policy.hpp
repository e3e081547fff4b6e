#pragma once

#include "berylwing/membership/failure_domain.hpp"
#include <cstdint>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Returns the part of a limit that a host of a given rank may use while leases are missing.
 *
 * Each rank gets about half of what the rank before it gets. The shares of all ranks add up to no more than the limit,
 * so hosts that cannot see each other stay within it together.
 * @param limit Limit to divide.
 * @param rank Rank of the host for the endpoint, counted from zero.
 * @return Share of the host.
 */
[[nodiscard]] std::uint32_t degradedShare(std::uint32_t limit, std::size_t rank) noexcept;

/** @brief Ownership of one endpoint, as this host knows it. Only an owner or acting owner sends requests to it. */
struct OwnershipState {
    /** @brief Creates the state of a host that owns the endpoint. @return State. */
    [[nodiscard]] static OwnershipState owner()
    {
        OwnershipState state;
        state.isOwner = true;
        return state;
    }

    /** Whether this host owns the endpoint, by handoff or because no other host can own it. */
    bool isOwner = false;
    /** Whether a handoff was sent and not yet confirmed; its receiver may already own the endpoint. */
    bool isHandingOff = false;
    /** Version of the roster in force when the handoff was sent. */
    std::uint64_t handoffRosterVersion = 0;
    /**
     * Whether the endpoint's load, measured after the owner fell silent, is within the owner's degraded share.
     *
     * Until then requests that the owner sent with its full limit may still run, and this host may not add any. An
     * endpoint that does not report its load counts as within the share after the deadline of its service.
     */
    bool isLoadWithinOwnerShare = false;
};

/**
 * @brief Decides how much of an endpoint's limit this host may use.
 *
 * The hosts of a failure domain are ranked for each endpoint. The host of rank zero is the preferred owner. An owner
 * with leases from all members uses the limit less the requests that other hosts still have in flight.
 *
 * While leases are missing (a host stopped, or the network is partitioned), ownership is degraded: each rank uses at
 * most its degradedShare(). A host of a lower rank becomes acting owner only when all hosts of higher ranks are silent,
 * so that their leases have expired.
 */
class OwnershipPolicy {
    [[nodiscard]] std::size_t rankOf(std::string_view endpoint) const;
    [[nodiscard]] bool isEveryHigherRankSilent(std::string_view endpoint) const;
    /**
     * Returns the requests that peers have in flight, or may send with their degraded shares of a limit. A limit of
     * zero leaves the shares out.
     */
    [[nodiscard]] std::uint32_t computePeerReserve(std::string_view endpoint, std::uint32_t sharedLimit) const;
    [[nodiscard]] bool isOwnedByPeer(std::string_view endpoint) const;

public:
    /** @brief Creates the policy of a host. @param failureDomain Failure domain of the host. */
    explicit OwnershipPolicy(FailureDomain& failureDomain);

    /** @brief Checks if this host is a member with rank zero. @param endpoint Endpoint. @return True if it is. */
    [[nodiscard]] bool isPreferredOwner(std::string_view endpoint) const;

    /** @brief Checks if this host acts as owner because all higher ranks are silent. @param endpoint Endpoint. */
    [[nodiscard]] bool isActingOwner(std::string_view endpoint) const;

    /**
     * @brief Checks if this host can become the owner of an endpoint without a handoff.
     * @param endpoint Endpoint.
     * @return True if this host is the preferred owner, has leases from all peers, and none of them reports ownership.
     */
    [[nodiscard]] bool canClaimOwnership(std::string_view endpoint) const;

    /**
     * @brief Returns the part of a limit that this host may use now.
     * @param endpoint Endpoint.
     * @param state This host's ownership of the endpoint.
     * @param limit Limit of the endpoint.
     * @return Maximum number of requests in flight from this host; zero if it has to refuse requests.
     */
    [[nodiscard]] std::uint32_t allowance(
        std::string_view endpoint, const OwnershipState& state, std::uint32_t limit) const;

    /**
     * @brief Checks if this host owns an endpoint without leases from all peers, or is its acting owner.
     * @param endpoint Endpoint.
     * @param state This host's ownership of the endpoint.
     * @return True if only degraded shares may be used.
     */
    [[nodiscard]] bool isDegraded(std::string_view endpoint, const OwnershipState& state) const;

private:
    FailureDomain& domain;
};

} // namespace berylwing
