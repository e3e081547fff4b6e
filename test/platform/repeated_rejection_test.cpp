#include "platform/daemon_harness.hpp"
#include "platform/names.hpp"
#include <catch2/catch.hpp>
#include <map>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;
namespace http = boost::beast::http;
namespace names = platform::names;

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kOk = 200;

/** Endpoint that has restarted under another id, and sends its rejections twice: the copy before the next answer. */
class RestartedEndpoint {
public:
    explicit RestartedEndpoint(std::string currentId)
        : id { std::move(currentId) }
    {
    }

    Task<bool> handle(boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        const auto attemptId = header(request, std::string { names::kAttemptId }.c_str());
        const auto copy = this->copies.find(&stream);
        if (copy != this->copies.end()) {
            co_await respond(stream, copy->second);
            this->copies.erase(&stream);
        }
        if (header(request, std::string { names::kExpectInstance }.c_str()) != this->id) {
            StandInResponse rejection { http::status::misdirected_request, kHttpVersion };
            rejection.set(std::string { names::kAttemptId }, attemptId);
            rejection.set(std::string { names::kNotExecuted }, "1");
            this->copies[&stream] = rejection;
            co_await respond(stream, rejection);
            co_return true;
        }
        this->runs.push_back(attemptId);
        StandInResponse answer { http::status::ok, kHttpVersion };
        answer.set(std::string { names::kAttemptId }, attemptId);
        answer.set(std::string { names::kSignature }, this->id);
        answer.body() = "done by " + this->id;
        co_await respond(stream, answer);
        co_return true;
    }

    void listenAt(DaemonHarness& harness, std::uint16_t number)
    {
        harness.listen(number, [this](boost::beast::tcp_stream& stream, const StandInRequest& request) {
            return this->handle(stream, request);
        });
    }

    /** Attempts that have run. */
    std::vector<std::string> runs;

private:
    std::string id;
    std::map<boost::beast::tcp_stream*, StandInResponse> copies;
};

} // namespace

// Guards against orders that run twice because a copy of an earlier rejection is taken for the answer of the one that
// ran.
TEST_CASE("An order runs once although its first rejection comes twice", "[platform][once]")
{
    DaemonHarness harness;
    RestartedEndpoint restarted { "b-new" };
    RestartedEndpoint other { "c-other" };
    restarted.listenAt(harness, 1);
    other.listenAt(harness, 2);
    harness.putEndpoint("a-old", "desk", 1);
    harness.putEndpoint("b-new", "desk", 1);
    harness.putEndpoint("c-other", "desk", 2);
    harness.start();
    const auto response = harness.call(DaemonHarness::makeRequest("/order/1", "one"));
    CHECK(response.result_int() == kOk);
    CHECK(response.body() == "done by b-new");
    CHECK(restarted.runs == std::vector<std::string> { "one" });
    CHECK(other.runs.empty());
}

// Guards against orders that are refused as not run although they ran.
TEST_CASE("An order that ran is not refused because its first rejection comes twice", "[platform][once]")
{
    DaemonHarness harness;
    RestartedEndpoint restarted { "b-new" };
    restarted.listenAt(harness, 1);
    harness.putEndpoint("a-old", "desk", 1);
    harness.putEndpoint("b-new", "desk", 1);
    harness.start();
    const auto response = harness.call(DaemonHarness::makeRequest("/order/1", "one"));
    CHECK(response.result_int() == kOk);
    CHECK(restarted.runs == std::vector<std::string> { "one" });
}
