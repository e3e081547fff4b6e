#include "berylwing/gateway/fleet_retry_budget.hpp"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>

namespace {

using namespace berylwing;

constexpr std::size_t kHosts = 7;
constexpr FleetRetryLimits kLimits { 0.2, 54, Duration { 10'000 } };
constexpr Duration kStep { 50 };

} // namespace

TEST_CASE("FleetRetryBudget keeps the retries of all hosts within the fleet's limit while every request fails",
    "[gateway][retry]")
{
    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { context.get_executor(), [&time] { return time; } };
    std::vector<std::unique_ptr<FleetRetryBudget>> hosts;
    for (std::size_t number = 0; number < kHosts; ++number)
        hosts.push_back(std::make_unique<FleetRetryBudget>(clock, kLimits, [] { return kHosts; }));
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const auto end = time + Duration { 40'000 };
    // Traffic with a pause of nine seconds in the middle; one host receives five times as many requests as any other.
    for (; time < end; time += kStep) {
        const auto second = (end - time) / Duration { 1000 };
        const bool isPause = second > 15 && second < 25;
        for (std::size_t host = 0; host < kHosts && !isPause; ++host) {
            for (int request = 0; request < (host == 0 ? 5 : 1); ++request) {
                hosts[host]->recordRequest("engines");
                requests.push_back(time);
                if (hosts[host]->tryAcquire("engines"))
                    retries.push_back(time);
            }
        }
        while (!requests.empty() && requests.front() < time - kLimits.window)
            requests.pop_front();
        while (!retries.empty() && retries.front() < time - kLimits.window)
            retries.pop_front();
        const auto allowed = kLimits.ratio * static_cast<double>(requests.size()) + kLimits.minimum;
        REQUIRE(static_cast<double>(retries.size()) <= allowed);
    }
}

TEST_CASE("FleetRetryBudget has a separate budget for each service", "[gateway][retry]")
{
    boost::asio::io_context context { 1 };
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { context.get_executor(), [&time] { return time; } };
    FleetRetryBudget allowance { clock, { 0, 2.5, Duration { 10'000 } }, [] { return std::size_t { 1 }; } };
    CHECK(allowance.tryAcquire("engines"));
    CHECK(allowance.tryAcquire("engines"));
    CHECK_FALSE(allowance.tryAcquire("engines"));
    CHECK(allowance.tryAcquire("orders"));
    time += Duration { 10'001 };
    CHECK(allowance.tryAcquire("engines"));
}
