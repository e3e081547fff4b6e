#include "berylwing/cost/endpoint_pace.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

/** Averaging time of what is slow now: several times the length of an answer. */
constexpr Duration kRecentTime { 5'000 };
constexpr double kMaxRecentAnswers = 20;
/** Averaging time of what is slow for good. */
constexpr Duration kLastingTime { 60'000 };
constexpr double kMaxLastingAnswers = 600;
/** Time after which a told figure has 1/e of its weight; it changes many times a second. */
constexpr Duration kToldTime { 50 };
/** Weight of the usual pace beside the answers. */
constexpr double kUsualAnswers = 1;
/** Expected variance of the logarithms of ratios, and the answers that it counts for. */
constexpr double kFirstVariance = 1;
constexpr double kFirstVarianceAnswers = 4;
/** Standard errors by which a pace has to differ from the usual: hosts compare many endpoints many times. */
constexpr double kMinErrors = 3;
/** Weight of the lasting pace beside the recent answers. */
constexpr double kLastingAnswers = 3;
/** Largest weight of the mean of the told figures, so that answers outweigh an endpoint that tells nonsense. */
constexpr double kMaxToldAnswers = 2;
/** Range of a single ratio; one beyond it tells of a fault, not of the pace. */
constexpr double kMaxRatio = 20;

double toLog(double ratio) { return std::log(std::clamp(ratio, 1 / kMaxRatio, kMaxRatio)); }

/** Mean to which values are added with their weights. */
struct WeightedMean {
    void add(double value, double weight)
    {
        this->total += weight;
        if (this->total > 0)
            this->mean += (value - this->mean) * weight / this->total;
    }

    double mean = 0;
    double total = 0;
};

} // namespace

EndpointPace::EndpointPace() noexcept
    : recent { kRecentTime, kMaxRecentAnswers }
    , lasting { kLastingTime, kMaxLastingAnswers }
    , toldMean { kLastingTime, kMaxLastingAnswers }
{
}

void EndpointPace::recordAnswer(double ratio, TimePoint now)
{
    if (!(ratio > 0))
        return;
    this->computedAt = TimePoint::min();
    this->recent.record(toLog(ratio), now);
    this->lasting.record(toLog(ratio), now);
}

void EndpointPace::recordTold(double slowness, TimePoint now)
{
    this->computedAt = TimePoint::min();
    this->lastTold = toLog(slowness);
    this->toldAt = now;
    this->toldMean.record(this->lastTold, now);
}

PaceReport EndpointPace::report(TimePoint now) const
{
    return { std::exp(this->recent.mean()), this->recent.weight(now) };
}

double EndpointPace::slowness(TimePoint now) const
{
    if (now != this->computedAt) {
        this->computed = this->computeSlowness(now);
        this->computedAt = now;
    }
    return this->computed;
}

double EndpointPace::computeSlowness(TimePoint now) const
{
    const auto weight = this->recent.weight(now);
    WeightedMean pace;
    pace.add(this->recent.mean(), weight);
    pace.add(this->lasting.mean(), std::min(this->lasting.weight(now), kLastingAnswers));
    pace.add(toLog(this->remote.slowness), this->remote.answers);
    const auto answers = pace.total;
    pace.add(0, kUsualAnswers);
    pace.add(this->toldMean.mean(), std::min(this->toldMean.weight(now), kMaxToldAnswers));
    // Times of requests differ much; what may be their chance does not count.
    const auto variance = (weight * this->recent.variance() + kFirstVarianceAnswers * kFirstVariance)
        / (weight + kFirstVarianceAnswers);
    const auto error = std::sqrt(variance * answers) / pace.total;
    const auto mean = std::abs(pace.mean) < kMinErrors * error ? 0 : pace.mean;
    if (this->toldAt == TimePoint::min())
        return std::exp(mean);
    // What the endpoint tells now counts against what it usually tells.
    const auto deviation = this->lastTold - this->toldMean.mean();
    return std::exp(mean + deviation * decayOf(now - this->toldAt, kToldTime));
}

} // namespace berylwing
