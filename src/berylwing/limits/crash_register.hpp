#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace berylwing {

class Metrics;

/**
 * @brief Tracks requests that were running when an endpoint crashed, and quarantines them after the second crash.
 *
 * The hosts of a failure domain share the counts, so a resend through another host is quarantined as well. A complete
 * response clears a request. Hosts repeat what they know, because messages are lost and hosts start or return at any
 * time.
 */
class CrashRegister {
    struct Suspect {
        /** Crashes since the last answer. */
        std::uint32_t crashes = 0;
        /** Time of the last crash or answer. */
        TimePoint changedAt;
    };

    /** Last repetition to a peer. */
    struct Repetition {
        TimePoint at {};
        /** Fingerprint of the last suspect in it; the next repetition goes on behind it. */
        std::uint64_t last = 0;
    };

    using Suspects = std::unordered_map<std::uint64_t, Suspect>;

    [[nodiscard]] bool isExpired(const Suspect& suspect) const;
    /** Removes expired entries once the register is full, and an arbitrary one if none has expired. */
    void evictExpired();
    void broadcast(const Suspects::value_type& suspect);
    void send(const std::string& host, const Suspects::value_type& suspect);
    void merge(const wire::Envelope& envelope);
    /** Repeats some of the suspects to a peer, from time to time. */
    void repeatTo(const Peer& peer);

public:
    /**
     * @brief Creates an empty register.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     */
    CrashRegister(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics);

    /** @brief Returns the fingerprint of a request. @param request Request. @return Hash; equal for all resends. */
    [[nodiscard]] static std::uint64_t fingerprintOf(const wire::Request& request);

    /** @brief Checks if a request was running when an endpoint crashed. @param fingerprint Request. */
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;

    /** @brief Checks if a request is quarantined and has to be refused. @param fingerprint Request. */
    [[nodiscard]] bool isQuarantined(std::uint64_t fingerprint) const;

    /** @brief Records that an endpoint crashed while it ran a request. @param fingerprint Request. */
    void recordCrash(std::uint64_t fingerprint);

    /** @brief Records a complete response, which clears the request. @param fingerprint Request. */
    void recordSuccess(std::uint64_t fingerprint);

private:
    Clock& clock;
    Link& link;
    FailureDomain& domain;
    Metrics& metrics;
    Suspects suspects;
    /** Repetitions by host. */
    std::map<std::string, Repetition, std::less<>> repetitions;
};

} // namespace berylwing
