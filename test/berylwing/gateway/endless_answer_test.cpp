#include "support/gateway_harness.hpp"
#include <array>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };
/** Time in which callers learn of an answer that does not end; it is far below the timeouts of the routes. */
constexpr Duration kMaxDelay { 500 };
constexpr std::size_t kMaxBytesRead = 512 * 1024;

/** Gateway with three endpoints that all send bytes without end. */
class EndlessHarness : public GatewayHarness {
public:
    explicit EndlessHarness(EndpointBehavior behavior)
    {
        this->putPlan(makePlan(1));
        for (const auto* id : kIds) {
            this->putEndpoint(id, "knox-a");
            this->behaviors[id] = behavior;
        }
        this->advance(kSettleDelay);
    }

    /** Lets all endpoints answer normally, but not the requests that have reached them. */
    void repairEndpoints()
    {
        for (const auto* id : kIds)
            this->behaviors[id] = EndpointBehavior::Answer;
    }

    /** Checks that the host gave up each endless answer after a bounded number of bytes and closed its connection. */
    void checkEndlessRequests(EndpointBehavior behavior, std::size_t count)
    {
        INFO("behavior " << static_cast<int>(behavior));
        REQUIRE(this->receivedRequests.size() >= count);
        for (std::size_t request = 0; request < count; ++request) {
            CHECK(this->receivedRequests[request].bytesRead <= kMaxBytesRead);
            CHECK(this->receivedRequests[request].wasAborted);
        }
    }

private:
    static constexpr std::array kIds { "one", "two", "three" };
};

} // namespace

TEST_CASE("Gateway answers a retryable request from another endpoint if an answer does not end", "[gateway][endless]")
{
    for (const auto behavior : { EndpointBehavior::EndlessEvent, EndpointBehavior::EndlessRejection,
             EndpointBehavior::EndlessFailure, EndpointBehavior::EndlessUnsignedFailure }) {
        EndlessHarness harness { behavior };
        const auto begin = harness.time;
        const auto answer = harness.sendRequest("one", "/status/1");
        harness.repairEndpoints();
        harness.advance(kMaxDelay);
        harness.checkEndlessRequests(behavior, 1);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
        CHECK(answer->endedAt <= begin + kMaxDelay);
    }
}

TEST_CASE("Gateway continues a stream at another endpoint if an event does not end", "[gateway][endless]")
{
    EndlessHarness harness { EndpointBehavior::EndlessEvent };
    const auto answer = harness.sendRequest("one", "/chat/1");
    harness.repairEndpoints();
    harness.advance(kMaxDelay);
    harness.checkEndlessRequests(EndpointBehavior::EndlessEvent, 1);
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
}

TEST_CASE("Gateway tells the caller of an order in time that its answer does not end", "[gateway][endless]")
{
    for (const auto behavior : { EndpointBehavior::EndlessEvent, EndpointBehavior::EndlessUnsignedFailure }) {
        EndlessHarness harness { behavior };
        const auto answer = harness.sendRequest("order", "/order/1");
        harness.advance(kMaxDelay);
        harness.checkEndlessRequests(behavior, 1);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->execution == Execution::Unknown);
        CHECK(answer->status == 0);
        CHECK(harness.countRuns("order") == 1);
    }
}

TEST_CASE("Gateway reports an order as not run although the body of its rejection does not end", "[gateway][endless]")
{
    EndlessHarness harness { EndpointBehavior::EndlessRejection };
    const auto answer = harness.sendRequest("order", "/order/1");
    harness.advance(kMaxDelay);
    harness.checkEndlessRequests(EndpointBehavior::EndlessRejection, 3);
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::NotRun);
}
