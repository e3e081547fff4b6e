#include "berylwing/gateway/endpoint_health.hpp"

#include <algorithm>
#include <bit>

namespace berylwing {

namespace {

/** Mask for the last eight results; at five requests a second per endpoint they cover about 2 s. */
constexpr std::uint32_t kHistoryMask = 0xff;
/** Failures in the history above which an endpoint is ejected; healthy endpoints do not exceed it. */
constexpr int kMaxFailures = 2;
/** Length of the first ejection; an endpoint takes some seconds to restart. */
constexpr Duration kFirstEjectionTimeout { 1000 };
/** Length of the longest ejection, so that a recovered endpoint is soon in use again. */
constexpr Duration kMaxEjectionTimeout { 6000 };
/** Time without a failure after which the history and the number of ejections are reset. */
constexpr Duration kHistoryTtl { 10'000 };
/** Delay between two probes of an unreachable endpoint. */
constexpr Duration kProbeDelay { 700 };
/** Ejection after an overloaded endpoint rejected a request; about the time in which a batch of requests ends. */
constexpr Duration kShedDelay { 200 };

} // namespace

void EndpointHealth::eject(TimePoint now) noexcept
{
    const auto length
        = std::min(kMaxEjectionTimeout, kFirstEjectionTimeout * (1U << std::min(this->ejectionCount, 4U)));
    this->ejectedUntil = std::max(this->ejectedUntil, now + length);
    ++this->ejectionCount;
    this->history = 0;
}

void EndpointHealth::record(EndpointResult result, TimePoint now) noexcept
{
    if (this->lastFailureAt + kHistoryTtl < now) {
        this->ejectionCount = 0;
        this->history = 0;
    }
    if (result == EndpointResult::Shed) {
        this->ejectedUntil = std::max(this->ejectedUntil, now + kShedDelay);
        return;
    }
    const bool isFailure = result != EndpointResult::Success;
    this->history = ((this->history << 1) | (isFailure ? 1U : 0U)) & kHistoryMask;
    if (!isFailure)
        return;
    this->lastFailureAt = now;
    // Only probes detect that an endpoint is reachable again; requests that try it meanwhile must not delay them.
    if (this->needsProbe && result == EndpointResult::Unreachable)
        return;
    this->needsProbe = this->needsProbe || result == EndpointResult::Unreachable;
    if (result == EndpointResult::Unreachable || std::popcount(this->history) > kMaxFailures)
        this->eject(now);
}

void EndpointHealth::requireProbe(TimePoint now) noexcept
{
    this->needsProbe = true;
    this->ejectedUntil = now;
}

bool EndpointHealth::tryBeginProbe(TimePoint now) noexcept
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
        this->ejectedUntil = now + kProbeDelay;
}

} // namespace berylwing
