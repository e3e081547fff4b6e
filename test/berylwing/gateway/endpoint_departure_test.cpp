#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };
constexpr const char* kEndpoint = "knox-a-1";

/** Lists what happens to the entry of an endpoint with answers in progress. */
enum class Departure {
    Drained,
    Removed,
    Expired,
    Replaced,
    DomainWithdrawn,
};

void depart(GatewayHarness& harness, Departure departure)
{
    switch (departure) {
    case Departure::Drained:
        harness.putEndpoint(kEndpoint, "knox-a", true);
        return;
    case Departure::Removed:
        harness.remove(ObjectKind::Endpoint, kEndpoint);
        return;
    case Departure::Expired:
        harness.platform.failureMode = PlatformFailureMode::Down;
        harness.advance(Duration { 200 });
        harness.remove(ObjectKind::Endpoint, kEndpoint);
        harness.platform.failureMode = PlatformFailureMode::None;
        return;
    case Departure::Replaced:
        harness.platform.store.write(ObjectKind::Endpoint, kEndpoint,
            { { "service", "engines" }, { "domain", "knox-a" }, { "draining", false }, { "cold_ms", 0 },
                { "started_at", 2 } });
        return;
    case Departure::DomainWithdrawn:
        harness.platform.store.write(ObjectKind::FailureDomain, "knox-a", nlohmann::json::object());
        return;
    }
}

} // namespace

TEST_CASE(
    "Answers in progress go on when the entry of their endpoint drains, vanishes or is replaced", "[gateway][drain]")
{
    for (const auto departure : { Departure::Drained, Departure::Removed, Departure::Expired, Departure::Replaced,
             Departure::DomainWithdrawn }) {
        GatewayHarness harness;
        harness.putPlan(GatewayHarness::makePlan(1));
        harness.putEndpoint(kEndpoint, "knox-a");
        harness.advance(kSettleDelay);
        harness.eventInterval = Duration { 1200 };
        std::vector<std::shared_ptr<GatewayHarness::Answer>> begun;
        for (const auto* path : { "/chat/1", "/order/1", "/status/1", "/open/1" })
            begun.push_back(harness.sendRequest(path, path));
        harness.advance(Duration { 1400 });
        std::vector<std::shared_ptr<GatewayHarness::Answer>> unanswered;
        harness.answerTime = Duration { 2500 };
        for (const auto* path : { "/chat/2", "/order/2", "/status/2" })
            unanswered.push_back(harness.sendRequest(path, path));
        harness.eventInterval = Duration { 700 };
        harness.advance(Duration { 50 });
        depart(harness, departure);
        harness.putEndpoint("knox-b-1", "knox-b");
        harness.advance(Duration { 6000 });
        for (const auto& answers : { begun, unanswered }) {
            for (const auto& answer : answers) {
                INFO("departure " << static_cast<int>(departure));
                REQUIRE(answer->outcome);
                CHECK(answer->outcome->isComplete());
                CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
            }
        }
        for (const auto& request : harness.receivedRequests)
            CHECK(harness.countRuns(request.attemptId) == 1);
    }
}
