#include "soak/fault_plan.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace berylwing;
using namespace berylwing::test;

TEST_CASE("A fault plan depends on its seed only and stays within its window", "[soak]")
{
    constexpr Duration kSpan { 15'000 };
    const auto first = planFaults(7, kSpan, Duration { 500 });
    const auto second = planFaults(7, kSpan, Duration { 500 });
    REQUIRE(first.size() == second.size());
    CHECK(first.size() > 15);
    for (std::size_t index = 0; index < first.size(); ++index) {
        CHECK(first[index].kind == second[index].kind);
        CHECK(first[index].at == second[index].at);
        CHECK(first[index].at < kSpan);
    }
    for (const auto& fault : planFaults(7, kSpan, Duration { 500 }, Duration { 700 }))
        CHECK((fault.length >= Duration { 100 } && fault.length <= Duration { 700 }));
    CHECK(std::is_sorted(first.begin(), first.end(),
        [](const PlannedFault& left, const PlannedFault& right) { return left.at < right.at; }));
}

TEST_CASE("Fault plans contain every kind, overlapping and repeated", "[soak]")
{
    std::set<SoakFault> kinds;
    bool overlaps = false;
    bool repeats = false;
    for (std::uint32_t seed = 1; seed <= 50; ++seed) {
        const auto plan = planFaults(seed, Duration { 15'000 }, Duration { 500 });
        for (std::size_t index = 0; index < plan.size(); ++index) {
            kinds.insert(plan[index].kind);
            for (std::size_t next = index + 1; next < plan.size(); ++next) {
                overlaps = overlaps || plan[next].at < plan[index].at + plan[index].length;
                repeats = repeats || (plan[next].kind == plan[index].kind && plan[next].target == plan[index].target);
            }
        }
    }
    CHECK(kinds.size() == kSoakFaultKinds);
    CHECK(overlaps);
    CHECK(repeats);
}
