#include "support/gateway_bench.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kBalancerWait { 300 };
/** Time for which a revoked API key may still be accepted by any host. */
constexpr Duration kRevocation { 5000 };
/** Time for which a host must keep serving without the store. */
constexpr Duration kServedOn { 3000 };

/** Gateway with a plan and two endpoints in each of three failure domains. */
class ServingBench : public GatewayBench {
public:
    ServingBench()
    {
        this->putPlan(planOf(1));
        for (const auto* domain : { "knox-a", "knox-b", "chatt-a" }) {
            for (const auto* number : { "-1", "-2" })
                this->putEndpoint(std::string { domain } + number, domain);
        }
        this->advance(kBalancerWait);
    }

    void setAll(EndpointManner manner)
    {
        for (const auto& id : this->ids())
            this->manners[id] = manner;
    }

    static std::vector<std::string> ids()
    {
        return { "knox-a-1", "knox-a-2", "knox-b-1", "knox-b-2", "chatt-a-1", "chatt-a-2" };
    }
};

const std::string kWholeStream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

bool isRefused(const GatewayBench::Answer& answer, Refusal reason, Execution execution)
{
    return answer.outcome && answer.outcome->reason == reason && answer.outcome->execution == execution;
}

} // namespace

TEST_CASE("Gateway is unready without a plan and serves requests with one", "[gateway][path]")
{
    GatewayBench bench;
    CHECK_FALSE(bench.gateway->isReady());
    CHECK(isRefused(*bench.ask("early"), Refusal::ConfigurationUnknown, Execution::NotRun));
    bench.putPlan(GatewayBench::planOf(1));
    bench.putEndpoint("engine", "knox-a");
    bench.advance(Duration { 3000 });
    CHECK(bench.gateway->isReady());
    const auto answer = bench.ask("one");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(answer->body == kWholeStream);
    CHECK(isRefused(*bench.ask("two", "/none/1"), Refusal::UnknownRoute, Execution::NotRun));
    CHECK(isRefused(*bench.ask("three", "/chat/1", "other-key"), Refusal::UnknownWorkspace, Execution::NotRun));
}

TEST_CASE("Gateway runs a non-idempotent request exactly once, however its endpoint fails", "[gateway][once]")
{
    for (const auto manner : { EndpointManner::Answer, EndpointManner::Fail, EndpointManner::Break,
             EndpointManner::BreakInStream, EndpointManner::Unsigned, EndpointManner::Hang }) {
        INFO("manner " << static_cast<int>(manner));
        ServingBench bench;
        bench.setAll(manner);
        const auto answer = bench.ask("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(bench.runsOf("order") == 1);
        CHECK(answer->outcome->execution != Execution::NotRun);
    }
}

TEST_CASE("Gateway reports a refused request as not run if no endpoint has run it", "[gateway][once]")
{
    for (const auto manner : { EndpointManner::Shed, EndpointManner::Misdirected, EndpointManner::Refuse }) {
        INFO("manner " << static_cast<int>(manner));
        ServingBench bench;
        bench.setAll(manner);
        const auto answer = bench.ask("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->execution == Execution::NotRun);
        CHECK(answer->outcome->retryAfter > Duration {});
        CHECK(bench.runsOf("order") == 0);
    }
}

TEST_CASE("Gateway tries the next endpoint after one that did not run the request", "[gateway][retry]")
{
    for (const auto manner : { EndpointManner::Shed, EndpointManner::Misdirected, EndpointManner::Refuse }) {
        ServingBench bench;
        for (const auto& id : ServingBench::ids())
            bench.manners[id] = manner;
        bench.manners["chatt-a-2"] = EndpointManner::Answer;
        bench.manners["chatt-a-1"] = EndpointManner::Answer;
        bench.manners["knox-b-2"] = EndpointManner::Answer;
        const auto answer = bench.ask("order", "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
    }
}

TEST_CASE("Gateway runs a retryable request at no more endpoints than its route allows", "[gateway][retry]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::Break);
    const auto answer = bench.ask("status", "/status/1");
    CHECK(bench.runsOf("status") == 2);
    CHECK(isRefused(*answer, Refusal::EndpointBroken, Execution::Unknown));
}

TEST_CASE("Gateway resumes a broken stream after its last complete event", "[gateway][stream]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::BreakInStream);
    const auto first = bench.start("chat");
    REQUIRE(bench.received.size() == 1);
    const auto broken = bench.received[0].endpoint;
    for (const auto& id : ServingBench::ids()) {
        if (id != broken)
            bench.manners[id] = EndpointManner::Answer;
    }
    bench.advance(Duration { 200 });
    REQUIRE(first->outcome);
    CHECK(first->outcome->isComplete());
    CHECK(first->body == kWholeStream);
    REQUIRE(bench.received.size() == 2);
    CHECK(bench.received[1].resumeAfter == "2");
}

TEST_CASE("Gateway does not forward an unsigned answer", "[gateway][stream]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::Unsigned);
    const auto answer = bench.ask("status", "/status/1");
    CHECK(answer->status == 0);
    CHECK(answer->body.empty());
}

TEST_CASE("Gateway aborts the call at the endpoint when the caller disconnects", "[gateway][caller]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::Hang);
    const auto answer = bench.start("chat");
    bench.advance(Duration { 50 });
    REQUIRE(bench.received.size() == 1);
    bench.leave();
    bench.advance(Duration { 10 });
    CHECK(answer->isCallerGone);
    CHECK(bench.received[0].wasAborted);
    CHECK(bench.received.size() == 1);
}

TEST_CASE("Gateway refuses a request when the timeout of its route has passed", "[gateway][deadline]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::Hang);
    const auto begun = bench.time;
    const auto answer = bench.ask("order", "/order/1");
    CHECK(isRefused(*answer, Refusal::DeadlinePassed, Execution::Unknown));
    CHECK(answer->endedAt - begun <= Duration { 5100 });
}

TEST_CASE("Gateway serves without the store until a key in its plan may have been revoked", "[gateway][lease]")
{
    // Covers outages that begin at any time between two confirmations, also right after a change of the plan.
    for (int offset = 0; offset <= 3000; offset += 250) {
        INFO("outage after " << offset << " ms");
        ServingBench bench;
        bench.advance(Duration { 1000 });
        bench.putPlan(GatewayBench::planOf(2));
        bench.advance(Duration { offset });
        bench.platform.trouble = PlatformTrouble::Down;
        const auto lost = bench.time;
        std::optional<TimePoint> lastServed;
        int next = 0;
        while (bench.time < lost + Duration { 8000 }) {
            const auto sent = bench.time;
            const auto answer = bench.ask("r" + std::to_string(next++), "/status/1");
            REQUIRE(answer->outcome);
            if (answer->outcome->isComplete())
                lastServed = sent;
            else
                CHECK(isRefused(*answer, Refusal::ConfigurationStale, Execution::NotRun));
            bench.advance(Duration { 100 });
        }
        REQUIRE(lastServed);
        CHECK(*lastServed - lost >= kServedOn);
        CHECK(*lastServed - lost < kRevocation);
        CHECK_FALSE(bench.gateway->isReady());
        CHECK(bench.ask("public", "/open/1")->outcome->isComplete());
    }
}

TEST_CASE("Gateway stops accepting a revoked key in time while it cannot reach the store", "[gateway][lease]")
{
    for (int offset = 0; offset <= 2000; offset += 250) {
        ServingBench bench;
        bench.advance(Duration { 2000 + offset });
        bench.platform.cutOff.insert("knox-a-1");
        bench.putPlan(GatewayBench::planOf(2, { "new-key" }));
        const auto taken = bench.time;
        int next = 0;
        for (; bench.time < taken + Duration { 10'000 }; bench.advance(Duration { 100 }))
            static_cast<void>(bench.ask("r" + std::to_string(next++), "/status/1"));
        for (const auto& request : bench.received)
            CHECK(request.at - taken <= kRevocation);
    }
}

TEST_CASE("Gateway reports no unknown route or key while its plan may be stale", "[gateway][lease]")
{
    ServingBench bench;
    bench.platform.trouble = PlatformTrouble::Down;
    bench.advance(Duration { 6000 });
    CHECK(isRefused(*bench.ask("a", "/none/1"), Refusal::ConfigurationStale, Execution::NotRun));
    CHECK(isRefused(*bench.ask("b", "/chat/1", "new-key"), Refusal::ConfigurationStale, Execution::NotRun));
    bench.platform.trouble = PlatformTrouble::None;
    bench.advance(Duration { 1000 });
    CHECK(isRefused(*bench.ask("c", "/none/1"), Refusal::UnknownRoute, Execution::NotRun));
}

TEST_CASE("Gateway applies a new plan in time and never goes back to an older version", "[gateway][plan]")
{
    ServingBench bench;
    for (std::uint64_t version = 2; version < 12; ++version) {
        bench.putPlan(GatewayBench::planOf(version * 3, { "key-" + std::to_string(version) }));
        bench.advance(Duration { 330 });
        CHECK(bench.ask("n" + std::to_string(version), "/status/1", "key-" + std::to_string(version))
                  ->outcome->isComplete());
    }
    bench.putPlan(GatewayBench::planOf(2, { "shop-key" }));
    bench.advance(Duration { 2000 });
    CHECK(isRefused(*bench.ask("old"), Refusal::UnknownWorkspace, Execution::NotRun));
}

TEST_CASE("Gateway lists all objects again when the store has dropped its watch history", "[gateway][store]")
{
    ServingBench bench;
    bench.platform.trouble = PlatformTrouble::Down;
    bench.advance(Duration { 2000 });
    bench.remove(ObjectKind::Endpoint, "knox-a-1");
    bench.putEndpoint("knox-a-2", "knox-a", true);
    bench.platform.store.write(ObjectKind::FailureDomain, "knox-b", nlohmann::json::object());
    bench.platform.store.dropHistory();
    bench.platform.trouble = PlatformTrouble::None;
    bench.advance(Duration { 4000 });
    bench.received.clear();
    static_cast<void>(bench.askAtOnce("r", 40, "/status/1"));
    CHECK(bench.received.size() == 40);
    CHECK(std::all_of(bench.received.begin(), bench.received.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("chatt-a"); }));
}

TEST_CASE("Gateway sends no requests to draining or removed endpoints or withdrawn failure domains", "[gateway][drain]")
{
    ServingBench bench;
    bench.putEndpoint("chatt-a-1", "chatt-a", true);
    bench.remove(ObjectKind::Endpoint, "chatt-a-2");
    bench.platform.store.write(ObjectKind::FailureDomain, "knox-b", nlohmann::json::object());
    bench.advance(Duration { 500 });
    static_cast<void>(bench.askAtOnce("r", 40, "/chat/1"));
    CHECK(std::all_of(bench.received.begin(), bench.received.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-a"); }));
    bench.remove(ObjectKind::FailureDomain, "knox-b");
    bench.advance(Duration { 500 });
    bench.received.clear();
    static_cast<void>(bench.askAtOnce("s", 12, "/status/1"));
    CHECK(std::any_of(bench.received.begin(), bench.received.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-b"); }));
}

TEST_CASE("Gateway asks a new endpoint to copy a cached prompt from the draining one", "[gateway][drain]")
{
    constexpr std::uint32_t kSharedTokens = 6000;
    const std::vector<PromptSegment> parts { { "cafe", kSharedTokens }, { "1", 110 } };
    ServingBench bench;
    bench.start("a1", "/chat/1", "shop-key", parts);
    bench.advance(Duration { 200 });
    const auto holder = bench.received.back().endpoint;
    CHECK(bench.received.back().copyFrom.empty());
    bench.start("a2", "/chat/1", "shop-key", parts);
    bench.advance(Duration { 200 });
    CHECK(bench.received.back().endpoint == holder);
    CHECK(bench.received.back().copyFrom.empty());
    bench.putEndpoint(holder, holder.substr(0, holder.size() - 2), true);
    bench.advance(Duration { 2000 });
    bench.start("a3", "/chat/1", "shop-key", parts);
    bench.advance(Duration { 200 });
    CHECK(bench.received.back().endpoint != holder);
    CHECK(bench.received.back().copyFrom == holder);
    // The new endpoint now holds the prompt, so that nothing has to be copied.
    bench.start("a4", "/chat/1", "shop-key", parts);
    bench.advance(Duration { 200 });
    CHECK(bench.received.back().copyFrom.empty());
}

TEST_CASE("Gateway ignores an endpoint with an invalid entry and keeps the others", "[gateway][store]")
{
    ServingBench bench;
    bench.platform.store.write(ObjectKind::Endpoint, "foreign", { { "state", 7 } });
    bench.advance(Duration { 500 });
    CHECK(bench.ask("one")->outcome->isComplete());
    bench.advance(Duration { 200 });
    CHECK(bench.logText.find("endpoint_rejected") != std::string::npos);
}

TEST_CASE("Gateway probes a failure domain after two of its endpoints did not respond", "[gateway][reach]")
{
    ServingBench bench;
    for (const auto* id : { "knox-b-1", "knox-b-2", "chatt-a-1", "chatt-a-2" })
        bench.manners[id] = EndpointManner::Silent;
    int late = 0;
    for (int request = 0; request < 100; ++request) {
        const auto begun = bench.time;
        const auto answer = bench.ask("r" + std::to_string(request), "/status/1");
        CHECK(answer->outcome->isComplete());
        late += answer->endedAt - begun > Duration { 150 } ? 1 : 0;
        bench.advance(Duration { 50 });
    }
    // At most two requests per silent domain are delayed until the domain is probed; later ones are not.
    CHECK(late <= 4);
    for (const auto& id : ServingBench::ids())
        bench.manners[id] = EndpointManner::Answer;
    bench.advance(Duration { 7000 });
    bench.received.clear();
    static_cast<void>(bench.askAtOnce("s", 12, "/status/1"));
    CHECK(std::any_of(bench.received.begin(), bench.received.end(),
        [](const ReceivedRequest& request) { return request.endpoint.starts_with("knox-b"); }));
}

TEST_CASE("Gateway moves retryable requests away from endpoints that a probe cannot reach", "[gateway][reach]")
{
    // A network partition: calls in progress get no more data, and new connections get no response.
    ServingBench bench;
    bench.setAll(EndpointManner::Hang);
    constexpr int kRequests = 6;
    std::vector<std::shared_ptr<GatewayBench::Answer>> waiting;
    waiting.reserve(kRequests);
    for (int request = 0; request < kRequests; ++request)
        waiting.push_back(bench.start("status" + std::to_string(request), "/status/1"));
    const auto order = bench.start("order", "/order/1");
    bench.advance(Duration { 300 });
    for (const auto& id : ServingBench::ids())
        bench.manners[id] = id.starts_with("knox-a") ? EndpointManner::Answer : EndpointManner::Silent;
    const auto cut = bench.time;
    static_cast<void>(bench.askAtOnce("later", 12, "/status/1"));
    bench.advance(Duration { 500 });
    for (const auto& answer : waiting) {
        if (answer->outcome && answer->outcome->isComplete())
            CHECK(answer->endedAt - cut < Duration { 1000 });
    }
    const auto moved = std::count_if(waiting.begin(), waiting.end(),
        [](const auto& answer) { return answer->outcome && answer->outcome->isComplete(); });
    // Two of the six endpoints are still reachable, and the requests that hang there are not moved.
    CHECK(moved >= 3);
    CHECK(bench.runsOf("order") == 1);
}

TEST_CASE(
    "Gateway that stops is unready at once and refuses new requests only after the balancer's delay", "[gateway][stop]")
{
    ServingBench bench;
    bench.gateway->beginStop();
    CHECK_FALSE(bench.gateway->isReady());
    bench.advance(Duration { 2000 });
    CHECK(bench.ask("one")->outcome->isComplete());
    bench.advance(Duration { 1000 });
    CHECK(isRefused(*bench.ask("two"), Refusal::HostLeaving, Execution::NotRun));
}

TEST_CASE("Gateway counts hosts with invalid entries", "[gateway][store]")
{
    GatewayBench bench;
    bench.platform.store.write(ObjectKind::Host, "foreign", nlohmann::json::array({ 1, 2 }));
    bench.platform.store.write(ObjectKind::Host, "half", { { "address", 7 } });
    bench.advance(Duration { 3000 });
    bench.platform.store.write(ObjectKind::Host, "knox-b-1", { { "address", "127.0.0.2" }, { "port", 7000 } });
    bench.advance(Duration { 20'000 });
    CHECK(bench.logText.find("\"event\":\"hosts_counted\",\"hosts\":3") != std::string::npos);
    CHECK(bench.logText.find("\"event\":\"hosts_counted\",\"hosts\":4") != std::string::npos);
}

TEST_CASE("Gateway applies a changed plan lease on reload", "[gateway][lease]")
{
    ServingBench bench;
    GatewaySettings settings;
    settings.planLease = Duration { 20'000 };
    bench.gateway->reload(settings);
    bench.platform.trouble = PlatformTrouble::Down;
    bench.advance(Duration { 10'000 });
    CHECK(bench.ask("one", "/status/1")->outcome->isComplete());
    settings.planLease = Duration { 5000 };
    bench.gateway->reload(settings);
    CHECK(isRefused(*bench.ask("two", "/status/1"), Refusal::ConfigurationStale, Execution::NotRun));
}

TEST_CASE("Gateway logs no API key and no body", "[gateway][log]")
{
    ServingBench bench;
    for (int request = 0; request < 20; ++request)
        static_cast<void>(bench.ask("r" + std::to_string(request), "/chat/1"));
    static_cast<void>(bench.ask("x", "/chat/1", "secret-key"));
    bench.advance(Duration { 500 });
    CHECK(bench.logText.find("request_sent") != std::string::npos);
    CHECK(bench.logText.find("shop-key") == std::string::npos);
    CHECK(bench.logText.find("secret-key") == std::string::npos);
    CHECK(bench.logText.find("data: a") == std::string::npos);
}

TEST_CASE("Gateway writes no duplicate field into a log line", "[gateway][log]")
{
    ServingBench bench;
    bench.ask("a1");
    bench.ask("a2", "/unheard-of/1");
    bench.setAll(EndpointManner::Break);
    bench.ask("a3", "/order/1");
    bench.ask("a4");
    bench.gateway->beginStop();
    bench.advance(Duration { 1000 });
    std::istringstream lines { bench.logText };
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
    ServingBench bench;
    bench.platform.store.write(
        ObjectKind::Host, "knox-b-9", { { "domain", "knox-b" }, { "address", kOtherHost }, { "port", 7000 } });
    bench.advance(Duration { 1500 });
    std::uint64_t sequence = 0;
    const auto hearOther = [&] {
        wire::FleetMessage message;
        message.mutable_digest()->set_host("knox-b-9");
        message.mutable_digest()->set_incarnation(1);
        message.mutable_digest()->set_sequence(++sequence);
        bench.gateway->receive(kOtherHost, message.SerializeAsString());
    };
    const auto askAll = [&] {
        for (int request = 0; request < 12; ++request)
            bench.start("r" + std::to_string(request), "/status/1");
        bench.advance(Duration { 300 });
    };
    // No endpoint is reachable, but the other domain is: the endpoints have failed, the host is not partitioned.
    bench.setAll(EndpointManner::Refuse);
    hearOther();
    askAll();
    CHECK(bench.gateway->isReady());
    bench.advance(Duration { 1500 });
    CHECK_FALSE(bench.gateway->isReady());
    hearOther();
    CHECK(bench.gateway->isReady());
    bench.advance(Duration { 1500 });
    CHECK_FALSE(bench.gateway->isReady());
    // One reachable endpoint of its own domain is sufficient.
    bench.manners["knox-a-1"] = EndpointManner::Answer;
    bench.advance(Duration { 1800 });
    CHECK(bench.gateway->isReady());
    const auto lost = bench.logText.find("\"event\":\"readiness_changed\",\"ready\":0,\"reason\":\"cut_off\"");
    REQUIRE(lost != std::string::npos);
    CHECK(bench.logText.find("\"event\":\"readiness_changed\",\"ready\":1", lost) != std::string::npos);
}

TEST_CASE("Gateway without other failure domains stays ready when all endpoints fail", "[gateway][reach]")
{
    ServingBench bench;
    bench.setAll(EndpointManner::Refuse);
    for (int request = 0; request < 12; ++request)
        bench.start("r" + std::to_string(request), "/status/1");
    bench.advance(Duration { 2000 });
    CHECK(bench.gateway->isReady());
}
