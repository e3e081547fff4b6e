#include "soak/fault_plan.hpp"

#include <algorithm>
#include <random>

namespace berylwing::test {

namespace {

/** Minimum duration of a fault: below every timeout of a host. */
constexpr Duration kMinFaultDuration { 100 };
/** Probability that a fault is repeated on the same target. */
constexpr double kSeriesShare = 0.25;
constexpr int kMaxSeriesLength = 4;
constexpr Duration kMaxSeriesInterval { 1500 };

} // namespace

std::vector<PlannedFault> planFaults(
    std::uint32_t seed, Duration span, Duration meanFaultInterval, Duration maxDuration)
{
    std::mt19937 random { seed };
    std::exponential_distribution<double> gaps { 1.0 / static_cast<double>(meanFaultInterval.count()) };
    std::uniform_int_distribution<std::size_t> kinds { 0, kSoakFaultKinds - 1 };
    std::uniform_int_distribution<Duration::rep> lengths { kMinFaultDuration.count(), maxDuration.count() };
    std::uniform_int_distribution<Duration::rep> seriesGaps { 0, kMaxSeriesInterval.count() };
    std::uniform_int_distribution<int> repeats { 2, kMaxSeriesLength };
    std::bernoulli_distribution isSeries { kSeriesShare };
    std::vector<PlannedFault> plan;
    for (Duration at {}; at < span;) {
        PlannedFault fault { static_cast<SoakFault>(kinds(random)), at, Duration { lengths(random) },
            static_cast<std::uint32_t>(random()), static_cast<std::uint32_t>(random()) };
        plan.push_back(fault);
        const int times = isSeries(random) ? repeats(random) : 1;
        for (int repeat = 1; repeat < times; ++repeat) {
            fault.at += fault.length / 2 + Duration { seriesGaps(random) };
            if (fault.at < span)
                plan.push_back(fault);
        }
        at += Duration { static_cast<Duration::rep>(gaps(random)) + 1 };
    }
    std::stable_sort(plan.begin(), plan.end(),
        [](const PlannedFault& left, const PlannedFault& right) { return left.at < right.at; });
    return plan;
}

} // namespace berylwing::test
