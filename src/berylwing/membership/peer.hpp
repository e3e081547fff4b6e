#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/messages.pb.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Stores what this host knows about another host of its failure domain. */
struct Peer {
    std::string host;
    std::uint64_t incarnation = 0;

    /** Time at which the last heartbeat arrived or, before the first one, at which the peer became known. */
    TimePoint lastHeartbeatAt;
    /** Time at which this host first saw this incarnation in a roster. */
    TimePoint knownSince;
    /** Time at which the peer sent the last received heartbeat, on the peer's clock. */
    std::int64_t lastHeartbeatSentMs = 0;
    /** Start of the lease granted by the peer: when this host sent the last heartbeat that the peer echoed. */
    std::optional<TimePoint> leaseStartedAt;
    /** Highest version of the domain's roster that the peer has announced. */
    std::uint64_t rosterVersion = 0;
    /** Whether any heartbeat of the current incarnation has arrived. */
    bool hasHeartbeat = false;
    /** Whether the current silence of the peer has been logged and counted. */
    bool isSilenceReported = false;
    /** Platform revision up to which the peer's configuration is complete. */
    std::uint64_t configurationRevision = 0;
    /** Whether the peer watches the platform successfully. */
    bool isWatchingPlatform = false;
    /** Whether the peer is shutting down and takes over no more endpoints. */
    bool isLeaving = false;

    /** Requests that the peer has in flight at endpoints owned by this host, as last reported by the peer. */
    std::vector<wire::Residual> residuals;
    /** Load of the engines that the peer owns, from its last heartbeat. */
    std::vector<wire::ModelLoad> loads;
};

} // namespace berylwing
