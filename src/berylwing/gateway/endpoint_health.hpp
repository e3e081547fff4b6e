#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>

namespace berylwing {

/** @brief How a request that was sent to an endpoint ended, as far as it tells about the endpoint's health. */
enum class EndpointVerdict {
    Sound,
    /** The endpoint refused the request because it is full. */
    Shed,
    /** The endpoint failed: an error of its own, a broken answer or silence. */
    Failed,
    /** No connection could be made. */
    Unreachable,
};

/** @brief Judges an endpoint by the requests that this host has sent to it. */
class EndpointHealth {
    void eject(TimePoint now) noexcept;

public:
    /** @brief Takes note of how a request ended. @param verdict Verdict. @param now Current time. */
    void record(EndpointVerdict verdict, TimePoint now) noexcept;

    /** @brief Tells whether the endpoint should be avoided. @param now Current time. @return True while it should. */
    [[nodiscard]] bool isEjected(TimePoint now) const noexcept { return this->needsProbe || now < this->ejectedUntil; }

    /** @brief Tells whether no connection could be made to the endpoint. @return True until a probe reaches it. */
    [[nodiscard]] bool isOutOfReach() const noexcept { return this->needsProbe; }

    /** @brief Avoids the endpoint until a connection to it was made. @param now Current time. */
    void suspect(TimePoint now) noexcept;

    /** @brief Takes the probe of an endpoint that is out of reach. @param now Time. @return True if one is due. */
    [[nodiscard]] bool takeProbe(TimePoint now) noexcept;

    /** @brief Takes note of a probe's end. @param isReached Whether a connection was made. @param now Time. */
    void recordProbe(bool isReached, TimePoint now) noexcept;

private:
    /** The last outcomes, the newest in the lowest bit; a set bit is a failure. */
    std::uint32_t history = 0;
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil {};
    TimePoint lastFailureAt {};
    bool needsProbe = false;
    bool isProbing = false;
};

} // namespace berylwing
