#pragma once

#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"

namespace berylwing {

/**
 * @brief Detects that this host is partitioned from everything it could serve from, so that callers should use others.
 *
 * This happens in a failure domain that is partitioned from the others while its own endpoints are withdrawn or down.
 * Unreachable endpoints alone are not sufficient: if they fail for every host, callers would find no ready host at all.
 */
class IsolationDetector {
    [[nodiscard]] bool hasReachableEndpoint() const;
    [[nodiscard]] bool hasHeardOtherDomain() const;

public:
    /**
     * @brief Creates a detector.
     * @param endpointDirectory Endpoints.
     * @param hostRoster Hosts.
     * @param fleetView Recent messages of other hosts.
     * @param ownDomain Failure domain of this host.
     */
    IsolationDetector(const EndpointDirectory& endpointDirectory, const HostRoster& hostRoster,
        const FleetView& fleetView, std::string ownDomain);

    /** @brief Checks if this host is isolated. @return False if an endpoint or another failure domain is reachable. */
    [[nodiscard]] bool isIsolated() const;

private:
    const EndpointDirectory& directory;
    const HostRoster& roster;
    const FleetView& fleet;
    std::string domain;
};

} // namespace berylwing
