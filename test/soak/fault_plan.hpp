#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <vector>

namespace berylwing::test {

/** @brief Faults and planned work that a soak brings about from outside of the hosts. */
enum class SoakFault {
    HostKilled,
    HostsKilledTogether,
    HostStopped,
    HostPaused,
    HostReloaded,
    StoreLinkSilent,
    StoreLinkReset,
    StoreLinkSlow,
    StoreLinkOneWay,
    EndpointLinkSilent,
    EndpointLinkReset,
    EndpointLinkSlow,
    EndpointLinkOneWay,
    CallersReset,
    DigestsCut,
    DigestsOneWay,
    DigestsSlow,
    StoreDown,
    StoreSilent,
    StoreSlow,
    StoreLosesAnswers,
    StoreHistoryLost,
    StoreTurnsAway,
    EndpointCrashed,
    EndpointErrors,
    EndpointHangs,
    EndpointResets,
    EndpointSheds,
    EndpointSlow,
    EndpointSendsExtra,
    EndpointUnframed,
    EndpointLeaves,
    PlanChanged,
    KeyRevoked,
    DomainWithdrawn,
};

/** @brief Number of kinds. */
inline constexpr std::size_t kSoakFaultKinds = 35;

/** @brief Names of the kinds. */
inline constexpr EnumNames<SoakFault, kSoakFaultKinds> kSoakFaultNames { { "host_killed", "hosts_killed_together",
    "host_stopped", "host_paused", "host_reloaded", "store_link_silent", "store_link_reset", "store_link_slow",
    "store_link_one_way", "endpoint_link_silent", "endpoint_link_reset", "endpoint_link_slow", "endpoint_link_one_way",
    "callers_reset", "digests_cut", "digests_one_way", "digests_slow", "store_down", "store_silent", "store_slow",
    "store_loses_answers", "store_history_lost", "store_turns_away", "endpoint_crashed", "endpoint_errors",
    "endpoint_hangs", "endpoint_resets", "endpoint_sheds", "endpoint_slow", "endpoint_sends_extra", "endpoint_unframed",
    "endpoint_leaves", "plan_changed", "key_revoked", "domain_withdrawn" } };

/** @brief One fault of a plan. */
struct PlannedFault {
    SoakFault kind {};
    /** Time from the start of the faults. */
    Duration at {};
    Duration length {};
    /** Which host or endpoint, modulo their number. */
    std::uint32_t target = 0;
    /** Which other one, where two are needed. */
    std::uint32_t other = 0;
};

/**
 * @brief Draws faults that overlap and come in series.
 * @param seed Seed.
 * @param span Time in which they begin.
 * @param meanGap Mean time between two beginnings.
 * @return Faults in the order of their beginnings.
 */
[[nodiscard]] std::vector<PlannedFault> planFaults(std::uint32_t seed, Duration span, Duration meanFaultInterval);

} // namespace berylwing::test
