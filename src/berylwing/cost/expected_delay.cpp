#include "berylwing/cost/expected_delay.hpp"

#include "berylwing/cost/cost_model.hpp"

namespace berylwing {

namespace {

/** Range of weights that count as equal: paces are estimates, and requests are not moved for small gains. */
constexpr double kMinUnequalWeight = 1.6;
constexpr double kMaxUnequalWeight = 0.5;
/** Part of the latency target that may be spent; the rest is left for what is not known of the endpoint. */
constexpr double kMaxTargetShare = 0.6;

} // namespace

void RelativePaces::add(double slowness) noexcept
{
    this->totalCapacity += 1 / slowness;
    ++this->count;
}

double RelativePaces::weightOf(double slowness) const noexcept
{
    if (this->count == 0)
        return 1;
    const auto weight = slowness * this->totalCapacity / this->count;
    return weight > kMaxUnequalWeight && weight < kMinUnequalWeight ? 1 : weight;
}

bool ExpectedDelay::isTooLate(double paceWeight, double pendingTokens) const
{
    if (paceWeight <= 1 || this->target <= Duration {})
        return false;
    const auto usualMs = this->costs.firstEventMs(this->service, pendingTokens);
    return usualMs && paceWeight * *usualMs > kMaxTargetShare * static_cast<double>(this->target.count());
}

} // namespace berylwing
