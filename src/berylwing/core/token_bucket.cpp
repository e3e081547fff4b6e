#include "berylwing/core/token_bucket.hpp"

#include <algorithm>

namespace berylwing {

namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

double capacityOf(double rate) { return std::max(1.0, rate); }

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, TimePoint now)
    : rate { tokensPerSecond }
    , available { capacityOf(tokensPerSecond) }
    , refilledAt { now }
{
}

bool TokenBucket::tryConsume(double count, TimePoint now)
{
    this->refill(now);
    if (this->available < count)
        return false;
    this->available -= count;
    return true;
}

void TokenBucket::consume(double count, TimePoint now)
{
    this->refill(now);
    this->available -= count;
}

Duration TokenBucket::timeUntilAvailable(double count, TimePoint now)
{
    this->refill(now);
    const auto missing = std::max(0.0, count - this->available);
    return Duration { static_cast<Duration::rep>(missing / this->rate * kMillisecondsPerSecond) + 1 };
}

void TokenBucket::setRate(double tokensPerSecond, TimePoint now)
{
    this->refill(now);
    this->rate = tokensPerSecond;
    this->available = std::min(this->available, capacityOf(tokensPerSecond));
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= this->refilledAt)
        return;
    const auto elapsed = static_cast<double>((now - this->refilledAt).count()) / kMillisecondsPerSecond;
    this->available = std::min(capacityOf(this->rate), this->available + elapsed * this->rate);
    this->refilledAt = now;
}

} // namespace berylwing
