#include "berylwing/http/endpoint_session.hpp"

#include "berylwing/http/endpoint_probe.hpp"
#include "berylwing/http/http_call.hpp"
#include "support/runtime_context.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

namespace {

using namespace berylwing;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr Duration kDeadline { 5000 };
/** Bytes after which the endpoint gives up; more than the socket buffers of both sides hold. */
constexpr std::size_t kMaxSentBytes = 64 * 1024 * 1024;
constexpr unsigned kHttpVersion = 11;
/** So long that only the size of the response can end the call. */
constexpr Duration kStoreTimeout { 600'000 };
/** Real time without an event after which nothing more happens; a full connection goes on when its reader is run again.
 */
constexpr std::chrono::seconds kIdleTimeout { 2 };

/** Endpoint that answers a request with a prefix and then repeats a filler until the connection is closed. */
class EndlessEndpoint {
public:
    EndlessEndpoint()
    {
        this->protocol.readAnswer = [](const HeaderFields& fields) {
            ResponseMetadata metadata;
            metadata.attemptId = std::string { fields["attempt"] };
            return metadata;
        };
    }

    ~EndlessEndpoint() { this->context.destroyPending(); }

    Task<void> serve(std::string prefix, std::string filler)
    {
        auto socket = co_await this->acceptor.async_accept(asio::use_awaitable);
        co_await socket.async_wait(Tcp::socket::wait_read, asio::use_awaitable);
        boost::system::error_code error;
        co_await asio::async_write(socket, asio::buffer(prefix), asio::redirect_error(asio::use_awaitable, error));
        while (!error && this->sentBytes < kMaxSentBytes && !filler.empty())
            this->sentBytes += co_await asio::async_write(
                socket, asio::buffer(filler), asio::redirect_error(asio::use_awaitable, error));
        std::string request(64 * 1024, '\0');
        while (!error && filler.empty())
            co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, error));
        this->isClosed = static_cast<bool>(error);
    }

    Task<void> call()
    {
        const auto session = co_await this->open(this->endpoint, ConnectionReuse::None);
        const auto deadline = this->clock.now() + kDeadline;
        try {
            co_await session->send(this->request);
            static_cast<void>(co_await session->readHead(deadline));
            this->hasHead = true;
            while (const auto bytes = co_await session->readBody(deadline))
                this->bodyBytes += bytes->size();
            this->isComplete = true;
        } catch (const EndpointError& error) {
            this->fault = error.fault();
        }
    }

    [[nodiscard]] EndpointRecord makeRecord()
    {
        EndpointRecord record;
        record.id = "engine";
        record.address = { "127.0.0.1", this->acceptor.local_endpoint().port() };
        return record;
    }

    /** Calls the endpoint like the store. */
    Task<void> callStore()
    {
        HttpRequest call { boost::beast::http::verb::get, "/", kHttpVersion };
        try {
            static_cast<void>(co_await callHttp(this->endpoint.record.address, std::move(call), kStoreTimeout));
            this->isComplete = true;
        } catch (const HttpCallError& error) {
            this->storeFault = error.fault();
        }
    }

    /** Asks the endpoint for its load. */
    Task<void> probe()
    {
        EndpointObject target;
        target.kind = EndpointKind::Engine;
        target.address = this->endpoint.record.address.address;
        target.port = this->endpoint.record.address.port;
        try {
            static_cast<void>(co_await probeEndpoint(this->clock, target, this->clock.now() + kStoreTimeout));
            this->isComplete = true;
        } catch (const EndpointError& error) {
            this->fault = error.fault();
        }
    }

    /** Lets the endpoint answer; the clock does not advance. */
    void run(const std::string& prefix, const std::string& filler)
    {
        spawn(this->context.get_executor(), "endpoint", this->serve(prefix, filler));
        spawn(this->context.get_executor(), "call", this->call());
        while (!this->fault && !this->isComplete && this->sentBytes < kMaxSentBytes && this->step()) { }
        // The call has ended or the endpoint has given up; a closed connection shows at the endpoint's next bytes.
        for (int count = 0; count < 1000 && !this->isClosed; ++count)
            this->step();
    }

    bool step()
    {
        this->context.restart();
        return this->context.run_one_for(kIdleTimeout) > 0;
    }

    berylwing::test::RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    GatewayProtocol protocol;
    Tcp::acceptor acceptor { this->context, { asio::ip::make_address("127.0.0.1"), 0 } };
    SessionFactory open = makeSessionFactory(this->clock, this->protocol);
    GatewayEndpoint endpoint { this->makeRecord() };
    std::string requestBody;
    EndpointRequest request { "POST", "/", {}, this->requestBody, "one" };
    std::size_t sentBytes = 0;
    std::size_t bodyBytes = 0;
    bool hasHead = false;
    bool isComplete = false;
    /** Whether the endpoint has seen that its connection was closed. */
    bool isClosed = false;
    std::optional<EndpointFault> fault;
    std::optional<HttpFault> storeFault;
};

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

constexpr std::size_t kFillerBytes = 16 * 1024;
const std::string kHead = "HTTP/1.1 200 OK\r\nattempt: one\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kStaleHead = "HTTP/1.1 200 OK\r\nattempt: other\r\nTransfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("A connection whose response head does not end is closed without waiting for a deadline", "[http][endless]")
{
    EndlessEndpoint endpoint;
    // An endpoint that does not read the request must not keep the connection open either.
    endpoint.requestBody = std::string(GENERATE(std::size_t { 0 }, std::size_t { 16 * 1024 * 1024 }), 'r');
    SECTION("one field") { endpoint.run(kHead + "note: ", repeat("a", kFillerBytes)); }
    SECTION("fields") { endpoint.run(kHead, repeat("note: a\r\n", kFillerBytes)); }
    SECTION("status line") { endpoint.run("HTTP/1.1 200 ", repeat("a", kFillerBytes)); }
    SECTION("no status line") { endpoint.run("", repeat("a", kFillerBytes)); }
    SECTION("empty lines") { endpoint.run("", repeat("\r\n", kFillerBytes)); }
    SECTION("interim responses") { endpoint.run("", repeat("HTTP/1.1 100 Continue\r\n\r\n", kFillerBytes)); }
    SECTION("early hints") { endpoint.run("", repeat("HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n", kFillerBytes)); }
    CHECK(endpoint.fault == EndpointFault::Broken);
    CHECK_FALSE(endpoint.hasHead);
    CHECK(endpoint.isClosed);
    CHECK(endpoint.sentBytes < kMaxSentBytes);
}

TEST_CASE("A connection on which a response to another request does not end is closed", "[http][endless]")
{
    EndlessEndpoint endpoint;
    endpoint.run(kStaleHead, repeat("8\r\naaaaaaaa\r\n", kFillerBytes));
    CHECK(endpoint.fault == EndpointFault::Broken);
    CHECK_FALSE(endpoint.hasHead);
    CHECK(endpoint.isClosed);
    CHECK(endpoint.sentBytes < kMaxSentBytes);
}

TEST_CASE("A connection whose body has bytes without end that are no part of it is closed", "[http][endless]")
{
    EndlessEndpoint endpoint;
    SECTION("chunk size") { endpoint.run(kChunkedHead, repeat("0", kFillerBytes)); }
    SECTION("chunk extension") { endpoint.run(kChunkedHead + "8;note=", repeat("a", kFillerBytes)); }
    SECTION("trailer") { endpoint.run(kChunkedHead + "0\r\nnote: ", repeat("a", kFillerBytes)); }
    SECTION("trailers") { endpoint.run(kChunkedHead + "0\r\n", repeat("note: a\r\n", kFillerBytes)); }
    SECTION("chunk without its end") { endpoint.run(kChunkedHead + "1\r\na", repeat("a", kFillerBytes)); }
    CHECK(endpoint.fault == EndpointFault::Broken);
    CHECK_FALSE(endpoint.isComplete);
    CHECK(endpoint.bodyBytes <= 1);
    CHECK(endpoint.isClosed);
    CHECK(endpoint.sentBytes < kMaxSentBytes);
}

TEST_CASE("A call to the store whose response does not end fails after a bounded number of bytes", "[http][endless]")
{
    EndlessEndpoint endpoint;
    const auto [prefix, filler] = GENERATE(table<std::string, std::string>({
        { "HTTP/1.1 200 OK\r\n\r\n", repeat("a", kFillerBytes) },
        { kChunkedHead + "8;note=", repeat("a", kFillerBytes) },
        { kHead, repeat("note: a\r\n", kFillerBytes) },
    }));
    spawn(endpoint.context.get_executor(), "endpoint", endpoint.serve(prefix, filler));
    spawn(endpoint.context.get_executor(), "call", endpoint.callStore());
    while (!endpoint.storeFault && !endpoint.isComplete && endpoint.sentBytes < kMaxSentBytes && endpoint.step()) { }
    for (int count = 0; count < 1000 && !endpoint.isClosed; ++count)
        endpoint.step();
    CHECK(endpoint.storeFault == HttpFault::Interrupted);
    CHECK(endpoint.isClosed);
    CHECK(endpoint.sentBytes < kMaxSentBytes);
}

// Guards against a faulty engine whose load reports take as much memory as a list of all objects of the store.
TEST_CASE("A load report that does not end is given up after a few bytes", "[http][endless]")
{
    // The sockets of both sides hold some more than the host has read.
    constexpr std::size_t kMaxReportBytes = 16 * 1024 * 1024;
    EndlessEndpoint endpoint;
    const auto prefix = GENERATE(std::string { "HTTP/1.1 200 OK\r\n\r\n" }, std::string { kHead });
    const auto filler = prefix == kHead ? repeat("note: a\r\n", kFillerBytes) : repeat("a", kFillerBytes);
    spawn(endpoint.context.get_executor(), "endpoint", endpoint.serve(prefix, filler));
    spawn(endpoint.context.get_executor(), "call", endpoint.probe());
    while (!endpoint.fault && !endpoint.isComplete && endpoint.sentBytes < kMaxSentBytes && endpoint.step()) { }
    for (int count = 0; count < 1000 && !endpoint.isClosed; ++count)
        endpoint.step();
    CHECK(endpoint.fault == EndpointFault::Broken);
    CHECK(endpoint.isClosed);
    CHECK(endpoint.sentBytes < kMaxReportBytes);
}

TEST_CASE("A connection that gets a byte now and then is closed at the deadline of the head", "[http][endless]")
{
    EndlessEndpoint endpoint;
    spawn(endpoint.context.get_executor(), "endpoint", endpoint.serve(kHead + "note: a", ""));
    spawn(endpoint.context.get_executor(), "call", endpoint.call());
    while (endpoint.step()) { }
    CHECK_FALSE(endpoint.fault);
    endpoint.time += kDeadline + Duration { 1000 };
    endpoint.clock.fireDue();
    for (int count = 0; count < 50 && !endpoint.isClosed; ++count) {
        endpoint.step();
        endpoint.clock.fireDue();
    }
    CHECK(endpoint.fault == EndpointFault::Silent);
    CHECK(endpoint.isClosed);
}

// Guards against large answers of the store that are given up while they arrive (CONFIG).
TEST_CASE("A call to the store goes on past its timeout while its response keeps arriving", "[http][endless]")
{
    constexpr std::size_t kPieces = 12;
    constexpr std::size_t kPieceBytes = 32 * 1024;
    static constexpr std::chrono::milliseconds kPieceInterval { 100 };
    berylwing::test::RuntimeContext context;
    Tcp::acceptor acceptor { context, { asio::ip::address_v4::loopback(), 0 } };
    spawn(context.get_executor(), "store", [](Tcp::acceptor& store) -> Task<void> {
        auto socket = co_await store.async_accept(asio::use_awaitable);
        co_await socket.async_wait(Tcp::socket::wait_read, asio::use_awaitable);
        const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPieces * kPieceBytes) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
        const std::string piece(kPieceBytes, 'a');
        asio::steady_timer timer { co_await asio::this_coro::executor };
        for (std::size_t index = 0; index < kPieces; ++index) {
            timer.expires_after(kPieceInterval);
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
        }
    }(acceptor));
    std::optional<std::size_t> received;
    const SocketAddress address { "127.0.0.1", acceptor.local_endpoint().port() };
    spawn(context.get_executor(), "call", [](SocketAddress store, std::optional<std::size_t>& bytes) -> Task<void> {
        HttpRequest request { boost::beast::http::verb::get, "/", kHttpVersion };
        const auto response = co_await callHttp(std::move(store), std::move(request), Duration { 800 });
        bytes = response.body().size();
    }(address, received));
    context.run_for(std::chrono::seconds { 20 });
    CHECK(received == kPieces * kPieceBytes);
}
