#include "berylwing/gateway/endpoint_health.hpp"

#include <algorithm>
#include <bit>

namespace berylwing {

namespace {

/** Outcomes that are remembered; at five requests a second and endpoint they cover two seconds. */
constexpr std::uint32_t kRemembered = 0xff;
/** Failures among the remembered outcomes that no sound endpoint shows. */
constexpr int kMostFailures = 2;
/** First ejection; an endpoint's restart takes some seconds. */
constexpr Duration kFirstEjection { 1000 };
/** Longest ejection, so that a recovered endpoint is soon in use again. */
constexpr Duration kLongestEjection { 6000 };
/** Time without a failure after which an endpoint's past is forgotten. */
constexpr Duration kMemory { 10'000 };
/** Pause between two probes of an endpoint that is out of reach. */
constexpr Duration kProbePause { 700 };
/** Pause after a full endpoint's refusal, about the time in which a batch of requests ends. */
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
    // Its probes tell when an endpoint is back in reach; requests that try it meanwhile must not put them off.
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
