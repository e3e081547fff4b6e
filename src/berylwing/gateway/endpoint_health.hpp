#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>

namespace berylwing {

/** @brief Result of a request, as far as it concerns the health of its endpoint. */
enum class EndpointResult {
    Success,
    /** The endpoint rejected the request because it is overloaded. */
    Shed,
    /** The endpoint failed: server error, broken answer or no answer. */
    Failed,
    /** A connection could not be established. */
    Unreachable,
};

/**
 * @brief Passive health check of an endpoint, based on the results of this host's requests.
 *
 * Repeated failures eject the endpoint for a time that doubles with each ejection. An unreachable endpoint stays
 * ejected until a probe connects to it.
 */
class EndpointHealth {
    void eject(TimePoint now) noexcept;

public:
    /** @brief Records the result of a request. @param result Result of the request. @param now Current time. */
    void record(EndpointResult result, TimePoint now) noexcept;

    /** @brief Checks if the endpoint is ejected. @param now Current time. @return True if it should be avoided. */
    [[nodiscard]] bool isEjected(TimePoint now) const noexcept { return this->needsProbe || now < this->ejectedUntil; }

    /** @brief Checks if the endpoint is unreachable. @return True until a probe connects to it. */
    [[nodiscard]] bool isUnreachable() const noexcept { return this->needsProbe; }

    /** @brief Ejects the endpoint until a probe connects to it. @param now Current time. */
    void requireProbe(TimePoint now) noexcept;

    /** @brief Starts a probe of an unreachable endpoint if one is due. @param now Current time. @return True if due. */
    [[nodiscard]] bool tryBeginProbe(TimePoint now) noexcept;

    /** @brief Records the end of a probe. @param isReached Whether it connected. @param now Current time. */
    void recordProbe(bool isReached, TimePoint now) noexcept;

private:
    /** Last results, the newest in the lowest bit; a set bit is a failure. */
    std::uint32_t history = 0;
    std::uint32_t ejectionCount = 0;
    TimePoint ejectedUntil {};
    TimePoint lastFailureAt {};
    bool needsProbe = false;
    bool isProbing = false;
};

} // namespace berylwing
