#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include <cstdint>
#include <unordered_map>

namespace berylwing {

class Metrics;

/**
 * @brief Remembers which requests were running when endpoints died, and keeps those that did so twice from running.
 *
 * The hosts of a failure domain tell each other, so that a request takes down no more endpoints however often and
 * through whichever host it is sent again.
 */
class CrashRegister {
    struct Suspect {
        std::uint32_t crashes = 0;
        TimePoint until;
    };

    void evictExpired();
    void broadcast(std::uint64_t fingerprint, std::uint32_t crashes);
    void update(std::uint64_t fingerprint, std::uint32_t crashes);

public:
    /**
     * @brief Creates an empty register.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     */
    CrashRegister(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics);

    /** @brief Computes the fingerprint of a request. @param request Request. @return Same for each resend of it. */
    [[nodiscard]] static std::uint64_t fingerprintOf(const wire::Request& request);

    /** @brief Tells whether a request was running when an endpoint died. @param fingerprint Request. */
    [[nodiscard]] bool isSuspect(std::uint64_t fingerprint) const;

    /** @brief Tells whether a request may not run any more. @param fingerprint Request. */
    [[nodiscard]] bool isQuarantined(std::uint64_t fingerprint) const;

    /** @brief Takes note that an endpoint died while it ran a request. @param fingerprint Request. */
    void recordCrash(std::uint64_t fingerprint);

    /** @brief Takes note that a request was answered whole, which clears it. @param fingerprint Request. */
    void recordSuccess(std::uint64_t fingerprint);

private:
    Clock& clock;
    Link& link;
    FailureDomain& domain;
    Metrics& metrics;
    std::unordered_map<std::uint64_t, Suspect> suspects;
};

} // namespace berylwing
