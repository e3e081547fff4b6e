#include "berylwing/http/platform_transport.hpp"

#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "stand_ins/http_server.hpp"
#include "support/loopback_address.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <chrono>

using namespace berylwing;
using namespace berylwing::test;

// Guards against names that end the path of a call, or its request line, before their own end.
TEST_CASE("The path of an object holds its whole name, whatever its characters", "[http][store]")
{
    const SocketAddress address { loopbackAddressOfProcess(), 8224 };
    RuntimeContext context;
    std::string target;
    spawn(context.get_executor(), "platform",
        listenHttp(context.get_executor(), address.address, address.port,
            [&target](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
                target = std::string { request.target().data(), request.target().size() };
                const StandInResponse response { boost::beast::http::status::not_found, 11 };
                co_await respond(stream, response);
                co_return true;
            }));
    Metrics metrics;
    PlatformClient client { makePlatformTransport(address), metrics };
    spawn(context.get_executor(), "call", [](PlatformClient& store) -> Task<void> {
        co_await store.get(ObjectKind::Contract, "hill co/7?x#y%20");
    }(client));
    constexpr int kMaxSteps = 1000;
    for (int step = 0; step < kMaxSteps && target.empty(); ++step) {
        context.restart();
        context.run_one_for(std::chrono::milliseconds { 20 });
    }
    CHECK(target == "/v1/objects/contracts/hill%20co%2F7%3Fx%23y%2520");
    context.destroyPending();
}
