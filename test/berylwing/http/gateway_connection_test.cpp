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

/** Gateway behind a listener on loopback, and one caller, advanced step by step. */
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

    /** Takes what has come without waiting. */
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
    /** What the caller has received. */
    std::string text;
};

} // namespace

TEST_CASE("Gateway counts a request as in progress until the end of its answer is written", "[http][stop]")
{
    for (const std::string path : { "/chat/1", "/order/1", "/none/1" }) {
        GatewayConnectionFixture bench;
        bench.send("one", path);
        // After each single step: as soon as nothing is in progress, the caller has the whole answer.
        bool hasBegun = false;
        bool hasEnded = false;
        for (int round = 0; round < 400 && !hasEnded; ++round) {
            bench.time += Duration { 5 };
            bench.runtimeClock().fireDue();
            for (bool isReady = true; isReady && !hasEnded;) {
                isReady = bench.step();
                hasBegun = hasBegun || bench.gateway->inProgress() > 0;
                hasEnded = hasBegun && bench.gateway->inProgress() == 0;
            }
        }
        REQUIRE(hasEnded);
        bench.receive();
        INFO(bench.text);
        const bool isWhole = bench.text.ends_with("0\r\n\r\n") || bench.text.ends_with("}");
        CHECK(isWhole);
    }
}
