#include "berylwing/gateway/endpoint_health.hpp"

#include <algorithm>
#include <bit>

namespace berylwing {

namespace {

/** Mask for the last eight results; at five requests a second per endpoint they cover about 2 s. */
constexpr std::uint32_t kRemembered = 0xff;
/** Failures in the history above which an endpoint is ejected; healthy endpoints do not exceed it. */
constexpr int kMostFailures = 2;
/** Length of the first ejection; an endpoint takes some seconds to restart. */
constexpr Duration kFirstEjection { 1000 };
/** Length of the longest ejection, so that a recovered endpoint is soon in use again. */
constexpr Duration kLongestEjection { 6000 };
/** Time without a failure after which the history and the number of ejections are reset. */
constexpr Duration kMemory { 10'000 };
/** Delay between two probes of an unreachable endpoint. */
constexpr Duration kProbePause { 700 };
/** Ejection after an overloaded endpoint rejected a request; about the time in which a batch of requests ends. */
constexpr Duration kShedPause { 200 };

} // namespace

void EndpointHealth::eject(TimePoint now) noexcept
{
    const auto length = std::min(kLongestEjection, kFirstEjection * (1U << std::min(this->ejections, 4U)));
    this->ejectedUntil = std::max(this->ejectedUntil, now + length);
    ++this->ejections;
    this->history = 0;
}

void EndpointHealth::record(EndpointVerdict verdict, TimePoint now) noexcept
{
    if (this->lastFailureAt + kMemory < now) {
        this->ejections = 0;
        this->history = 0;
    }
    if (verdict == EndpointVerdict::Shed) {
        this->ejectedUntil = std::max(this->ejectedUntil, now + kShedPause);
        return;
    }
    const bool isFailure = verdict != EndpointVerdict::Sound;
    this->history = ((this->history << 1) | (isFailure ? 1U : 0U)) & kRemembered;
    if (!isFailure)
        return;
    this->lastFailureAt = now;
    // Only probes detect that an endpoint is reachable again; requests that try it meanwhile must not delay them.
    if (this->needsProbe && verdict == EndpointVerdict::Unreachable)
        return;
    this->needsProbe = this->needsProbe || verdict == EndpointVerdict::Unreachable;
    if (verdict == EndpointVerdict::Unreachable || std::popcount(this->history) > kMostFailures)
        this->eject(now);
}

void EndpointHealth::suspect(TimePoint now) noexcept
{
    this->needsProbe = true;
    this->ejectedUntil = now;
}

bool EndpointHealth::takeProbe(TimePoint now) noexcept
{
    if (!this->needsProbe || this->isProbing || now < this->ejectedUntil)
        return false;
    this->isProbing = true;
    return true;
}

void EndpointHealth::recordProbe(bool isReached, TimePoint now) noexcept
{
    this->isProbing = false;
    if (isReached)
        this->needsProbe = false;
    else
        this->ejectedUntil = now + kProbePause;
}

} // namespace berylwing
