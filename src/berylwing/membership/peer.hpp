#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/messages.pb.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

/** @brief What a host knows about another host of its failure domain. */
struct Peer {
    std::string host;
    std::uint64_t incarnation = 0;

    /** Time at which the last beat arrived, or at which the peer became known. */
    TimePoint lastHeartbeatAt;
    /** Time at which this host first saw this incarnation in a roster. */
    TimePoint knownSince;
    /** Sending time of the last beat that arrived, on the peer's clock. */
    std::int64_t lastHeartbeatSentMs = 0;
    /** Sending time of this host's latest beat that the peer has received, on this host's clock. */
    std::optional<TimePoint> leaseStartedAt;
    /** Highest version of the domain's roster that the peer has shown. */
    std::uint64_t rosterVersion = 0;
    /** Whether any beat of the current incarnation arrived. */
    bool hasHeartbeat = false;
    bool isSilenceReported = false;
    /** Platform revision up to which the peer's configuration is complete. */
    std::uint64_t configurationRevision = 0;
    /** Whether the peer has a working watch on the platform. */
    bool isWatchingPlatform = false;
    /** Whether the peer stops and takes no endpoints over any more. */
    bool isLeaving = false;

    /** Requests of the peer at endpoints of this host, from its last beat. */
    std::vector<wire::Residual> residuals;
    /** Load of the engines that the peer owns, from its last beat. */
    std::vector<wire::ModelLoad> loads;
};

} // namespace berylwing
