#include "platform/daemon_harness.hpp"
#include "platform/names.hpp"
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;
using Tcp = asio::ip::tcp;

constexpr unsigned kHttpVersion = 11;
constexpr Duration kPause { 300 };
constexpr Duration kSettleTime { 500 };

} // namespace

// Guards against work for callers that left while the process of their host was suspended.
TEST_CASE("An order whose caller left while its host stood still is not sent", "[platform][once]")
{
    DaemonHarness harness;
    std::vector<std::string> runs;
    harness.listen(1, [&](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
        const auto attemptId = header(request, std::string { names::kAttemptId }.c_str());
        runs.push_back(attemptId);
        StandInResponse answer { http::status::ok, kHttpVersion };
        answer.set(std::string { names::kAttemptId }, attemptId);
        answer.set(std::string { names::kSignature }, "a");
        answer.body() = "done";
        co_await respond(stream, answer);
        co_return true;
    });
    harness.putEndpoint("a", "desk", 1);
    harness.start();
    boost::beast::tcp_stream caller { harness.executor() };
    caller.socket().connect(
        Tcp::endpoint { asio::ip::make_address(harness.callerAddress().address), harness.callerAddress().port });
    const auto send = [&](const std::string& id) {
        auto request = DaemonHarness::makeRequest("/order/1", id);
        request.set(http::field::host, harness.callerAddress().address);
        http::write(caller.socket(), request);
    };
    send("zero");
    REQUIRE(harness.runUntil([&] { return runs.size() == 1; }));
    harness.process->signal(SIGSTOP);
    send("one");
    caller.socket().close();
    harness.runFor(kPause);
    harness.process->signal(SIGCONT);
    harness.runFor(kSettleTime);
    CHECK(runs == std::vector<std::string> { "zero" });
}
