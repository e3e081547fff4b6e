#include "berylwing/http/endpoint_session.hpp"

#include "support/runtime_context.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kDeadline { 5000 };
/** Last retransmission of a packet that was lost in the first 1.5 s, in which a sound endpoint may be silent. */
constexpr Duration kRetransmittedAfterPause { 3000 };

/** Time after which callers abandon a request without any event. */
constexpr Duration kMaxCallerPatience { 2000 };

/** Lists how an endpoint ends its connection. */
enum class End {
    KeepOpen,
    Close,
    Reset,
};

const std::string kHead = "HTTP/1.1 200 OK\r\nattempt: two\r\nContent-Length: 4\r\n\r\n";

/** Endpoint that sends given bytes for each request on one connection. */
class ScriptedEndpoint {
public:
    /** Result of a call. */
    struct Result {
        unsigned status = 0;
        bool isNotRun = false;
        std::string body;
        bool isComplete = false;
        std::optional<EndpointFault> fault;
    };

    ScriptedEndpoint()
    {
        this->protocol.readAnswer = [](const HeaderFields& fields) {
            ResponseMetadata metadata;
            metadata.attemptId = std::string { fields["attempt"] };
            metadata.isNotRun = fields.count("not-run") > 0;
            metadata.idleTimeout = Duration { 5000 };
            return metadata;
        };
    }

    ~ScriptedEndpoint() { this->context.destroyPending(); }

    Task<void> serve(std::vector<std::string> answers, End end)
    {
        auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
        boost::system::error_code error;
        for (const auto& answer : answers) {
            std::string received(4096, '\0');
            co_await socket.async_read_some(asio::buffer(received), asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(answer), asio::redirect_error(asio::use_awaitable, error));
        }
        if (end == End::KeepOpen)
            co_await socket.async_wait(Tcp::socket::wait_error, asio::redirect_error(asio::use_awaitable, error));
        // The answer has to arrive before a reset, which discards what was not received yet.
        while (end == End::Reset && !this->hasHead)
            co_await asio::post(this->context, asio::use_awaitable);
        if (end == End::Reset)
            socket.set_option(asio::socket_base::linger { true, 0 });
        socket.close(error);
    }

    Task<void> call(std::vector<std::string> attempts)
    {
        for (const auto& attempt : attempts) {
            auto& result = this->results.emplace_back();
            const auto session = co_await this->open(this->endpoint, ConnectionReuse::AnyIdle);
            const auto deadline = this->clock.now() + kDeadline;
            const std::string body;
            const EndpointRequest request { "POST", "/", {}, body, attempt };
            try {
                co_await session->send(request);
                const auto head = co_await session->readHead(deadline);
                this->hasHead = true;
                result.status = head.status;
                result.isNotRun = head.metadata.isNotRun;
                while (const auto bytes = co_await session->readBody(deadline))
                    result.body += *bytes;
                result.isComplete = true;
            } catch (const EndpointError& error) {
                result.fault = error.fault();
            }
        }
        this->isDone = true;
    }

    /** Sends a request and reads the head of its response. @return User timeouts of the connection after each. */
    std::pair<Duration, Duration> measureUnackedTimeouts(bool isRetryable, bool isResumable)
    {
        std::pair<Duration, Duration> timeouts;
        spawn(this->context.get_executor(), "endpoint", this->serve({ kHead }, End::KeepOpen));
        spawn(this->context.get_executor(), "call",
            [](ScriptedEndpoint* self, EndpointRequest request, std::pair<Duration, Duration>* found) -> Task<void> {
                const auto session = co_await self->open(self->endpoint, ConnectionReuse::AnyIdle);
                co_await session->send(request);
                found->first = self->findUnackedTimeout();
                static_cast<void>(co_await session->readHead(self->clock.now() + kDeadline));
                found->second = self->findUnackedTimeout();
                session->abort();
                self->isDone = true;
            }(this, EndpointRequest { "POST", "/", {}, this->emptyBody, "two", isRetryable, isResumable }, &timeouts));
        this->runUntilDone();
        return timeouts;
    }

    /** Returns the TCP_USER_TIMEOUT of the socket that is connected to the endpoint. */
    [[nodiscard]] Duration findUnackedTimeout() const
    {
        constexpr int kMaxDescriptor = 1024;
        for (int descriptor = 0; descriptor < kMaxDescriptor; ++descriptor) {
            sockaddr_in peer {};
            socklen_t size = sizeof(peer);
            if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&peer), &size) != 0 || peer.sin_family != AF_INET
                || ntohs(peer.sin_port) != this->acceptor.local_endpoint().port())
                continue;
            unsigned timeout = 0;
            size = sizeof(timeout);
            REQUIRE(getsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, &size) == 0);
            return Duration { timeout };
        }
        return {};
    }

    /** Sends the requests one after the other; each gets the answer at its position. */
    std::vector<Result> run(
        const std::vector<std::string>& attempts, const std::vector<std::string>& answers, End end = End::KeepOpen)
    {
        spawn(this->context.get_executor(), "endpoint", this->serve(answers, end));
        spawn(this->context.get_executor(), "calls", this->call(attempts));
        this->runUntilDone();
        return this->results;
    }

    void runUntilDone()
    {
        for (int count = 0; count < 100'000 && !this->isDone; ++count) {
            this->context.restart();
            this->context.run_one_for(std::chrono::milliseconds { 20 });
        }
        REQUIRE(this->isDone);
    }

    [[nodiscard]] EndpointRecord makeRecord()
    {
        EndpointRecord record;
        record.id = "engine";
        record.address = { "127.0.0.1", this->acceptor.local_endpoint().port() };
        return record;
    }

    berylwing::test::RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    GatewayProtocol protocol;
    Tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    SessionFactory open = makeSessionFactory(this->clock, this->protocol);
    GatewayEndpoint endpoint { this->makeRecord() };
    std::vector<Result> results;
    const std::string emptyBody;
    bool hasHead = false;
    bool isDone = false;
};

const std::string kAnswer = "HTTP/1.1 200 OK\r\nattempt: two\r\nContent-Length: 4\r\n\r\nmilk";

std::string refusal(const std::string& attempt)
{
    const auto field = attempt.empty() ? std::string {} : "attempt: " + attempt + "\r\n";
    return "HTTP/1.1 503 Busy\r\n" + field + "not-run: 1\r\nContent-Length: 4\r\n\r\nbusy";
}

} // namespace

TEST_CASE("A refusal that is sent again on a kept connection does not refuse the next request", "[http][session]")
{
    ScriptedEndpoint endpoint;
    const auto results = endpoint.run({ "one", "two" }, { refusal("one"), refusal("one") + kAnswer });
    REQUIRE(results.size() == 2);
    CHECK(results[0].isNotRun);
    CHECK_FALSE(results[1].isNotRun);
    CHECK(results[1].status == 200);
    CHECK(results[1].body == "milk");
}

TEST_CASE("A refusal that names no request proves nothing on a kept connection", "[http][session]")
{
    ScriptedEndpoint endpoint;
    const auto results = endpoint.run({ "one", "two" }, { refusal(""), refusal("") + kAnswer });
    REQUIRE(results.size() == 2);
    // On a new connection it can only belong to the first request.
    CHECK(results[0].isNotRun);
    CHECK_FALSE(results[1].isNotRun);
    CHECK(results[1].fault == EndpointFault::Broken);
}

TEST_CASE("A response whose head ends with the connection is broken", "[http][session]")
{
    for (const std::string head : { "H", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nattempt: one",
             "HTTP/1.1 200 OK\r\nattempt: one\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r" }) {
        CAPTURE(head);
        ScriptedEndpoint fresh;
        const auto first = fresh.run({ "one" }, { head }, End::Close);
        CHECK(first.back().fault == EndpointFault::Broken);
        CHECK(first.back().status == 0);
        ScriptedEndpoint kept;
        const auto second = kept.run({ "two", "one" }, { kAnswer, head }, End::Close);
        CHECK(second.back().fault == EndpointFault::Broken);
        CHECK(second.back().status == 0);
    }
}

TEST_CASE("A response without a length ends with its connection, but not with a reset", "[http][session]")
{
    const std::string answer = "HTTP/1.1 200 OK\r\nattempt: one\r\n\r\nmilk";
    ScriptedEndpoint closing;
    const auto whole = closing.run({ "one" }, { answer }, End::Close);
    CHECK(whole.back().isComplete);
    CHECK(whole.back().body == "milk");
    ScriptedEndpoint resetting;
    const auto broken = resetting.run({ "one" }, { answer }, End::Reset);
    CHECK_FALSE(broken.back().isComplete);
    CHECK(broken.back().fault == EndpointFault::Broken);
}

TEST_CASE("The connection of a request that cannot be retried outlasts a pause of its endpoint", "[http][session]")
{
    ScriptedEndpoint endpoint;
    const auto timeouts = endpoint.measureUnackedTimeouts(false, false);
    CHECK(timeouts.first > kRetransmittedAfterPause);
    CHECK(timeouts.second > kRetransmittedAfterPause);
}

TEST_CASE(
    "The connection of a retryable request outlasts a pause once its response cannot be resumed", "[http][session]")
{
    ScriptedEndpoint endpoint;
    const auto timeouts = endpoint.measureUnackedTimeouts(true, false);
    CHECK(timeouts.first < kMaxCallerPatience);
    CHECK(timeouts.second > kRetransmittedAfterPause);
    ScriptedEndpoint resumable;
    const auto resumed = resumable.measureUnackedTimeouts(true, true);
    CHECK(resumed.second < kMaxCallerPatience);
}

TEST_CASE("A session with an endpoint that has no IP address fails as not sent", "[http][session]")
{
    berylwing::test::RuntimeContext context;
    Clock clock { context.get_executor() };
    const GatewayProtocol protocol;
    const auto open = makeSessionFactory(clock, protocol);
    EndpointRecord record;
    record.address = { "engine.example", 8080 };
    const GatewayEndpoint endpoint { record };
    std::optional<EndpointFault> fault;
    spawn(context.get_executor(), "call",
        [](const SessionFactory& factory, const GatewayEndpoint& target,
            std::optional<EndpointFault>& result) -> Task<void> {
            try {
                co_await factory(target, ConnectionReuse::None);
            } catch (const EndpointError& error) {
                result = error.fault();
            }
        }(open, endpoint, fault));
    context.run_for(std::chrono::milliseconds { 100 });
    CHECK(fault == EndpointFault::NotSent);
    context.destroyPending();
}
