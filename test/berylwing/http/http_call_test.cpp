#include "berylwing/http/http_call.hpp"

#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

using namespace berylwing;

TEST_CASE("A call to a server that has no IP address fails as not connected", "[http]")
{
    berylwing::test::RuntimeContext context;
    std::optional<HttpFault> fault;
    spawn(context.get_executor(), "call", [](std::optional<HttpFault>& result) -> Task<void> {
        try {
            const SocketAddress address { "store.example", 80 };
            const HttpRequest request;
            co_await callHttp(address, request, Duration { 100 });
        } catch (const HttpCallError& error) {
            result = error.fault();
        }
    }(fault));
    context.run_for(std::chrono::milliseconds { 100 });
    CHECK(fault == HttpFault::NotConnected);
}
