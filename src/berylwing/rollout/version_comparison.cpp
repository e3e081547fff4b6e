#include "berylwing/rollout/version_comparison.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

/** Odds by which bad answers are more frequent at a bad version; a lower multiple counts as chance. */
constexpr double kOddsRatio = 5;
/** Answers of the other versions that make a step of the test. */
constexpr double kMinOthers = 10;
/** Time after which a step goes on without any. */
constexpr Duration kMaxSilentTime { 1000 };
/** Time after which a step goes on with fewer. */
constexpr Duration kMaxStepTime { 4000 };
/** Answers of the other versions that are remembered for that. */
constexpr double kMaxRecentOthers = 400;
/** Lowest frequency of failures of other versions that is assumed without their answers. */
constexpr double kMinFailureRate = 0.02;
/** Part of the weight that one part of the endpoints can add, if others can add theirs. */
constexpr double kMaxPartOfScore = 0.4;

std::uint64_t growth(std::uint64_t now, std::uint64_t before) { return now > before ? now - before : 0; }

} // namespace

VersionComparison::Sample VersionComparison::sampleOf(
    Kind kind, const EvidenceCounts& counts, const EvidenceCounts& before)
{
    const bool isSlow = kind == Kind::Slow;
    const auto answers = isSlow ? growth(counts.timed, before.timed) : growth(counts.answers, before.answers);
    const auto bad = isSlow ? growth(counts.slow, before.slow) : growth(counts.failures, before.failures);
    return { static_cast<double>(answers), static_cast<double>(std::min(bad, answers)) };
}

void VersionComparison::update(const Evidence& evidence, TimePoint now)
{
    for (const auto& [key, counts] : evidence.counts) {
        if (key.part > EvidenceKey::kTrialParts)
            continue;
        auto& before = this->known.counts[key];
        auto& tests = this->routes[key.route].tests;
        for (std::size_t kind = 0; kind < kKinds; ++kind) {
            const auto sample = sampleOf(static_cast<Kind>(kind), counts, before);
            auto& test = tests.at(kind);
            if (test.steppedAt == TimePoint {})
                test.steppedAt = now;
            auto& target = key.part == EvidenceKey::kOtherVersions ? test.others : test.parts.at(key.part - 1).sample;
            target.answers += sample.answers;
            target.bad += sample.bad;
        }
        // A sum falls for a while if the report of a group is missing; what it held before is not counted again.
        before = { std::max(before.answers, counts.answers), std::max(before.failures, counts.failures),
            std::max(before.timed, counts.timed), std::max(before.slow, counts.slow) };
    }
    this->highestScore = 0;
    for (auto& [route, tests] : this->routes) {
        for (std::size_t kind = 0; kind < kKinds; ++kind) {
            step(tests.tests.at(kind), static_cast<Kind>(kind), now);
            this->highestScore = std::max(this->highestScore, scoreOf(tests.tests.at(kind)));
        }
    }
    this->hasFailed = this->hasFailed || this->highestScore >= kBadScore;
}

void VersionComparison::step(Test& test, Kind kind, TimePoint now)
{
    const auto elapsed = now - test.steppedAt;
    const bool hasOthers = test.others.answers >= kMinOthers || (test.others.answers > 0 && elapsed >= kMaxStepTime);
    const bool isSilent = test.others.answers == 0 && elapsed >= kMaxSilentTime;
    if (!hasOthers && !isSilent)
        return;
    test.steppedAt = now;
    // Without the others' answers a trouble of all endpoints looks like slowness of the version, but only a bad version
    // fails at many endpoints that can be reached.
    const bool isCompared = hasOthers || kind == Kind::Failure;
    const auto rate = std::max(kMinFailureRate, test.recentOthers.bad / std::max(test.recentOthers.answers, 1.0));
    for (auto& part : test.parts) {
        const auto answers = part.sample.answers;
        const auto bad = part.sample.bad;
        part.isUsed = part.isUsed || answers > 0;
        part.sample = {};
        if (answers == 0 || !isCompared)
            continue;
        if (hasOthers) {
            const auto all = answers + test.others.answers;
            const auto weighted = kOddsRatio * answers + test.others.answers;
            part.weight += bad * std::log(kOddsRatio * all / weighted) + test.others.bad * std::log(all / weighted);
        } else {
            const auto badRate = kOddsRatio * rate / (1 + (kOddsRatio - 1) * rate);
            part.weight += bad * std::log(badRate / rate) + (answers - bad) * std::log((1 - badRate) / (1 - rate));
        }
        part.weight = std::max(part.weight, 0.0);
    }
    const auto kept = std::max(0.0, 1 - test.others.answers / kMaxRecentOthers);
    test.recentOthers.answers = kept * test.recentOthers.answers + test.others.answers;
    test.recentOthers.bad = kept * test.recentOthers.bad + test.others.bad;
    test.others = {};
}

double VersionComparison::scoreOf(const Test& test)
{
    const auto used = std::count_if(test.parts.begin(), test.parts.end(), [](const Part& part) { return part.isUsed; });
    // With one or two parts of the endpoints in use, these have to suffice.
    const auto largest = kBadScore * std::max(kMaxPartOfScore, 1.0 / static_cast<double>(std::max<long>(used, 1)));
    double score = 0;
    for (const auto& part : test.parts)
        score += std::min(part.weight, largest);
    return score;
}

} // namespace berylwing
