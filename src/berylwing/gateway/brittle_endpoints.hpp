#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Keeps endpoints from rejecting too many requests that have said in their answers that this makes them fail.
 *
 * Such an endpoint gets no request that would have to wait, as far as hosts know of each other's requests, because it
 * may let fewer wait than before. What hosts know is late, so only the first hosts in the endpoint's rendezvous order
 * fill its last slots, fewer than the rejections that it can bear in a second, and a rejected one leaves it alone for a
 * second. All other hosts use it while it is half empty. Hosts tell each other of rejections.
 */
class BrittleEndpoints {
    /** Returns the time for which this host leaves an endpoint alone after a rejection. */
    [[nodiscard]] Duration pauseOf(const GatewayEndpoint& endpoint) const;
    /** Checks if this host is one of those that fill the last slots of an endpoint. */
    [[nodiscard]] bool isSender(const GatewayEndpoint& endpoint) const;

public:
    /** @brief Functions that tell of the fleet. */
    struct Hooks {
        /** Returns the names of all hosts, including this one. */
        std::function<const std::vector<std::string>&()> hostNames;
        /** Estimates the requests of other hosts to a service that the known loads do not include. */
        std::function<double(std::string_view service)> unseenRequests;
    };

    /**
     * @brief Creates the object.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, which hold what they have said.
     * @param fleetHooks Functions that tell of the fleet.
     * @param ownName Name of this host.
     * @param hostLog Log of the host.
     */
    BrittleEndpoints(const Clock& hostClock, const EndpointDirectory& endpointDirectory, Hooks fleetHooks,
        std::string ownName, DecisionLog& hostLog);

    /** @brief Records what an answer tells. @param endpoint Endpoint. @param perSecond Limit, if it names one. */
    void recordAnswer(GatewayEndpoint& endpoint, std::optional<double> perSecond);

    /** @brief Records that an endpoint rejected a request for want of room. @param endpoint Endpoint. */
    void recordRejection(GatewayEndpoint& endpoint);

    /** @brief Checks if an endpoint has room for a request, as far as that is known. @param endpoint Endpoint. */
    [[nodiscard]] bool hasRoom(const GatewayEndpoint& endpoint) const;

    /** @brief Checks if an endpoint of a service has said that it is brittle. @param service Service. */
    [[nodiscard]] bool isBrittle(std::string_view service) const;

    /** @brief Adds the rejections of the last moment to a digest. @param digest Digest of this host. */
    void appendTo(wire::Digest& digest) const;

    /** @brief Takes note of the rejections that another host has seen. @param digest Digest. */
    void merge(const wire::Digest& digest);

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    Hooks hooks;
    std::string name;
    DecisionLog& log;
};

} // namespace berylwing
