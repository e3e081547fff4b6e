#include "support/gateway_harness.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };

/** Gateway whose endpoint with a call in progress gets no new connections. */
class SilentEndpointHarness : public GatewayHarness {
public:
    explicit SilentEndpointHarness(const std::vector<std::string>& endpoints = { "knox-a-1", "knox-a-2" })
    {
        auto plan = makePlan(1);
        auto once = *plan.findRoute("hooks.example", "/status/1");
        once.name = "once";
        once.pathPrefix = "/once/";
        once.maxAttempts = 1;
        plan.add(once);
        this->putPlan(plan);
        for (const auto& endpoint : endpoints)
            this->putEndpoint(endpoint, "knox-a");
        this->advance(kSettleDelay);
    }

    /** Sends a request and lets its endpoint fall silent to new connections, which other requests find out. */
    std::shared_ptr<Answer> sendAndSilence(const std::string& attemptId, const std::string& path)
    {
        auto answer = this->sendRequest(attemptId, path);
        this->advance(Duration { 150 });
        this->behaviors[this->receivedRequests.front().endpoint] = EndpointBehavior::Silent;
        this->answerTime = Duration { 20 };
        for (int request = 0; request < 8; ++request)
            static_cast<void>(this->sendRequest("other" + std::to_string(request), "/open/1"));
        return answer;
    }

    [[nodiscard]] bool isMoved(const std::string& attemptId) const { return this->countRuns(attemptId) > 1; }
};

bool isComplete(const GatewayHarness::Answer& answer) { return answer.outcome && answer.outcome->isComplete(); }

} // namespace

TEST_CASE("A call with no other endpoint to retry at outlasts the silence of its endpoint", "[gateway][silence]")
{
    SilentEndpointHarness harness { { "knox-a-1" } };
    harness.answerTime = Duration { 3000 };
    const auto answer = harness.sendAndSilence("one", "/status/1");
    harness.advance(Duration { 4000 });
    CHECK(isComplete(*answer));
}

TEST_CASE("A call in the last attempt of its route outlasts the silence of its endpoint", "[gateway][silence]")
{
    SilentEndpointHarness harness;
    harness.answerTime = Duration { 3000 };
    const auto answer = harness.sendAndSilence("one", "/once/1");
    harness.advance(Duration { 4000 });
    CHECK(isComplete(*answer));
}

TEST_CASE("A call without a retry left in the budget outlasts the silence of its endpoint", "[gateway][silence]")
{
    SilentEndpointHarness harness;
    GatewaySettings settings;
    settings.planLease = Duration { 5000 };
    settings.retries = { 0, 0, Duration { 10'000 } };
    harness.gateway->reload(settings);
    harness.answerTime = Duration { 3000 };
    const auto answer = harness.sendAndSilence("one", "/status/1");
    harness.advance(Duration { 4000 });
    CHECK(isComplete(*answer));
}

TEST_CASE("Silent calls beyond the retry budget stay at their endpoint", "[gateway][silence]")
{
    SilentEndpointHarness harness { { "knox-a-1" } };
    harness.answerTime = Duration { 3000 };
    std::vector<std::shared_ptr<GatewayHarness::Answer>> answers;
    answers.reserve(12);
    for (int request = 0; request < 12; ++request)
        answers.push_back(harness.sendRequest("call" + std::to_string(request), "/status/1"));
    harness.advance(Duration { 50 });
    GatewaySettings settings;
    settings.planLease = Duration { 5000 };
    settings.retries = { 0, 5, Duration { 10'000 } };
    harness.gateway->reload(settings);
    harness.behaviors["knox-a-1"] = EndpointBehavior::Silent;
    static_cast<void>(harness.sendRequest("other", "/open/1"));
    harness.advance(Duration { 300 });
    harness.putEndpoint("knox-a-2", "knox-a");
    harness.answerTime = Duration { 20 };
    harness.advance(Duration { 4000 });
    int moved = 0;
    for (int request = 0; request < 12; ++request) {
        CHECK(isComplete(*answers[static_cast<std::size_t>(request)]));
        moved += harness.isMoved("call" + std::to_string(request)) ? 1 : 0;
    }
    CHECK(moved > 0);
    CHECK(moved <= 5);
}

TEST_CASE("A stream that cannot be resumed outlasts the silence of its endpoint between events", "[gateway][silence]")
{
    SilentEndpointHarness harness;
    for (const auto* path : { "/status/1", "/order/1" }) {
        INFO(path);
        harness.eventInterval = Duration { 100 };
        harness.behaviors.clear();
        harness.receivedRequests.clear();
        const auto answer = harness.sendAndSilence(path, path);
        CHECK(answer->body == "id: 1\ndata: a\n\n");
        harness.eventInterval = Duration { 1600 };
        harness.advance(Duration { 5000 });
        CHECK(isComplete(*answer));
        CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
        CHECK(harness.countRuns(path) == 1);
        harness.advance(Duration { 5000 });
    }
}

TEST_CASE("A call whose request is quarantined outlasts the silence of its endpoint", "[gateway][silence]")
{
    const std::vector<std::string> endpoints { "knox-a-1", "knox-a-2", "knox-a-3", "knox-a-4", "knox-a-5", "knox-a-6" };
    SilentEndpointHarness harness { endpoints };
    harness.answerTime = Duration { 4000 };
    const auto answer = harness.sendRequest("one", "/status/1");
    const auto silent = harness.receivedRequests.front().endpoint;
    harness.answerTime = Duration { 20 };
    for (const auto& id : endpoints)
        harness.behaviors[id] = EndpointBehavior::Break;
    for (int request = 0; request < 4; ++request) {
        static_cast<void>(harness.sendRequest("crash" + std::to_string(request), "/status/1"));
        harness.advance(Duration { 100 });
    }
    harness.advance(Duration { 1500 });
    REQUIRE(harness.logText.find("\"event\":\"quarantined\"") != std::string::npos);
    harness.behaviors.clear();
    harness.behaviors[silent] = EndpointBehavior::Silent;
    for (int request = 0; request < 24; ++request)
        static_cast<void>(harness.sendRequest("other" + std::to_string(request), "/open/1"));
    harness.advance(Duration { 4500 });
    CHECK(isComplete(*answer));
    CHECK(harness.countRuns("one") == 1);
}
