#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/fleet_view.hpp"
#include "berylwing/gateway/host_roster.hpp"
#include <cstdint>
#include <functional>
#include <google/protobuf/repeated_field.h>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Chooses the hosts to which this one passes requests on whose endpoints it does not reach.
 *
 * Hosts tell in their digests which services they have lost. Of a host that sends no digests here nothing is known
 * until it has handed a request back. Hosts of the own failure domain come first while enough of them are left.
 */
class RelayHosts {
    struct HostState {
        /** Hashes of the services that the host has lost, by its last digest. */
        std::vector<std::uint32_t> lostServices;
        TimePoint toldAt = TimePoint::min();
        /** Time until which the host is not chosen, since it could not be reached or has handed a request back. */
        TimePoint avoidedUntil = TimePoint::min();
        /** Requests that this host has passed on to it. */
        unsigned inFlight = 0;
    };

    [[nodiscard]] bool isEligible(const HostEntry& host, std::uint32_t service) const;
    [[nodiscard]] bool isInOwnRegion(const HostEntry& host) const;
    [[nodiscard]] unsigned countInFlight(const HostEntry& host) const;
    /** Returns the state of a host; forgets hosts that have left the fleet. */
    [[nodiscard]] HostState& stateOf(const std::string& host);

public:
    /** @brief Failure domains and the regions that they belong to. */
    using Regions = std::map<std::string, std::string, std::less<>>;

    /** @brief Scope in which a request counts as passed on to a host. */
    class Use {
    public:
        /** @brief Begins to count. @param relayHosts Hosts. @param host Name of the host. */
        Use(RelayHosts& relayHosts, std::string host);
        ~Use();
        Use(const Use&) = delete;
        Use& operator=(const Use&) = delete;

    private:
        RelayHosts& hosts;
        std::string name;
    };

    /**
     * @brief Creates a view without digests.
     * @param hostClock Clock of the host.
     * @param hostRoster Hosts of the fleet.
     * @param fleetView Digests of the own group.
     * @param ownDomain Failure domain of this host.
     * @param regionsOfDomains Regions, which requests do not leave; empty if there is only one.
     */
    RelayHosts(const Clock& hostClock, const HostRoster& hostRoster, const FleetView& fleetView, std::string ownDomain,
        Regions regionsOfDomains);

    /** @brief Returns the hash by which digests name a service. @param service Service. @return Hash. */
    [[nodiscard]] static std::uint32_t hashService(std::string_view service);

    /**
     * @brief Takes note of the services that a host has lost.
     * @param host Host. @param services Hashes of the services by its digest.
     */
    void recordDigest(const std::string& host, const google::protobuf::RepeatedField<std::uint32_t>& services);

    /** @brief Leaves a host out for a moment. @param host Host that handed a request back or was not reached. */
    void avoid(const std::string& host);

    /**
     * @brief Chooses a host.
     * @param service Service of the request.
     * @param tried Hosts that are not chosen again.
     * @return Host; nothing if none is known that may reach the endpoints of the service.
     */
    [[nodiscard]] std::optional<HostEntry> choose(std::string_view service, const std::vector<std::string>& tried);

private:
    const Clock& clock;
    const HostRoster& roster;
    const FleetView& fleet;
    std::string domain;
    Regions regions;
    std::map<std::string, HostState, std::less<>> states;
    std::minstd_rand random;
};

} // namespace berylwing
