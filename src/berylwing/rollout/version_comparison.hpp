#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/rollout/evidence.hpp"
#include <array>
#include <cstdint>
#include <map>

namespace berylwing {

/**
 * @brief Sequential test of a version on trial against the other versions of its service, route by route.
 *
 * It answers the load of an order: few answers of the version on trial, beside troubles that hit all versions alike. A
 * bad answer weighs by how much likelier it is at a bad version than at one that is as good as the others, given how
 * many answers each side had in the same fraction of a second; how often answers are bad at that moment cancels out.
 * The sum of these weights never falls below zero, so that a version which turns bad late is found as soon as one that
 * was bad from the start. One endpoint alone never decides: each part of the endpoints adds only a part of the weight
 * that the verdict needs.
 */
class VersionComparison {
    /** Kinds of bad answers, which are compared each on its own. */
    enum class Kind {
        Failure,
        Slow,
    };

    static constexpr std::size_t kKinds = 2;

    /** Answers of one kind of one side since the last step of the test. */
    struct Sample {
        double answers = 0;
        double bad = 0;
    };

    struct Part {
        Sample sample;
        double weight = 0;
        bool isUsed = false;
    };

    /** Test of one kind of bad answers on one route. */
    struct Test {
        Sample others;
        std::array<Part, EvidenceKey::kTrialParts> parts;
        /** Answers of the other versions in the last steps, which stand for them once they get no more. */
        Sample recentOthers;
        TimePoint steppedAt {};
    };

    struct RouteTests {
        std::array<Test, kKinds> tests;
    };

    static Sample sampleOf(Kind kind, const EvidenceCounts& counts, const EvidenceCounts& before);
    static void step(Test& test, Kind kind, TimePoint now);
    static double scoreOf(const Test& test);

public:
    /** Weight at which a version counts as bad; a good one reaches it in about 1 of 10,000 tests. */
    static constexpr double kBadScore = 9.2;

    /** @brief Takes the evidence of all hosts. @param evidence Cumulative evidence. @param now Current time. */
    void update(const Evidence& evidence, TimePoint now);

    /** @brief Returns the highest weight of all tests. @return Weight; a version is bad from kBadScore on. */
    [[nodiscard]] double score() const noexcept { return this->highestScore; }

    /** @brief Checks if the version is bad. @return True once the evidence has sufficed. */
    [[nodiscard]] bool isBad() const noexcept { return this->hasFailed; }

    /** @brief Checks if the evidence points to a bad version without sufficing. @return True if so. */
    [[nodiscard]] bool isDoubtful() const noexcept { return this->highestScore >= kBadScore / 2; }

private:
    Evidence known;
    std::map<std::uint32_t, RouteTests> routes;
    double highestScore = 0;
    bool hasFailed = false;
};

} // namespace berylwing
