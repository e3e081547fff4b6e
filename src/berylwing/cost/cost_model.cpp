#include "berylwing/cost/cost_model.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/cost/endpoint_pace.hpp"
#include <algorithm>
#include <array>
#include <cmath>

namespace berylwing {

namespace {

/** Age at which an answer has 1/e of its first weight; kinds of requests change over minutes. */
constexpr Duration kAveragingTime { 60'000 };
/** Largest weight of a history, in answers. */
constexpr double kMaxAnswers = 200;
/** Weight of the wider history within a narrower one, in answers. */
constexpr double kPriorAnswers = 5;
/** Weight below which answers have aged too much to be relied upon. */
constexpr double kMinWeight = 0.05;
/** Answers of a service before its times are relied upon. */
constexpr double kMinServiceAnswers = 8;
/** Limit of the histories, each of a few hundred bytes: some hundred routes with as many workspaces each. */
constexpr std::size_t kMaxHistories = 4096;
/** Limit of the services whose times are kept. */
constexpr std::size_t kMaxServices = 256;
/** Standard deviation of the logarithm of a caller's hint before any was checked: a factor of 2.7 either way. */
constexpr double kFirstHintDeviation = 1;
/** Standard deviation of the logarithm of the tokens of an unknown route's answers. */
constexpr double kFirstTokenDeviation = 1.5;
/** Part of the allowed tokens that an answer of an unknown route is expected to use. */
constexpr double kFirstTokenShare = 0.5;
/** Tokens of an answer if nothing at all is known of it. */
constexpr double kFirstTokens = 128;
/** First guess of the time of a request without tokens, in milliseconds. */
constexpr double kFirstShortMs = 50;
/** Shortest expectation that a time is compared with: clocks count whole milliseconds. */
constexpr double kMinExpectedMs = 1;
/** Times of first events that lie so far above the expected ones tell of the endpoint, not of the service. */
constexpr double kMaxTimeRatio = 3;

/** Mean and variance of a normal distribution. */
struct Normal {
    double mean = 0;
    double variance = 0;
};

/** Joins a narrower history with the wider one, by the weight of its answers. */
Normal join(const Normal& prior, const DecayedMoments& moments, TimePoint now)
{
    const auto weight = moments.weight(now);
    if (weight < kMinWeight)
        return prior;
    const auto share = weight / (weight + kPriorAnswers);
    const auto distance = moments.mean() - prior.mean;
    return { prior.mean + share * distance,
        share * moments.variance() + (1 - share) * prior.variance + share * (1 - share) * distance * distance };
}

std::uint64_t serviceKey(const RequestShape& request) { return hashText(request.service); }

std::uint64_t routeKey(const RequestShape& request) { return hashText(request.route, serviceKey(request)); }

/** Returns the keys of a request's histories, the widest first. */
std::array<std::uint64_t, 3> keysOf(const RequestShape& request)
{
    // A request without a workspace has a history of its own beside those of the workspaces.
    const auto route = routeKey(request);
    return { serviceKey(request), route, hashText(request.workspace, route + 1) };
}

bool hasTokens(const RequestShape& request) { return request.promptTokens || request.maxOutputTokens; }

double boundTimeBy(const DecayedLine& line, double x, double ms, TimePoint now)
{
    return line.weight(now) < kMinServiceAnswers ? ms : std::min(ms, kMaxTimeRatio * line.at(x));
}

} // namespace

CostModel::History::History(std::uint64_t historyKey)
    : key { historyKey }
    , logTokens { kAveragingTime, kMaxAnswers }
    , logHintError { kAveragingTime, kMaxAnswers }
    , uncontendedMs { kAveragingTime, kMaxAnswers }
{
}

CostModel::ServiceTimes::ServiceTimes()
    : firstEvent { kAveragingTime, kMaxAnswers }
    , token { kAveragingTime, kMaxAnswers }
{
}

CostModel::CostModel(const Clock& hostClock)
    : clock { hostClock }
{
}

const CostModel::History* CostModel::find(std::uint64_t key) const
{
    const auto found = this->histories.find(key);
    return found == this->histories.end() ? nullptr : &found->second;
}

CostModel::History& CostModel::touch(std::uint64_t key)
{
    auto found = this->histories.find(key);
    if (found == this->histories.end()) {
        if (this->histories.size() >= kMaxHistories) {
            const auto oldest = this->recent.front().key;
            this->histories.erase(oldest);
        }
        found = this->histories.try_emplace(key, key).first;
    }
    auto& history = found->second;
    history.unlink();
    this->recent.push_back(history);
    return history;
}

Estimate CostModel::estimateTokens(const RequestShape& request) const
{
    if (!hasTokens(request))
        return {};
    const auto now = this->clock.now();
    const auto firstTokens
        = request.maxOutputTokens ? std::max(kFirstTokenShare * *request.maxOutputTokens, 1.0) : kFirstTokens;
    Normal tokens { std::log(firstTokens), kFirstTokenDeviation * kFirstTokenDeviation };
    Normal hintError { 0, kFirstHintDeviation * kFirstHintDeviation };
    for (const auto key : keysOf(request)) {
        if (const auto* history = this->find(key)) {
            tokens = join(tokens, history->logTokens, now);
            hintError = join(hintError, history->logHintError, now);
        }
    }
    if (request.hintedOutputTokens) {
        // Both tell of the same length, each with its own error: their weights are the inverse variances.
        const auto hinted = std::log(std::max<double>(*request.hintedOutputTokens, 1)) + hintError.mean;
        const auto variance = tokens.variance + hintError.variance;
        const auto share = variance > 0 ? tokens.variance / variance : 0;
        tokens = { tokens.mean + share * (hinted - tokens.mean), (1 - share) * tokens.variance };
    }
    const auto mean = std::exp(tokens.mean + tokens.variance / 2);
    auto deviation = mean * std::sqrt(std::expm1(tokens.variance));
    if (!request.maxOutputTokens)
        return { mean, deviation };
    const double limit = *request.maxOutputTokens;
    // A value between zero and a limit is off by half of the limit at most.
    return { std::min(mean, limit), std::min(deviation, limit / 2) };
}

Estimate CostModel::estimateShortMs(const RequestShape& request) const
{
    const auto now = this->clock.now();
    Normal ms { kFirstShortMs, kFirstShortMs * kFirstShortMs };
    for (const auto key : keysOf(request)) {
        const auto* history = this->find(key);
        if (history == nullptr)
            continue;
        if (history->uncontendedMs.weight(now) < kMinWeight) {
            if (history->shortestMs)
                ms.mean = std::min(ms.mean, *history->shortestMs);
            continue;
        }
        ms = join(ms, history->uncontendedMs, now);
    }
    return { ms.mean, std::sqrt(ms.variance) };
}

CostEstimate CostModel::estimate(const RequestShape& request) const
{
    CostEstimate cost;
    cost.isLearned = this->find(serviceKey(request)) != nullptr || this->find(routeKey(request)) != nullptr;
    if (!hasTokens(request)) {
        cost.slotMs = this->estimateShortMs(request);
        return cost;
    }
    cost.promptTokens = request.promptTokens.value_or(0);
    cost.outputTokens = this->estimateTokens(request);
    const auto first = this->firstEventMs(request.service, cost.promptTokens);
    const auto perToken = this->tokenMs(request.service, 0);
    const auto firstMs = first.value_or(kFirstShortMs);
    cost.slotMs.mean = firstMs + perToken.value_or(1) * cost.outputTokens.mean;
    cost.slotMs.deviation = perToken.value_or(1) * cost.outputTokens.deviation;
    return cost;
}

void CostModel::recordAnswer(const RequestShape& request, const AnswerObservation& answer)
{
    const auto now = this->clock.now();
    for (const auto key : keysOf(request)) {
        auto& history = this->touch(key);
        if (!hasTokens(request)) {
            history.shortestMs = std::min(history.shortestMs.value_or(answer.totalMs), answer.totalMs);
            if (answer.hadFreeSlot)
                history.uncontendedMs.record(answer.totalMs, now);
        } else if (answer.outputTokens && *answer.outputTokens >= 1) {
            const auto logTokens = std::log(*answer.outputTokens);
            history.logTokens.record(logTokens, now);
            if (request.hintedOutputTokens)
                history.logHintError.record(
                    logTokens - std::log(std::max<double>(*request.hintedOutputTokens, 1)), now);
        }
    }
    if (!hasTokens(request))
        return;
    const auto key = serviceKey(request);
    if (!this->services.contains(key) && this->services.size() >= kMaxServices)
        this->services.clear();
    auto& times = this->services.try_emplace(key).first->second;
    times.firstEvent.record(
        answer.pendingTokens, boundTimeBy(times.firstEvent, answer.pendingTokens, answer.firstEventMs, now), now);
    if (!answer.outputTokens || *answer.outputTokens < 2)
        return;
    const auto perToken = (answer.totalMs - answer.firstEventMs) / (*answer.outputTokens - 1);
    times.token.record(answer.load, boundTimeBy(times.token, answer.load, perToken, now), now);
}

void CostModel::recordAnswer(const RequestShape& request, const AnswerObservation& answer, EndpointPace& pace)
{
    const auto now = this->clock.now();
    if (!hasTokens(request)) {
        if (this->find(serviceKey(request)) != nullptr) {
            // Above its slots, an endpoint answers in the order of arrival.
            const auto rounds = answer.slots > 0 ? std::max((answer.load + 1) / answer.slots, 1.0) : 1.0;
            const auto expectedMs = rounds * this->estimateShortMs(request).mean;
            pace.recordAnswer(answer.totalMs / std::max(expectedMs, kMinExpectedMs), now);
        }
    } else if (answer.outputTokens && *answer.outputTokens >= 2) {
        if (const auto expectedMs = this->tokenMs(request.service, answer.load)) {
            const auto tokens = *answer.outputTokens - 1;
            const auto ms = answer.totalMs - answer.firstEventMs;
            pace.recordAnswer(ms / std::max(tokens * *expectedMs, kMinExpectedMs), now);
        }
    }
    this->recordAnswer(request, answer);
}

void CostModel::recordFirstEvent(
    std::string_view service, double pendingTokens, double firstEventMs, EndpointPace& pace) const
{
    if (const auto expectedMs = this->firstEventMs(service, pendingTokens))
        pace.recordAnswer(firstEventMs / std::max(*expectedMs, kMinExpectedMs), this->clock.now());
}

std::optional<double> CostModel::firstEventMs(std::string_view service, double pendingTokens) const
{
    const auto found = this->services.find(hashText(service));
    if (found == this->services.end() || found->second.firstEvent.weight(this->clock.now()) < kMinServiceAnswers)
        return std::nullopt;
    return found->second.firstEvent.at(pendingTokens);
}

std::optional<double> CostModel::tokenMs(std::string_view service, double load) const
{
    const auto found = this->services.find(hashText(service));
    if (found == this->services.end() || found->second.token.weight(this->clock.now()) < kMinServiceAnswers)
        return std::nullopt;
    return found->second.token.at(load);
}

} // namespace berylwing
