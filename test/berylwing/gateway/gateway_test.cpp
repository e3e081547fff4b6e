#include "support/gateway_harness.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kSettleDelay { 300 };
/** Time for which a revoked API key may still be accepted by any host. */
constexpr Duration kRevocationTimeout { 5000 };
/** Time for which a host must keep serving without the store. */
constexpr Duration kMinServiceInOutage { 3000 };

/** Gateway with a plan and two endpoints in each of three failure domains. */
class ServingHarness : public GatewayHarness {
public:
    ServingHarness()
    {
        this->putPlan(makePlan(1));
        for (const auto* domain : { "knox-a", "knox-b", "chatt-a" }) {
            for (const auto* number : { "-1", "-2" })
                this->putEndpoint(std::string { domain } + number, domain);
        }
        this->advance(kSettleDelay);
    }

    void setAllBehaviors(EndpointBehavior behavior)
    {
        for (const auto& id : this->ids())
            this->behaviors[id] = behavior;
    }

    static std::vector<std::string> ids()
    {
        return { "knox-a-1", "knox-a-2", "knox-b-1", "knox-b-2", "chatt-a-1", "chatt-a-2" };
    }
};

const std::string kWholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

bool isRefused(const GatewayHarness::Answer& answer, Refusal reason, Execution execution)
{
    return answer.outcome && answer.outcome->reason == reason && answer.outcome->execution == execution;
}

} // namespace

TEST_CASE("Gateway is unready without a plan and serves requests with one", "[gateway][path]")
{
    GatewayHarness harness;
    CHECK_FALSE(harness.gateway->isReady());
    CHECK(isRefused(*harness.sendAndWait("early"), Refusal::ConfigurationUnknown, Execution::NotRun));
    harness.putPlan(GatewayHarness::makePlan(1));
    harness.putEndpoint("engine", "knox-a");
    harness.advance(Duration { 3000 });
    CHECK(harness.gateway->isReady());
    const auto answer = harness.sendAndWait("one");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(answer->body == kWholeStream);
    CHECK(isRefused(*harness.sendAndWait("two", "/none/1"), Refusal::UnknownRoute, Execution::NotRun));
    CHECK(
        isRefused(*harness.sendAndWait("three", "/chat/1", "other-key"), Refusal::UnknownWorkspace, Execution::NotRun));
}

TEST_CASE("Gateway runs a non-idempotent request exactly once, however its endpoint fails", "[gateway][once]")
{
    for (const auto behavior : { EndpointBehavior::Answer, EndpointBehavior::Fail, EndpointBehavior::Break,
             EndpointBehavior::BreakInStream, EndpointBehavior::Unsigned, EndpointBehavior::Hang }) {
        INFO("manner " << static_cast<int>(behavior));
        ServingHarness harness;
        harness.setAllBehaviors(behavior);
        const auto answer = harness.sendAndWait("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(harness.countRuns("order") == 1);
        CHECK(answer->outcome->execution != Execution::NotRun);
    }
}

TEST_CASE("Gateway reports a refused request as not run if no endpoint has run it", "[gateway][once]")
{
    for (const auto behavior : { EndpointBehavior::Shed, EndpointBehavior::Misdirected, EndpointBehavior::Refuse }) {
        INFO("manner " << static_cast<int>(behavior));
        ServingHarness harness;
        harness.setAllBehaviors(behavior);
        const auto answer = harness.sendAndWait("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->execution == Execution::NotRun);
        CHECK(answer->outcome->retryAfter > Duration {});
        CHECK(harness.countRuns("order") == 0);
    }
}

TEST_CASE("Gateway tries the next endpoint after one that did not run the request", "[gateway][retry]")
{
    for (const auto behavior : { EndpointBehavior::Shed, EndpointBehavior::Misdirected, EndpointBehavior::Refuse }) {
        ServingHarness harness;
        for (const auto& id : ServingHarness::ids())
            harness.behaviors[id] = behavior;
        harness.behaviors["chatt-a-2"] = EndpointBehavior::Answer;
        harness.behaviors["chatt-a-1"] = EndpointBehavior::Answer;
        harness.behaviors["knox-b-2"] = EndpointBehavior::Answer;
        const auto answer = harness.sendAndWait("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
    }
}

TEST_CASE("Gateway runs a retryable request at no more endpoints than its route allows", "[gateway][retry]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Break);
    const auto answer = harness.sendAndWait("status", "/status/1");
    CHECK(harness.countRuns("status") == 2);
    CHECK(isRefused(*answer, Refusal::EndpointBroken, Execution::Unknown));
}

TEST_CASE("Gateway resumes a broken stream after its last complete event", "[gateway][stream]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::BreakInStream);
    const auto first = harness.sendRequest("chat");
    REQUIRE(harness.receivedRequests.size() == 1);
    const auto broken = harness.receivedRequests[0].endpoint;
    for (const auto& id : ServingHarness::ids()) {
        if (id != broken)
            harness.behaviors[id] = EndpointBehavior::Answer;
    }
    harness.advance(Duration { 200 });
    REQUIRE(first->outcome);
    CHECK(first->outcome->isComplete());
    CHECK(first->body == kWholeStream);
    REQUIRE(harness.receivedRequests.size() == 2);
    CHECK(harness.receivedRequests[1].resumeAfter == "2");
}

TEST_CASE("Gateway does not forward an unsigned answer", "[gateway][stream]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Unsigned);
    const auto answer = harness.sendAndWait("status", "/status/1");
    CHECK(answer->status == 0);
    CHECK(answer->body.empty());
}

TEST_CASE("Gateway aborts the call at the endpoint when the caller disconnects", "[gateway][caller]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Hang);
    const auto answer = harness.sendRequest("chat");
    harness.advance(Duration { 50 });
    REQUIRE(harness.receivedRequests.size() == 1);
    harness.disconnectCaller();
    harness.advance(Duration { 10 });
    CHECK(answer->isCallerGone);
    CHECK(harness.receivedRequests[0].wasAborted);
    CHECK(harness.receivedRequests.size() == 1);
}

TEST_CASE("Gateway refuses a request when the timeout of its route has passed", "[gateway][deadline]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Hang);
    const auto begun = harness.time;
    const auto answer = harness.sendAndWait("order", "/order/1");
    CHECK(isRefused(*answer, Refusal::DeadlinePassed, Execution::Unknown));
    CHECK(answer->endedAt - begun <= Duration { 5100 });
}

TEST_CASE("Gateway serves without the store until a key in its plan may have been revoked", "[gateway][lease]")
{
    // Covers outages that begin at any time between two confirmations, also right after a change of the plan.
    for (int offset = 0; offset <= 3000; offset += 250) {
        INFO("outage after " << offset << " ms");
        ServingHarness harness;
        harness.advance(Duration { 1000 });
        harness.putPlan(GatewayHarness::makePlan(2));
        harness.advance(Duration { offset });
        harness.platform.failureMode = PlatformFailureMode::Down;
        const auto lost = harness.time;
        std::optional<TimePoint> lastServed;
        int next = 0;
        while (harness.time < lost + Duration { 8000 }) {
            const auto sent = harness.time;
            const auto answer = harness.sendAndWait("r" + std::to_string(next++), "/status/1");
            REQUIRE(answer->outcome);
            if (answer->outcome->isComplete())
                lastServed = sent;
            else
                CHECK(isRefused(*answer, Refusal::ConfigurationStale, Execution::NotRun));
            harness.advance(Duration { 100 });
        }
        REQUIRE(lastServed);
        CHECK(*lastServed - lost >= kMinServiceInOutage);
        CHECK(*lastServed - lost < kRevocationTimeout);
        CHECK_FALSE(harness.gateway->isReady());
        CHECK(harness.sendAndWait("public", "/open/1")->outcome->isComplete());
    }
}

TEST_CASE("Gateway stops accepting a revoked key in time while it cannot reach the store", "[gateway][lease]")
{
    for (int offset = 0; offset <= 2000; offset += 250) {
        ServingHarness harness;
        harness.advance(Duration { 2000 + offset });
        harness.platform.unreachableHosts.insert("knox-a-1");
        harness.putPlan(GatewayHarness::makePlan(2, { "new-key" }));
        const auto taken = harness.time;
        int next = 0;
        for (; harness.time < taken + Duration { 10'000 }; harness.advance(Duration { 100 }))
            static_cast<void>(harness.sendAndWait("r" + std::to_string(next++), "/status/1"));
        for (const auto& request : harness.receivedRequests)
            CHECK(request.at - taken <= kRevocationTimeout);
    }
}

TEST_CASE("Gateway reports no unknown route or key while its plan may be stale", "[gateway][lease]")
{
    ServingHarness harness;
    harness.platform.failureMode = PlatformFailureMode::Down;
    harness.advance(Duration { 6000 });
    CHECK(isRefused(*harness.sendAndWait("a", "/none/1"), Refusal::ConfigurationStale, Execution::NotRun));
    CHECK(isRefused(*harness.sendAndWait("b", "/chat/1", "new-key"), Refusal::ConfigurationStale, Execution::NotRun));
    harness.platform.failureMode = PlatformFailureMode::None;
    harness.advance(Duration { 1000 });
    CHECK(isRefused(*harness.sendAndWait("c", "/none/1"), Refusal::UnknownRoute, Execution::NotRun));
}

TEST_CASE("Gateway applies a new plan in time and never goes back to an older version", "[gateway][plan]")
{
    ServingHarness harness;
    for (std::uint64_t version = 2; version < 12; ++version) {
        harness.putPlan(GatewayHarness::makePlan(version * 3, { "key-" + std::to_string(version) }));
        harness.advance(Duration { 330 });
        CHECK(harness.sendAndWait("n" + std::to_string(version), "/status/1", "key-" + std::to_string(version))
                  ->outcome->isComplete());
    }
    harness.putPlan(GatewayHarness::makePlan(2, { "shop-key" }));
    harness.advance(Duration { 2000 });
    CHECK(isRefused(*harness.sendAndWait("old"), Refusal::UnknownWorkspace, Execution::NotRun));
}

TEST_CASE("Gateway lists all objects again when the store has dropped its watch history", "[gateway][store]")
{
    ServingHarness harness;
    harness.platform.failureMode = PlatformFailureMode::Down;
    harness.advance(Duration { 2000 });
    harness.remove(ObjectKind::Endpoint, "knox-a-1");
    harness.putEndpoint("knox-a-2", "knox-a", true);
    harness.platform.store.write(ObjectKind::FailureDomain, "knox-b", nlohmann::json::object());
    harness.platform.store.dropHistory();
    harness.platform.failureMode = PlatformFailureMode::None;
    harness.advance(Duration { 4000 });
    harness.receivedRequests.clear();
    static_cast<void>(harness.sendAllAndWait("r", 40, "/status/1"));
    CHECK(harness.receivedRequests.size() == 40);
    CHECK(std::all_of(harness.receivedRequests.begin(), harness.receivedRequests.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("chatt-a"); }));
}

TEST_CASE("Gateway sends no requests to draining or removed endpoints or withdrawn failure domains", "[gateway][drain]")
{
    ServingHarness harness;
    harness.putEndpoint("chatt-a-1", "chatt-a", true);
    harness.remove(ObjectKind::Endpoint, "chatt-a-2");
    harness.platform.store.write(ObjectKind::FailureDomain, "knox-b", nlohmann::json::object());
    harness.advance(Duration { 500 });
    static_cast<void>(harness.sendAllAndWait("r", 40, "/chat/1"));
    CHECK(std::all_of(harness.receivedRequests.begin(), harness.receivedRequests.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-a"); }));
    harness.remove(ObjectKind::FailureDomain, "knox-b");
    harness.advance(Duration { 500 });
    harness.receivedRequests.clear();
    static_cast<void>(harness.sendAllAndWait("s", 12, "/status/1"));
    CHECK(std::any_of(harness.receivedRequests.begin(), harness.receivedRequests.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-b"); }));
}

TEST_CASE("Gateway asks a new endpoint to copy a cached prompt from the draining one", "[gateway][drain]")
{
    constexpr std::uint32_t kSharedTokens = 6000;
    const std::vector<PromptSegment> parts { { "cafe", kSharedTokens }, { "1", 110 } };
    ServingHarness harness;
    harness.sendRequest("a1", "/chat/1", "shop-key", parts);
    harness.advance(Duration { 200 });
    const auto holder = harness.receivedRequests.back().endpoint;
    CHECK(harness.receivedRequests.back().copyFrom.empty());
    harness.sendRequest("a2", "/chat/1", "shop-key", parts);
    harness.advance(Duration { 200 });
    CHECK(harness.receivedRequests.back().endpoint == holder);
    CHECK(harness.receivedRequests.back().copyFrom.empty());
    harness.putEndpoint(holder, holder.substr(0, holder.size() - 2), true);
    harness.advance(Duration { 2000 });
    harness.sendRequest("a3", "/chat/1", "shop-key", parts);
    harness.advance(Duration { 200 });
    CHECK(harness.receivedRequests.back().endpoint != holder);
    CHECK(harness.receivedRequests.back().copyFrom == holder);
    // The new endpoint now holds the prompt, so that nothing has to be copied.
    harness.sendRequest("a4", "/chat/1", "shop-key", parts);
    harness.advance(Duration { 200 });
    CHECK(harness.receivedRequests.back().copyFrom.empty());
}

TEST_CASE("Gateway ignores an endpoint with an invalid entry and keeps the others", "[gateway][store]")
{
    ServingHarness harness;
    harness.platform.store.write(ObjectKind::Endpoint, "foreign", { { "state", 7 } });
    harness.advance(Duration { 500 });
    CHECK(harness.sendAndWait("one")->outcome->isComplete());
    harness.advance(Duration { 200 });
    CHECK(harness.logText.find("endpoint_rejected") != std::string::npos);
}

TEST_CASE("Gateway probes a failure domain after two of its endpoints did not respond", "[gateway][reach]")
{
    ServingHarness harness;
    for (const auto* id : { "knox-b-1", "knox-b-2", "chatt-a-1", "chatt-a-2" })
        harness.behaviors[id] = EndpointBehavior::Silent;
    int late = 0;
    for (int request = 0; request < 100; ++request) {
        const auto begun = harness.time;
        const auto answer = harness.sendAndWait("r" + std::to_string(request), "/status/1");
        CHECK(answer->outcome->isComplete());
        late += answer->endedAt - begun > Duration { 150 } ? 1 : 0;
        harness.advance(Duration { 50 });
    }
    // At most two requests per silent domain are delayed until the domain is probed; later ones are not.
    CHECK(late <= 4);
    for (const auto& id : ServingHarness::ids())
        harness.behaviors[id] = EndpointBehavior::Answer;
    harness.advance(Duration { 7000 });
    harness.receivedRequests.clear();
    static_cast<void>(harness.sendAllAndWait("s", 12, "/status/1"));
    CHECK(std::any_of(harness.receivedRequests.begin(), harness.receivedRequests.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-b"); }));
}

TEST_CASE("Gateway moves retryable requests away from endpoints that a probe cannot reach", "[gateway][reach]")
{
    // A network partition: calls in progress get no more data, and new connections get no response.
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Hang);
    constexpr int kRequests = 6;
    std::vector<std::shared_ptr<GatewayHarness::Answer>> waiting;
    waiting.reserve(kRequests);
    for (int request = 0; request < kRequests; ++request)
        waiting.push_back(harness.sendRequest("status" + std::to_string(request), "/status/1"));
    const auto order = harness.sendRequest("order", "/order/1");
    harness.advance(Duration { 300 });
    for (const auto& id : ServingHarness::ids())
        harness.behaviors[id] = id.starts_with("knox-a") ? EndpointBehavior::Answer : EndpointBehavior::Silent;
    const auto cut = harness.time;
    static_cast<void>(harness.sendAllAndWait("later", 12, "/status/1"));
    harness.advance(Duration { 500 });
    for (const auto& answer : waiting) {
        if (answer->outcome && answer->outcome->isComplete())
            CHECK(answer->endedAt - cut < Duration { 1000 });
    }
    const auto moved = std::count_if(waiting.begin(), waiting.end(),
        [](const auto& answer) { return answer->outcome && answer->outcome->isComplete(); });
    // Two of the six endpoints are still reachable, and the requests that hang there are not moved.
    CHECK(moved >= 3);
    CHECK(harness.countRuns("order") == 1);
}

TEST_CASE(
    "Gateway that stops is unready at once and refuses new requests only after the balancer's delay", "[gateway][stop]")
{
    ServingHarness harness;
    harness.gateway->beginStop();
    CHECK_FALSE(harness.gateway->isReady());
    harness.advance(Duration { 2000 });
    CHECK(harness.sendAndWait("one")->outcome->isComplete());
    harness.advance(Duration { 1000 });
    CHECK(isRefused(*harness.sendAndWait("two"), Refusal::HostLeaving, Execution::NotRun));
}

TEST_CASE("Gateway counts hosts with invalid entries", "[gateway][store]")
{
    GatewayHarness harness;
    harness.platform.store.write(ObjectKind::Host, "foreign", nlohmann::json::array({ 1, 2 }));
    harness.platform.store.write(ObjectKind::Host, "half", { { "address", 7 } });
    harness.advance(Duration { 3000 });
    harness.platform.store.write(ObjectKind::Host, "knox-b-1", { { "address", "127.0.0.2" }, { "port", 7000 } });
    harness.advance(Duration { 20'000 });
    CHECK(harness.logText.find("\"event\":\"hosts_counted\",\"hosts\":3") != std::string::npos);
    CHECK(harness.logText.find("\"event\":\"hosts_counted\",\"hosts\":4") != std::string::npos);
}

TEST_CASE("Gateway applies a changed plan lease on reload", "[gateway][lease]")
{
    ServingHarness harness;
    GatewaySettings settings;
    settings.planLease = Duration { 20'000 };
    harness.gateway->reload(settings);
    harness.platform.failureMode = PlatformFailureMode::Down;
    harness.advance(Duration { 10'000 });
    CHECK(harness.sendAndWait("one", "/status/1")->outcome->isComplete());
    settings.planLease = Duration { 5000 };
    harness.gateway->reload(settings);
    CHECK(isRefused(*harness.sendAndWait("two", "/status/1"), Refusal::ConfigurationStale, Execution::NotRun));
}

TEST_CASE("Gateway logs no API key and no body", "[gateway][log]")
{
    ServingHarness harness;
    for (int request = 0; request < 20; ++request)
        static_cast<void>(harness.sendAndWait("r" + std::to_string(request), "/chat/1"));
    static_cast<void>(harness.sendAndWait("x", "/chat/1", "secret-key"));
    harness.advance(Duration { 500 });
    CHECK(harness.logText.find("request_sent") != std::string::npos);
    CHECK(harness.logText.find("shop-key") == std::string::npos);
    CHECK(harness.logText.find("secret-key") == std::string::npos);
    CHECK(harness.logText.find("data: a") == std::string::npos);
}

TEST_CASE("Gateway writes no duplicate field into a log line", "[gateway][log]")
{
    ServingHarness harness;
    harness.sendAndWait("a1");
    harness.sendAndWait("a2", "/unheard-of/1");
    harness.setAllBehaviors(EndpointBehavior::Break);
    harness.sendAndWait("a3", "/order/1");
    harness.sendAndWait("a4");
    harness.gateway->beginStop();
    harness.advance(Duration { 1000 });
    std::istringstream lines { harness.logText };
    std::string text;
    int count = 0;
    while (std::getline(lines, text)) {
        std::set<std::string> names;
        const auto parsed = nlohmann::json::parse(text, [&](int, nlohmann::json::parse_event_t event, auto& value) {
            if (event == nlohmann::json::parse_event_t::key)
                CHECK(names.insert(value.template get<std::string>()).second);
            return true;
        });
        CHECK(parsed.at("host") == "knox-a-1");
        ++count;
    }
    CHECK(count > 10);
}

TEST_CASE("Gateway is unready while no endpoint and no other failure domain is reachable", "[gateway][reach]")
{
    constexpr const char* kOtherHost = "10.0.0.9";
    ServingHarness harness;
    harness.platform.store.write(
        ObjectKind::Host, "knox-b-9", { { "domain", "knox-b" }, { "address", kOtherHost }, { "port", 7000 } });
    harness.advance(Duration { 1500 });
    std::uint64_t sequence = 0;
    const auto receiveDigest = [&] {
        wire::FleetMessage message;
        message.mutable_digest()->set_host("knox-b-9");
        message.mutable_digest()->set_incarnation(1);
        message.mutable_digest()->set_sequence(++sequence);
        harness.gateway->receive(kOtherHost, message.SerializeAsString());
    };
    const auto askAll = [&] {
        for (int request = 0; request < 12; ++request)
            harness.sendRequest("r" + std::to_string(request), "/status/1");
        harness.advance(Duration { 300 });
    };
    // No endpoint is reachable, but the other domain is: the endpoints have failed, the host is not partitioned.
    harness.setAllBehaviors(EndpointBehavior::Refuse);
    receiveDigest();
    askAll();
    CHECK(harness.gateway->isReady());
    harness.advance(Duration { 1500 });
    CHECK_FALSE(harness.gateway->isReady());
    receiveDigest();
    CHECK(harness.gateway->isReady());
    harness.advance(Duration { 1500 });
    CHECK_FALSE(harness.gateway->isReady());
    // One reachable endpoint of its own domain is sufficient.
    harness.behaviors["knox-a-1"] = EndpointBehavior::Answer;
    harness.advance(Duration { 1800 });
    CHECK(harness.gateway->isReady());
    const auto lost = harness.logText.find("\"event\":\"readiness_changed\",\"ready\":0,\"reason\":\"cut_off\"");
    REQUIRE(lost != std::string::npos);
    CHECK(harness.logText.find("\"event\":\"readiness_changed\",\"ready\":1", lost) != std::string::npos);
}

TEST_CASE("Gateway without other failure domains stays ready when all endpoints fail", "[gateway][reach]")
{
    ServingHarness harness;
    harness.setAllBehaviors(EndpointBehavior::Refuse);
    for (int request = 0; request < 12; ++request)
        harness.sendRequest("r" + std::to_string(request), "/status/1");
    harness.advance(Duration { 2000 });
    CHECK(harness.gateway->isReady());
}
