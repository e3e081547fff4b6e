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

constexpr Duration kSettleDelay { 300 };

/** Gateway with a listener on the loopback address and one caller; the test runs its event loop step by step. */
class GatewayConnectionFixture : public GatewayHarness {
public:
    GatewayConnectionFixture()
    {
        this->putPlan(makePlan(1));
        this->putEndpoint("engine", "knox-a");
        spawn(this->runtimeClock().executor(), "callers", this->server.run());
        this->advance(kSettleDelay);
        this->caller.connect({ asio::ip::make_address(this->address.address), this->address.port });
    }

    ~GatewayConnectionFixture() { this->caller.close(); }

    void send(const std::string& attempt, const std::string& path)
    {
        const auto text = "POST " + path + " HTTP/1.1\r\nHost: hooks.example\r\nattempt: " + attempt
            + "\r\nkey: shop-key\r\nContent-Length: 0\r\n\r\n";
        asio::write(this->caller, asio::buffer(text));
    }

    void sendText(const std::string& bytes) { asio::write(this->caller, asio::buffer(bytes)); }

    /** Adds a route for unrepeatable requests whose timeout is longer than the grace period of a stop. */
    void putPlanWithLongRoute()
    {
        auto plan = makePlan(2);
        Route route;
        route.name = "long";
        route.hostname = "hooks.example";
        route.pathPrefix = "/long/";
        route.timeout = Duration { 60'000 };
        route.services = { { "engines", 1 } };
        plan.add(route);
        this->putPlan(plan);
        this->advance(kSettleDelay);
    }

    void beginStop()
    {
        this->gateway->beginStop();
        this->stoppedAt = this->time;
        spawn(this->runtimeClock().executor(), "drain", this->drain());
    }

    /** Advances the clock until the stop has ended, and reads what the caller has received by then. */
    void finishStop()
    {
        const auto graceEnd = this->stoppedAt + Duration { 8000 };
        while (!this->isDrained && this->time < graceEnd)
            this->advance(Duration { 5 });
        CHECK(this->isDrained);
        this->receive();
    }

    /** Lets time pass in which the host does not run. */
    void stall(Duration length)
    {
        this->time += length;
        this->advance(Duration {});
        this->advance(Duration { 200 });
    }

    /** Reads the bytes that have arrived, without blocking. */
    void receive()
    {
        this->caller.non_blocking(true);
        std::string bytes(4096, '\0');
        boost::system::error_code error;
        const auto size = this->caller.read_some(asio::buffer(bytes), error);
        this->text.append(bytes, 0, size);
    }

    SocketAddress address { loopbackAddressOfProcess(), 8227 };
    GatewayServer server { this->runtimeClock(), this->address, *this->gateway };
    asio::io_context callerContext;
    asio::ip::tcp::socket caller { this->callerContext };
    /** Bytes received by the caller. */
    std::string text;
    bool isDrained = false;
    TimePoint stoppedAt {};

private:
    Task<void> drain()
    {
        co_await this->server.drain();
        this->isDrained = true;
    }
};

const std::string kHalfRequest = "POST /order/1 HTTP/1.1\r\nHost: hooks.exa";
const std::string kOtherHalf = "mple\r\nattempt: one\r\nkey: shop-key\r\nContent-Length: 0\r\n\r\n";

int countOf(const std::string& text, const std::string& part)
{
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

TEST_CASE("Gateway counts a request as in progress until its response is fully written", "[http][stop]")
{
    for (const std::string path : { "/chat/1", "/order/1", "/none/1" }) {
        GatewayConnectionFixture fixture;
        fixture.send("one", path);
        // Checked after every single step: a graceful stop exits once no request is in progress, so by that step the
        // caller must have the complete response.
        bool hasBegun = false;
        bool hasEnded = false;
        for (int round = 0; round < 400 && !hasEnded; ++round) {
            fixture.time += Duration { 5 };
            fixture.runtimeClock().fireDue();
            for (bool isReady = true; isReady && !hasEnded;) {
                isReady = fixture.step();
                hasBegun = hasBegun || fixture.gateway->inProgress() > 0;
                hasEnded = hasBegun && fixture.gateway->inProgress() == 0;
            }
        }
        REQUIRE(hasEnded);
        fixture.receive();
        INFO(fixture.text);
        const bool isWhole = fixture.text.ends_with("0\r\n\r\n") || fixture.text.ends_with("}");
        CHECK(isWhole);
    }
}

TEST_CASE("Stop ends a request that is still running with an answer before the process exits", "[http][stop]")
{
    GatewayConnectionFixture fixture;
    fixture.putPlanWithLongRoute();
    fixture.behaviors["engine"] = EndpointBehavior::Hang;
    fixture.send("one", "/long/1");
    fixture.advance(kSettleDelay);
    REQUIRE(fixture.countRuns("one") == 1);
    fixture.beginStop();
    // The endpoint's time is not cut short: it has most of the grace period.
    fixture.advance(Duration { 6700 });
    fixture.receive();
    CHECK(fixture.text.empty());
    fixture.finishStop();
    INFO(fixture.text);
    CHECK(fixture.text.starts_with("HTTP/1.1 502"));
    CHECK(fixture.text.ends_with("}"));
    CHECK(fixture.gateway->inProgress() == 0);
    CHECK(fixture.countRuns("one") == 1);
}

TEST_CASE("Stop refuses a request that has not been read completely before the process exits", "[http][stop]")
{
    GatewayConnectionFixture fixture;
    fixture.sendText("POST /order/1 HTTP/1.1\r\nHost: hooks.example\r\nContent-Length: 10\r\n\r\n");
    fixture.advance(kSettleDelay);
    fixture.beginStop();
    fixture.finishStop();
    INFO(fixture.text);
    CHECK(fixture.text.starts_with("HTTP/1.1 503"));
}

TEST_CASE("Stop answers a request that arrived on an idle connection just before it is closed", "[http][stop]")
{
    GatewayConnectionFixture fixture;
    fixture.beginStop();
    fixture.advance(Duration { 2590 });
    fixture.send("one", "/order/1");
    fixture.time += Duration { 100 };
    fixture.finishStop();
    INFO(fixture.text);
    CHECK(fixture.text.starts_with("HTTP/1.1 503"));
}

TEST_CASE("Stop answers pipelined requests that were read before it closes the connection", "[http][stop]")
{
    GatewayConnectionFixture fixture;
    fixture.beginStop();
    fixture.send("one", "/order/1");
    fixture.send("two", "/order/2");
    fixture.finishStop();
    INFO(fixture.text);
    CHECK(countOf(fixture.text, "HTTP/1.1 200") == 2);
    CHECK(countOf(fixture.text, "Connection: close") == 1);
}

TEST_CASE("Request that ends with an unexpected exception is answered and logged", "[http]")
{
    for (const std::string attempt : { "one", "unreadable" }) {
        GatewayConnectionFixture fixture;
        fixture.behaviors["engine"] = EndpointBehavior::Throw;
        fixture.send(attempt, "/order/1");
        fixture.advance(kSettleDelay);
        fixture.receive();
        INFO(fixture.text);
        CHECK(fixture.text.starts_with("HTTP/1.1 502"));
        CHECK(fixture.text.ends_with("}"));
        CHECK(fixture.gateway->inProgress() == 0);
        CHECK(fixture.logText.find("internal_error") != std::string::npos);
        CHECK(fixture.logText.find(attempt == "one" ? "unexpected" : "unreadable") != std::string::npos);
    }
}

TEST_CASE("Unexpected exception leaves no request counted at its endpoint", "[http]")
{
    GatewayConnectionFixture fixture;
    fixture.behaviors["engine"] = EndpointBehavior::Throw;
    fixture.send("one", "/order/1");
    fixture.advance(kSettleDelay);
    fixture.behaviors["engine"] = EndpointBehavior::Answer;
    CHECK(fixture.sendAndWait("two", "/order/2")->outcome->isComplete());
    CHECK(fixture.logText.find("\"in_flight\":2") == std::string::npos);
}

TEST_CASE("Request that arrived whole while the host stood still gets an answer", "[http][deadline]")
{
    GatewayConnectionFixture fixture;
    fixture.sendText(kHalfRequest);
    fixture.advance(kSettleDelay);
    fixture.sendText(kOtherHalf);
    fixture.stall(Duration { 20'000 });
    fixture.advance(kSettleDelay);
    fixture.receive();
    INFO(fixture.text);
    CHECK(countOf(fixture.text, "HTTP/1.1 ") == 1);
}

TEST_CASE("Time for which the host stood still does not count as a caller's silence", "[http][deadline]")
{
    GatewayConnectionFixture fixture;
    fixture.sendText(kHalfRequest);
    fixture.advance(kSettleDelay);
    fixture.stall(Duration { 20'000 });
    fixture.sendText(kOtherHalf);
    fixture.advance(kSettleDelay);
    fixture.receive();
    INFO(fixture.text);
    CHECK(countOf(fixture.text, "HTTP/1.1 ") == 1);
}

TEST_CASE("Caller that does not send its request in time is disconnected", "[http][deadline]")
{
    GatewayConnectionFixture fixture;
    fixture.sendText(kHalfRequest);
    fixture.advance(CallerBounds {}.headerTimeout + Duration { 500 });
    std::string bytes(1, '\0');
    boost::system::error_code error;
    fixture.caller.non_blocking(true);
    static_cast<void>(fixture.caller.read_some(asio::buffer(bytes), error));
    const bool isOpen = error == asio::error::would_block;
    CHECK_FALSE(isOpen);
}

TEST_CASE("Longer idle timeout of a new plan holds for a connection that is already idle", "[http][deadline]")
{
    GatewayConnectionFixture fixture;
    auto bounds = CallerBounds {};
    bounds.idleTimeout = Duration { 2000 };
    auto plan = GatewayConnectionFixture::makePlan(2);
    plan.setCallerBounds(bounds);
    fixture.putPlan(plan);
    fixture.advance(kSettleDelay);
    fixture.send("one", "/status/1");
    fixture.advance(kSettleDelay);
    bounds.idleTimeout = Duration { 10'000 };
    plan = GatewayConnectionFixture::makePlan(3);
    plan.setCallerBounds(bounds);
    fixture.putPlan(plan);
    fixture.advance(Duration { 7000 });
    fixture.send("two", "/status/2");
    fixture.advance(kSettleDelay);
    fixture.receive();
    INFO(fixture.text);
    CHECK(countOf(fixture.text, "HTTP/1.1 200") == 2);
}

TEST_CASE("Request on a connection that was idle during a change of the plan has the new plan's limits", "[http][plan]")
{
    GatewayConnectionFixture fixture;
    auto bounds = CallerBounds {};
    bounds.maxBodyBytes = 10;
    auto plan = GatewayConnectionFixture::makePlan(2);
    plan.setCallerBounds(bounds);
    fixture.putPlan(plan);
    fixture.advance(kSettleDelay);
    fixture.send("one", "/status/1");
    fixture.advance(kSettleDelay);
    bounds.maxBodyBytes = 100;
    plan = GatewayConnectionFixture::makePlan(3);
    plan.setCallerBounds(bounds);
    fixture.putPlan(plan);
    fixture.advance(Duration { 2000 });
    fixture.sendText(
        "POST /status/2 HTTP/1.1\r\nHost: hooks.example\r\nattempt: two\r\nkey: shop-key\r\nContent-Length: "
        "50\r\n\r\n"
        + std::string(50, 'x'));
    fixture.advance(kSettleDelay);
    fixture.receive();
    INFO(fixture.text);
    CHECK(countOf(fixture.text, "HTTP/1.1 200") == 2);
}
