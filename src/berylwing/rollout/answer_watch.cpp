#include "berylwing/rollout/answer_watch.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace berylwing {

namespace {

/** Multiple of the median time from which on an answer is slow; a prompt that has to be read first takes less. */
constexpr double kSlowRatio = 2.5;
/** Answers from which the median is taken, and the number from which on it is known. */
constexpr std::size_t kRecentTimes = 31;
constexpr std::size_t kMinRecentTimes = 5;
/** Times below this are not slow whatever the median is; the host itself may be busy for as long. */
constexpr Duration kMinSlowTime { 50 };
/** Limit of the routes whose times are known. */
constexpr std::size_t kMaxRoutes = 256;

} // namespace

AnswerWatch::AnswerWatch(const Clock& hostClock, std::function<void(const ObservedAnswer&)> answerReport)
    : clock { hostClock }
    , report { std::move(answerReport) }
{
}

void AnswerWatch::begin(WatchedAnswer& observation, const ObservedSend& send)
{
    observation.unlink();
    observation.service = send.service;
    observation.version = send.version;
    observation.endpoint = send.endpoint;
    observation.route = send.route;
    observation.sentAt = this->clock.now();
    observation.isTimed = send.isTimed;
    observation.slowAfter.reset();
    const auto found = this->recent.find({ send.service, send.route });
    if (found != this->recent.end() && found->second.median) {
        const auto ms = kSlowRatio * static_cast<double>(found->second.median->count());
        observation.slowAfter = std::max(kMinSlowTime, Duration { static_cast<Duration::rep>(ms) });
    }
    this->pending.push_back(observation);
}

void AnswerWatch::count(WatchedAnswer& observation, bool isFailure, bool isSlow)
{
    observation.unlink();
    const bool isTimed = observation.isTimed && observation.slowAfter && !isFailure;
    this->report({ observation.service, observation.version, observation.endpoint, observation.route,
        { 1, std::uint64_t { isFailure }, std::uint64_t { isTimed }, std::uint64_t { isTimed && isSlow } } });
}

void AnswerWatch::finish(WatchedAnswer& observation, bool isFailure)
{
    if (!observation.isPending())
        return;
    const auto took = this->clock.now() - observation.sentAt;
    this->count(observation, isFailure, observation.slowAfter && took > *observation.slowAfter);
    if (!isFailure && observation.isTimed)
        this->recordTime(observation.service, observation.route, took);
}

void AnswerWatch::countOverdue()
{
    const auto now = this->clock.now();
    for (auto iterator = this->pending.begin(); iterator != this->pending.end();) {
        auto& observation = *iterator++;
        const auto elapsed = now - observation.sentAt;
        if (!observation.isTimed || !observation.slowAfter || elapsed <= *observation.slowAfter)
            continue;
        this->count(observation, false, true);
        this->recordTime(observation.service, observation.route, elapsed);
    }
}

void AnswerWatch::recordTime(std::uint32_t service, std::uint32_t route, Duration took)
{
    const std::pair key { service, route };
    if (this->recent.size() >= kMaxRoutes && !this->recent.contains(key))
        return;
    auto& times = this->recent[key];
    times.times.push_back(took);
    if (times.times.size() > kRecentTimes)
        times.times.pop_front();
    if (times.times.size() < kMinRecentTimes)
        return;
    std::vector<Duration> sorted { times.times.begin(), times.times.end() };
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    times.median = *middle;
}

} // namespace berylwing
