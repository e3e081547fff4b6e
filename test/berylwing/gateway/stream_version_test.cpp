#include "support/gateway_harness.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time in which an entry of the store is in force. */
constexpr Duration kSettleDelay { 500 };
/** Longest time for which a stream of the plan's chat route can be open, and for which endpoints that left count. */
constexpr Duration kStreamLifetime { 20'000 };

/** Gateway with one endpoint, of the first version, that breaks off its streams after the second event. */
class VersionHarness : public GatewayHarness {
public:
    VersionHarness()
    {
        this->putPlan(makePlan(1));
        this->putEndpointOfVersion("a", "v1");
        this->behaviors["a"] = EndpointBehavior::BreakInStream;
        this->advance(kSettleDelay);
    }

    /** Begins a chat, and changes the endpoints before it breaks off. */
    template <typename Change> std::shared_ptr<Answer> beginChat(const std::string& attemptId, const Change& change)
    {
        this->answerTime = 2 * kSettleDelay;
        auto answer = this->sendRequest(attemptId);
        change();
        this->advance(kSettleDelay);
        this->answerTime = Duration { 20 };
        this->advance(2 * kSettleDelay);
        return answer;
    }

    /** Returns the endpoint that got an attempt last; empty if none did. */
    [[nodiscard]] std::string endpointOf(const std::string& attemptId) const
    {
        const auto found = std::find_if(this->receivedRequests.rbegin(), this->receivedRequests.rend(),
            [&attemptId](const ReceivedRequest& request) { return request.attemptId == attemptId; });
        return found == this->receivedRequests.rend() ? std::string {} : found->endpoint;
    }
};

bool isRefused(const GatewayHarness::Answer& answer, Refusal reason)
{
    return answer.outcome && answer.outcome->reason == reason && answer.outcome->execution == Execution::NotRun;
}

} // namespace

// Guards against streams whose events come from two software versions within one answer (ORDER).
TEST_CASE("A stream that breaks off goes on at an endpoint of the version that began it", "[gateway][versions]")
{
    VersionHarness harness;
    const auto answer = harness.beginChat("one", [&harness] {
        harness.putEndpointOfVersion("b", "v2");
        harness.putEndpointOfVersion("c", "v1");
    });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(harness.endpointOf("one") == "c");
}

TEST_CASE("A stream that breaks off ends if no endpoint of its version is left", "[gateway][versions]")
{
    VersionHarness harness;
    const auto answer = harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->reason == Refusal::NoEndpointOfVersion);
    CHECK(answer->outcome->execution == Execution::Unknown);
    CHECK(harness.endpointOf("one") == "a");
    harness.behaviors["a"] = EndpointBehavior::Refuse;
    const auto other = harness.sendAndWait("two");
    CHECK(other->outcome->isComplete());
}

// Guards against streams whose events come from two software versions over a caller's attempts (ORDER).
TEST_CASE("A stream that its caller takes up goes on at the version that began it", "[gateway][versions]")
{
    VersionHarness harness;
    harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    harness.putEndpointOfVersion("c", "v1");
    harness.behaviors["a"] = EndpointBehavior::Refuse;
    harness.advance(kSettleDelay);
    const auto answer = harness.resumeChat("two", "one", "2");
    harness.advance(kSettleDelay);
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(answer->body == "id: 3\ndata: c\n\n");
    CHECK(harness.endpointOf("two") == "c");
}

TEST_CASE("A stream that is taken up again and again stays at the version that began it", "[gateway][versions]")
{
    VersionHarness harness;
    harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    harness.putEndpointOfVersion("c", "v1");
    harness.behaviors["c"] = EndpointBehavior::BreakInStream;
    harness.remove(ObjectKind::Endpoint, "a");
    harness.advance(kSettleDelay);
    for (const std::string attempt : { "two", "three", "four" }) {
        const auto answer = harness.resumeChat(attempt, "one", "2");
        harness.advance(kSettleDelay);
        CHECK(harness.endpointOf(attempt) == "c");
    }
}

TEST_CASE("A stream of unknown origin is refused while endpoints of two versions serve", "[gateway][versions]")
{
    VersionHarness harness;
    harness.putEndpointOfVersion("b", "v2");
    harness.advance(kSettleDelay);
    const auto unknown = harness.resumeChat("two", "elsewhere", "2");
    const auto unnamed = harness.resumeChat("three", "", "2");
    harness.advance(kSettleDelay);
    CHECK(isRefused(*unknown, Refusal::StreamVersionUnknown));
    CHECK(isRefused(*unnamed, Refusal::StreamVersionUnknown));
    CHECK(harness.endpointOf("two").empty());
    CHECK(harness.endpointOf("three").empty());
    CHECK(unknown->outcome->retryAfter > Duration {});
}

TEST_CASE("A stream of unknown origin goes on while all endpoints run one version", "[gateway][versions]")
{
    VersionHarness harness;
    harness.behaviors["a"] = EndpointBehavior::Answer;
    harness.advance(kStreamLifetime);
    for (const std::string origin : { "elsewhere", "" }) {
        const auto answer = harness.resumeChat("two" + origin, origin, "2");
        harness.advance(kSettleDelay);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
    }
}

TEST_CASE("A stream of unknown origin is refused shortly after the last endpoint of another version has left",
    "[gateway][versions]")
{
    VersionHarness harness;
    harness.putEndpointOfVersion("b", "v2");
    harness.advance(kSettleDelay);
    harness.remove(ObjectKind::Endpoint, "a");
    harness.advance(kSettleDelay);
    const auto early = harness.resumeChat("two", "elsewhere", "2");
    harness.advance(kStreamLifetime);
    CHECK(isRefused(*early, Refusal::StreamVersionUnknown));
    const auto late = harness.resumeChat("three", "elsewhere", "2");
    harness.advance(kSettleDelay);
    REQUIRE(late->outcome);
    CHECK(late->outcome->isComplete());
}

TEST_CASE("A stream whose version has no endpoint is refused, and new streams begin", "[gateway][versions]")
{
    VersionHarness harness;
    harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    harness.remove(ObjectKind::Endpoint, "a");
    harness.advance(kSettleDelay);
    const auto answer = harness.resumeChat("two", "one", "2");
    const auto fresh = harness.sendRequest("three");
    harness.advance(kSettleDelay);
    CHECK(isRefused(*answer, Refusal::NoEndpointOfVersion));
    REQUIRE(fresh->outcome);
    CHECK(fresh->outcome->isComplete());
}

TEST_CASE("A stream is refused as at the bound if the endpoints of its version take none now", "[gateway][versions]")
{
    VersionHarness harness;
    harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    harness.behaviors["a"] = EndpointBehavior::Shed;
    const auto answer = harness.resumeChat("two", "one", "2");
    harness.advance(kSettleDelay);
    CHECK(isRefused(*answer, Refusal::EndpointAtBound));
}

TEST_CASE(
    "A stream does not go on if its endpoint's entry changes its version while the call is open", "[gateway][versions]")
{
    VersionHarness harness;
    const auto answer = harness.beginChat("one", [&harness] {
        harness.putEndpointOfVersion("a", "v2");
        harness.putEndpointOfVersion("c", "v1");
    });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->reason == Refusal::NoEndpointOfVersion);
    const auto again = harness.resumeChat("two", "one", "2");
    harness.advance(kSettleDelay);
    CHECK(isRefused(*again, Refusal::StreamVersionUnknown));
}

TEST_CASE(
    "A stream is not taken up at an endpoint whose id another version takes over meanwhile", "[gateway][versions]")
{
    for (const bool isConnecting : { true, false }) {
        CAPTURE(isConnecting);
        VersionHarness harness;
        harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
        harness.behaviors["a"] = EndpointBehavior::Answer;
        (isConnecting ? harness.connectTime : harness.answerTime) = 2 * kSettleDelay;
        const auto answer = harness.resumeChat("two", "one", "2");
        harness.putEndpointOfVersion("a", "v2");
        harness.advance(4 * kSettleDelay);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->reason == Refusal::NoEndpointOfVersion);
        CHECK(answer->body.empty());
        CHECK(harness.countRuns("two") == (isConnecting ? 0 : 1));
    }
}

TEST_CASE("A request that brought no event may run at any version", "[gateway][versions]")
{
    VersionHarness harness;
    harness.behaviors["a"] = EndpointBehavior::Break;
    const auto answer = harness.beginChat("one", [&harness] { harness.putEndpointOfVersion("b", "v2"); });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(harness.endpointOf("one") == "b");
}
