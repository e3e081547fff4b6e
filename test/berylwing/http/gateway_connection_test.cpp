#include "berylwing/http/gateway_server.hpp"

#include "support/gateway_harness.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <unistd.h>

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

    /** Reads the bytes that have arrived, without blocking. */
    void receive()
    {
        this->caller.non_blocking(true);
        std::string bytes(4096, '\0');
        boost::system::error_code error;
        const auto size = this->caller.read_some(asio::buffer(bytes), error);
        this->text.append(bytes, 0, size);
    }

    SocketAddress address { "127.0.0.1", static_cast<std::uint16_t>(20'000 + ::getpid() % 20'000) };
    GatewayServer server { this->runtimeClock(), this->address, *this->gateway };
    asio::io_context callerContext;
    asio::ip::tcp::socket caller { this->callerContext };
    /** Bytes received by the caller. */
    std::string text;
};

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
