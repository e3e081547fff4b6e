#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };
constexpr Duration kConnectTime { 100 };

} // namespace

// Guards against work for callers that have left, which may ask again elsewhere while it goes on.
TEST_CASE("A request whose caller leaves while the connection to an endpoint opens is not sent", "[gateway][once]")
{
    for (const std::string path : { "/order/1", "/chat/1", "/status/1" }) {
        CAPTURE(path);
        GatewayHarness harness;
        harness.putPlan(GatewayHarness::makePlan(1));
        harness.putEndpoint("a", "knox-a");
        harness.advance(kSettleDelay);
        harness.connectTime = kConnectTime;
        const auto answer = harness.sendRequest("one", path);
        harness.advance(kConnectTime / 2);
        harness.disconnectCaller();
        harness.advance(kConnectTime + kSettleDelay);
        CHECK(harness.connectionCounts["a"] == 1);
        CHECK(harness.countRuns("one") == 0);
        CHECK(answer->isCallerGone);
    }
}
