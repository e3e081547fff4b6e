#include "berylwing/http/endpoint_session.hpp"
#include "berylwing/http/gateway_server.hpp"
#include "support/gateway_harness.hpp"
#include "support/loopback_address.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;
namespace asio = boost::asio;

constexpr Duration kStep { 5 };
constexpr Duration kSettleDelay { 1500 };
constexpr std::uint16_t kPort = 8340;
/** Address that the host which is cut off connects from. */
constexpr const char* kCutOffAddress = "127.0.0.1";

/** A host that is cut off from all endpoints, and one that reaches them, connected by sockets. */
class RelayFixture {
public:
    RelayFixture()
    {
        this->cutOff.openHost = makeHostSessionFactory(
            this->cutOff.runtimeClock(), this->cutOff.gateway->platformProtocol(), kCutOffAddress);
        this->cutOff.deliver
            = [this](const std::string& bytes) { this->helper.gateway->receive(kCutOffAddress, bytes); };
        this->helper.deliver
            = [this](const std::string& bytes) { this->cutOff.gateway->receive(this->address, bytes); };
        for (auto* host : { &this->cutOff, &this->helper }) {
            host->putPlan(GatewayHarness::makePlan(1));
            for (int number = 1; number <= 4; ++number)
                host->putEndpoint("engine-" + std::to_string(number), number % 2 == 0 ? "knox-a" : "knox-b");
            host->platform.store.write(ObjectKind::Host, "knox-a-1",
                { { "domain", "knox-a" }, { "address", kCutOffAddress }, { "port", kPort } });
            host->platform.store.write(ObjectKind::Host, "knox-a-2",
                { { "domain", "knox-a" }, { "address", this->address }, { "port", kPort } });
        }
        spawn(this->helper.runtimeClock().executor(), "hosts", this->server.runForHosts({ this->address, kPort }));
        this->advance(kSettleDelay);
        this->setEndpoints(this->cutOff, EndpointBehavior::Refuse);
    }

    // Pooled connections end before the event loop that they belong to.
    ~RelayFixture()
    {
        this->cutOff.openHost = nullptr;
        this->helper.openHost = nullptr;
    }

    RelayFixture(const RelayFixture&) = delete;
    RelayFixture& operator=(const RelayFixture&) = delete;

    static void setEndpoints(GatewayHarness& host, EndpointBehavior behavior)
    {
        for (int number = 1; number <= 4; ++number)
            host.behaviors["engine-" + std::to_string(number)] = behavior;
    }

    void advance(Duration length)
    {
        for (Duration passed {}; passed < length; passed += kStep) {
            this->cutOff.advance(kStep);
            this->helper.advance(kStep);
            this->cutOff.advance({});
            this->helper.advance({});
            this->cutOff.advance({});
        }
    }

    /** Lets the host find out that it reaches no endpoint. */
    void discover()
    {
        for (int number = 1; number <= 6; ++number)
            this->cutOff.sendRequest("discover-" + std::to_string(number), "/status/1");
        this->advance(Duration { 1000 });
        this->cutOff.receivedRequests.clear();
        this->helper.receivedRequests.clear();
    }

    std::shared_ptr<GatewayHarness::Answer> sendAndWait(
        const std::string& attempt, const std::string& path, Duration limit = Duration { 8000 })
    {
        const auto answer = this->cutOff.sendRequest(attempt, path);
        for (Duration passed {}; passed < limit && !answer->outcome && !answer->isCallerGone; passed += kStep)
            this->advance(kStep);
        return answer;
    }

    std::string address = loopbackAddressOfProcess();
    GatewayHarness cutOff { "knox-a-1" };
    GatewayHarness helper { "knox-a-2" };
    GatewayServer server { this->helper.runtimeClock(), { this->address, 8341 }, *this->helper.gateway };
};

const std::string kChat = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";

} // namespace

// Guards against callers of a host without endpoints who are not served although other hosts reach them (RECOVER).
TEST_CASE("Callers of a host that is cut off from all endpoints are served through another host", "[gateway][relay]")
{
    RelayFixture fixture;
    const auto behavior = GENERATE(EndpointBehavior::Refuse, EndpointBehavior::Silent);
    RelayFixture::setEndpoints(fixture.cutOff, behavior);
    fixture.discover();
    for (int number = 1; number <= 20; ++number) {
        const auto attempt = std::to_string(number);
        const auto* path = number % 3 == 0 ? "/chat/1" : number % 3 == 1 ? "/order/1" : "/status/1";
        const auto answer = fixture.sendAndWait(attempt, path);
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
        CHECK(answer->body == kChat);
        CHECK(fixture.helper.countRuns(attempt) == 1);
        CHECK(fixture.cutOff.countRuns(attempt) == 0);
    }
    CHECK(fixture.cutOff.logText.find("\"event\":\"endpoints_lost\"") != std::string::npos);
    CHECK(fixture.helper.logText.find("\"event\":\"request_taken_over\",\"from\":\"knox-a-1\"") != std::string::npos);
}

TEST_CASE("The first requests of a cut are served without repeats from the budget", "[gateway][relay]")
{
    RelayFixture fixture;
    for (int number = 1; number <= 40; ++number) {
        const auto answer = fixture.sendAndWait(std::to_string(number), "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->isComplete());
    }
}

TEST_CASE("Events of a stream are passed on by two hosts as they arrive", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    fixture.helper.eventInterval = Duration { 300 };
    const auto answer = fixture.cutOff.sendRequest("stream", "/chat/1");
    fixture.advance(Duration { 400 });
    CHECK(answer->body == "id: 1\ndata: a\n\n");
    CHECK_FALSE(answer->outcome);
    fixture.advance(Duration { 1500 });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(answer->body == kChat);
}

TEST_CASE("A request that is passed on ends at its caller's deadline at both hosts", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Hang);
    const auto sentAt = fixture.cutOff.time;
    const auto answer = fixture.sendAndWait("late", "/order/1");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::Unknown);
    CHECK(answer->outcome->reason == Refusal::DeadlinePassed);
    CHECK(answer->endedAt <= sentAt + Duration { 5100 });
    CHECK(fixture.helper.countRuns("late") == 1);
}

TEST_CASE("The end of a caller ends its request at the other host and at its endpoint", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Hang);
    const auto answer = fixture.cutOff.sendRequest("left", "/order/1");
    fixture.advance(Duration { 200 });
    REQUIRE(fixture.helper.receivedRequests.size() == 1);
    fixture.cutOff.disconnectCaller();
    fixture.advance(Duration { 200 });
    CHECK(answer->isCallerGone);
    CHECK(fixture.helper.receivedRequests.front().wasAborted);
}

TEST_CASE("Hosts that are cut off together refuse at once and do not pass a request in a circle", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.helper.openHost = makeHostSessionFactory(
        fixture.helper.runtimeClock(), fixture.helper.gateway->platformProtocol(), fixture.address);
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Refuse);
    for (int number = 1; number <= 6; ++number)
        fixture.helper.sendRequest("own-" + std::to_string(number), "/status/1");
    fixture.discover();
    for (int number = 1; number <= 5; ++number) {
        const auto sentAt = fixture.cutOff.time;
        const auto answer = fixture.sendAndWait("circle-" + std::to_string(number), "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->execution == Execution::NotRun);
        CHECK(answer->endedAt <= sentAt + Duration { 300 });
    }
    CHECK(fixture.cutOff.logText.find("request_taken_over") == std::string::npos);
}

TEST_CASE("The refusal of the other host reaches the caller with its promise and its delay", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Shed);
    const auto rejected = fixture.sendAndWait("rejected", "/order/1");
    REQUIRE(rejected->outcome);
    CHECK(rejected->outcome->execution == Execution::NotRun);
    CHECK(rejected->outcome->reason == Refusal::EndpointAtBound);
    CHECK(rejected->outcome->retryAfter > Duration {});
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Break);
    fixture.advance(Duration { 1000 });
    const auto broken = fixture.sendAndWait("broken", "/order/1");
    REQUIRE(broken->outcome);
    CHECK(broken->outcome->execution == Execution::Unknown);
    CHECK(fixture.helper.countRuns("broken") == 1);
}

TEST_CASE("One attempt of a caller runs as often as its route allows on the way through two hosts", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Break);
    const auto answer = fixture.sendAndWait("twice", "/status/1");
    REQUIRE(answer->outcome);
    CHECK_FALSE(answer->outcome->isComplete());
    CHECK(fixture.helper.countRuns("twice") == 2);
}

TEST_CASE("A host that becomes cut off hands requests back as not run", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Refuse);
    for (int number = 1; number <= 10; ++number) {
        const auto answer = fixture.sendAndWait("lost-" + std::to_string(number), "/order/1");
        REQUIRE(answer->outcome);
        CHECK(answer->outcome->execution == Execution::NotRun);
    }
}

TEST_CASE("A request whose other host is lost midway is not said to have not run", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    RelayFixture::setEndpoints(fixture.helper, EndpointBehavior::Hang);
    const auto answer = fixture.cutOff.sendRequest("lost", "/order/1");
    fixture.advance(Duration { 200 });
    REQUIRE(fixture.helper.countRuns("lost") == 1);
    fixture.helper.gateway->beginStop();
    fixture.helper.gateway->endRequests();
    fixture.advance(Duration { 300 });
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->execution == Execution::Unknown);
}

TEST_CASE("A host serves its callers itself again once it reaches most endpoints", "[gateway][relay]")
{
    RelayFixture fixture;
    fixture.discover();
    REQUIRE(fixture.sendAndWait("away", "/order/1")->outcome->isComplete());
    RelayFixture::setEndpoints(fixture.cutOff, EndpointBehavior::Answer);
    fixture.advance(Duration { 3000 });
    CHECK(fixture.cutOff.logText.find("\"event\":\"endpoints_regained\"") != std::string::npos);
    const auto answer = fixture.sendAndWait("back", "/order/1");
    REQUIRE(answer->outcome);
    CHECK(answer->outcome->isComplete());
    CHECK(fixture.cutOff.countRuns("back") == 1);
    CHECK(fixture.helper.countRuns("back") == 0);
}

// Guards against callers that pretend to be a host, to spend no repeat or to shift the time of their request.
TEST_CASE("A request from an address that is no host's is refused on the port for hosts", "[gateway][relay]")
{
    RelayFixture fixture;
    asio::io_context context;
    asio::ip::tcp::socket stranger { context };
    stranger.open(asio::ip::tcp::v4());
    stranger.bind({ asio::ip::make_address("127.0.0.77"), 0 });
    stranger.connect({ asio::ip::make_address(fixture.address), kPort });
    asio::write(stranger,
        asio::buffer(
            std::string { "POST /order/1 HTTP/1.1\r\nHost: hooks.example\r\nattempt: forged\r\nkey: shop-key\r\n"
                          "Berylwing-Relay: 0 10 0\r\nContent-Length: 0\r\n\r\n" }));
    fixture.advance(Duration { 500 });
    std::string text(4096, '\0');
    boost::system::error_code error;
    stranger.non_blocking(true);
    text.resize(stranger.read_some(asio::buffer(text), error));
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(fixture.helper.countRuns("forged") == 0);
}

TEST_CASE("The mark of a host means nothing on the port for callers", "[gateway][relay]")
{
    RelayFixture fixture;
    spawn(fixture.helper.runtimeClock().executor(), "callers", fixture.server.run());
    asio::io_context context;
    asio::ip::tcp::socket caller { context };
    caller.connect({ asio::ip::make_address(fixture.address), 8341 });
    asio::write(caller,
        asio::buffer(
            std::string { "POST /order/1 HTTP/1.1\r\nHost: hooks.example\r\nattempt: marked\r\nkey: shop-key\r\n"
                          "Berylwing-Relay: 7 4000 1\r\nContent-Length: 0\r\n\r\n" }));
    fixture.advance(Duration { 500 });
    CHECK(fixture.helper.countRuns("marked") == 1);
    CHECK(fixture.helper.logText.find("request_taken_over") == std::string::npos);
}
