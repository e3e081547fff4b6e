#include "support/fault_matrix.hpp"
#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kFaultDuration { 6000 };
constexpr Duration kAnswerTimeout { 25'000 };
constexpr int kMaxResends = 40;

/** Sends one order, possibly several times, and checks the answers against the runs at the endpoint. */
class OrderHistory {
public:
    explicit OrderHistory(TestFleet& testFleet)
        : fleet { testFleet }
        , key { testFleet.newKey() }
    {
    }

    std::shared_ptr<CallerAnswer> send(const std::string& host)
    {
        auto request = orderRequest(this->key);
        request.requestId += "-" + std::to_string(this->sends.size());
        auto answer = this->fleet.request(host, request);
        this->sends.push_back({ request.requestId, answer });
        return answer;
    }

    /** Resends the order to one host after another until the answer is anything but "not run". */
    bool resendUntilDefinite()
    {
        for (int index = 0; index < kMaxResends; ++index) {
            const auto hosts = this->fleet.hosts();
            const auto answer = this->send(hosts[static_cast<std::size_t>(index) % hosts.size()]);
            if (!this->fleet.advanceUntil([&answer] { return answer->isFinished; }, kAnswerTimeout))
                return false;
            if (!answer->isNotRun())
                return true;
            this->fleet.advance(Duration { 500 });
        }
        return false;
    }

    void check() const
    {
        CHECK(this->fleet.endpoints.countRuns(this->key) <= 1);
        for (const auto& send : this->sends) {
            const auto found = this->fleet.endpoints.attemptsByRequest.find(send.requestId);
            const int attempts = found == this->fleet.endpoints.attemptsByRequest.end() ? 0 : found->second;
            CHECK(attempts <= 1);
            if (send.answer->isNotRun())
                CHECK(attempts == 0);
            if (send.answer->isComplete()) {
                CHECK(this->fleet.endpoints.countRuns(this->key) == 1);
                CHECK(send.answer->body == "recorded " + this->key);
            }
        }
    }

private:
    struct Send {
        std::string requestId;
        std::shared_ptr<CallerAnswer> answer;
    };

    TestFleet& fleet;
    std::string key;
    std::vector<Send> sends;
};

FleetPlan orderPlan()
{
    FleetPlan plan;
    plan.enginesPerDomain = 0;
    return plan;
}

} // namespace

TEST_CASE("An order runs at most once under each fault at each step", "[ledger][matrix]")
{
    int cells = 0;
    int reached = 0;
    forEachCell([&](Step step, Fault fault) {
        INFO("step " << kStepNames[step] << ", fault " << kFaultNames[fault]);
        TestFleet fleet;
        startFleet(fleet, orderPlan());
        OrderHistory order { fleet };
        {
            FaultCell cell { fleet, step, fault, "knox-orders-0" };
            const auto first = order.send("chatt-0");
            fleet.advance(kFaultDuration);
            cell.end();
            reached += cell.wasReached() ? 1 : 0;
            fleet.advance(kFaultDuration);
        }
        CHECK(order.resendUntilDefinite());
        fleet.advance(kFaultDuration);
        order.check();
        ++cells;
    });
    std::cout << "matrix at-most-once: " << cells << " cells run, " << reached << " reached their step\n";
    CHECK(reached > cells / 2);
}

TEST_CASE("A resend of a running order waits and receives the same answer", "[ledger]")
{
    TestFleet fleet;
    startFleet(fleet, orderPlan());
    fleet.endpoints.serviceTime = Duration { 1000 };
    OrderHistory order { fleet };
    const auto first = order.send("knox-0");
    fleet.advance(Duration { 300 });
    const auto second = order.send("chatt-1");
    fleet.advance(Duration { 3000 });
    CHECK(first->isComplete());
    CHECK(second->isComplete());
    order.check();
}

TEST_CASE("An order during a long platform outage is rejected as not run and can run afterwards", "[ledger]")
{
    TestFleet fleet;
    startFleet(fleet, orderPlan());
    fleet.platform.failureMode = PlatformFailureMode::Down;
    OrderHistory order { fleet };
    const auto refused = order.send("knox-0");
    fleet.advance(Duration { 600'000 });
    REQUIRE(refused->isNotRun());
    CHECK(*refused->outcome.reason == Refusal::LedgerUnavailable);
    CHECK(refused->outcome.retryAfter > Duration {});
    fleet.platform.failureMode = PlatformFailureMode::None;
    CHECK(order.resendUntilDefinite());
    order.check();
}

TEST_CASE("An idempotency key that is reused for another request is rejected", "[ledger]")
{
    TestFleet fleet;
    startFleet(fleet, orderPlan());
    const auto key = fleet.newKey();
    const auto first = fleet.request("knox-0", orderRequest(key, "forty packs"));
    fleet.advance(Duration { 2000 });
    const auto second = fleet.request("knox-1", orderRequest(key, "fifty packs"));
    fleet.advance(Duration { 2000 });
    CHECK(first->isComplete());
    REQUIRE(second->isNotRun());
    CHECK(*second->outcome.reason == Refusal::KeyReusedForOtherRequest);
    CHECK(fleet.endpoints.countRuns(key) == 1);
}

TEST_CASE("An idempotency key older than the lifetime of claims is rejected", "[ledger]")
{
    TestFleet fleet;
    startFleet(fleet, orderPlan());
    const auto answer = fleet.request("knox-0", orderRequest("00000000-0001-7000-8000-000000000001"));
    fleet.advance(Duration { 2000 });
    REQUIRE(answer->isNotRun());
    CHECK(*answer->outcome.reason == Refusal::ExpiredIdempotencyKey);
}

// Guards against orders that ran and are answered with a status by which a host promises that they did not.
TEST_CASE("An order whose endpoint answers with a status of a rejection is reported as possibly run", "[ledger]")
{
    for (const unsigned status : { 408, 421, 429, 503 }) {
        CAPTURE(status);
        TestFleet fleet;
        startFleet(fleet, orderPlan());
        for (const auto* name : { "knox-orders-0", "chatt-orders-0" })
            fleet.endpoints.at(name).status = status;
        OrderHistory order { fleet };
        const auto first = order.send("knox-0");
        fleet.advance(Duration { 3000 });
        REQUIRE(first->isFinished);
        CHECK_FALSE(first->isComplete());
        CHECK(first->outcome.execution == Execution::Unknown);
        const auto second = order.send("knox-1");
        fleet.advance(Duration { 3000 });
        REQUIRE(second->isFinished);
        CHECK_FALSE(second->isComplete());
        CHECK(second->outcome.execution == Execution::Unknown);
        order.check();
    }
}

// Guards against a host that collects an answer without end until its memory is used up.
TEST_CASE("An order whose answer does not end is given up after a bounded number of bytes", "[ledger][endless]")
{
    constexpr std::size_t kMaxBytesRead = 4 * 1024 * 1024;
    TestFleet fleet;
    startFleet(fleet, orderPlan());
    for (const auto* name : { "knox-orders-0", "chatt-orders-0" })
        fleet.endpoints.at(name).isAnswerEndless = true;
    OrderHistory order { fleet };
    const auto answer = order.send("knox-0");
    fleet.advance(Duration { 8000 });
    REQUIRE(answer->isFinished);
    CHECK_FALSE(answer->isComplete());
    CHECK(answer->outcome.execution == Execution::Unknown);
    CHECK(fleet.endpoints.at("knox-orders-0").endlessBytes + fleet.endpoints.at("chatt-orders-0").endlessBytes
        <= kMaxBytesRead);
    order.check();
}
