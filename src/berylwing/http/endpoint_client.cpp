#include "berylwing/http/endpoint_client.hpp"

#include "berylwing/http/endpoint_pool.hpp"
#include "berylwing/http/endpoint_probe.hpp"
#include "berylwing/http/http_call.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/intrusive/list.hpp>
#include <functional>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using ResponseParser = http::response_parser<http::buffer_body>;

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr Duration kConnectTimeout { 1000 };
constexpr Duration kStreamSilence { 30'000 };
constexpr Duration kWatchInterval { 100 };

std::string textOf(beast::string_view view) { return { view.data(), view.size() }; }

HttpRequest toRequest(const EndpointCall& call)
{
    const auto& source = call.request;
    HttpRequest request { http::string_to_verb(source.method()), source.path(), kHttpVersion };
    request.method_string(source.method());
    request.set("X-Request-Id", std::to_string(call.attempt));
    request.set("X-Workspace", source.workspace());
    request.set("X-Priority", std::to_string(source.priority()));
    if (!source.chat().empty())
        request.set("X-Chat-Id", source.chat());
    if (!source.content_type().empty())
        request.set(http::field::content_type, source.content_type());
    if (!source.idempotency_key().empty())
        request.set("Idempotency-Key", source.idempotency_key());
    if (call.resumeOffset > 0) {
        request.set("X-Resume-Stream", call.resumeToken);
        request.set("X-Resume-Offset", std::to_string(call.resumeOffset));
    }
    request.body() = source.body();
    return request;
}

/** Time until which a call has to show a sign of life, in the list of all calls. */
struct CallWatch : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    TimePoint silentAt = TimePoint::max();
    std::function<void()> expire;
};

/** What the calls to all endpoints share. */
class EndpointClient : public std::enable_shared_from_this<EndpointClient> {
    /** Ends calls that gave no sign of life; one task for all calls needs no timer for each read. */
    Task<void> watch();

public:
    explicit EndpointClient(Clock& hostClock)
        : clock { hostClock }
        , pool { hostClock }
        , scratch(kReadBytes, '\0')
    {
    }

    Task<std::shared_ptr<EndpointConnection>> connect(EndpointObject endpoint);
    void add(CallWatch& call);

    Clock& clock;
    EndpointPool pool;
    /** Room for the body of one read, which is copied before anything else runs. */
    std::string scratch;

private:
    using Calls = boost::intrusive::list<CallWatch, boost::intrusive::constant_time_size<false>>;

    Calls calls;
    bool isWatching = false;
};

/** Connection to an endpoint that carries one call. */
class Call {
    [[noreturn]] void throwBroken(const std::string& text) const
    {
        throw EndpointError { this->isExpired ? EndpointFault::Silent : EndpointFault::Broken, text };
    }

    void expectLifeUntil(TimePoint deadline)
    {
        this->watch.silentAt = std::min(deadline, this->client->clock.now() + kStreamSilence);
    }

    /** Reads more bytes; an end of the connection is the end of some answers. */
    Task<void> readMore(TimePoint deadline)
    {
        boost::system::error_code error;
        this->expectLifeUntil(deadline);
        const auto size = co_await this->connection->socket.async_read_some(
            this->connection->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
        this->connection->buffer.commit(size);
        // An end before the first byte is no answer at all.
        if (error == asio::error::eof && this->parser.got_some()) {
            error = {};
            this->parser.put_eof(error);
        }
        if (error)
            this->throwBroken(error.message());
    }

    /** Hands the bytes that were read to the parser. */
    void parse()
    {
        boost::system::error_code error;
        const auto size = this->parser.put(this->connection->buffer.data(), error);
        this->connection->buffer.consume(size);
        if (error && error != http::error::need_buffer && error != http::error::need_more)
            this->throwBroken(error.message());
    }

    /** Keeps the connection for the next call if nothing is outstanding on it. */
    void release()
    {
        if (this->isPooled && this->parser.keep_alive() && this->connection->buffer.size() == 0)
            this->client->pool.give(this->address, std::move(this->connection));
    }

    void expire()
    {
        this->isExpired = true;
        this->abort();
    }

public:
    Call(std::shared_ptr<EndpointClient> endpointClient, SocketAddress endpointAddress, bool mayBePooled)
        : client { std::move(endpointClient) }
        , address { std::move(endpointAddress) }
        , isPooled { mayBePooled }
    {
        this->parser.body_limit(boost::none);
        this->parser.eager(true);
        this->watch.expire = [this] { this->expire(); };
        this->client->add(this->watch);
    }

    Task<void> connect()
    {
        if (this->isPooled)
            this->connection = this->client->pool.take(this->address);
        if (this->connection)
            co_return;
        const auto& clock = this->client->clock;
        this->connection = std::make_unique<PooledConnection>(clock.executor());
        this->connection->openedAt = clock.now();
        this->watch.silentAt = clock.now() + kConnectTimeout;
        boost::system::error_code error;
        const asio::ip::tcp::endpoint target { asio::ip::make_address(this->address.address), this->address.port };
        auto& socket = this->connection->socket;
        co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throw EndpointError { EndpointFault::NotSent, error.message() };
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
        this->watch.silentAt = TimePoint::max();
    }

    Task<void> send(const EndpointCall& call)
    {
        this->attempt = std::to_string(call.attempt);
        auto request = toRequest(call);
        request.set(http::field::host, "endpoint");
        request.prepare_payload();
        boost::system::error_code error;
        this->expectLifeUntil(TimePoint::max());
        co_await http::async_write(this->connection->socket, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            this->throwBroken(error.message());
    }

    Task<EndpointHead> readHead(TimePoint deadline)
    {
        this->parser.get().body() = { this->client->scratch.data(), 0, true };
        while (!this->parser.is_header_done()) {
            co_await this->readMore(deadline);
            this->parse();
        }
        const auto& response = this->parser.get();
        const auto echoed = textOf(response["X-Request-Id"]);
        if (!echoed.empty() && echoed != this->attempt)
            throw EndpointError { EndpointFault::Broken, "the endpoint answered another request" };
        EndpointHead head;
        head.status = response.result_int();
        head.contentType = textOf(response[http::field::content_type]);
        head.bootId = textOf(response["X-Boot-Id"]);
        head.resumeToken = textOf(response["X-Stream-Id"]);
        co_return head;
    }

    Task<std::optional<std::string>> readBody(TimePoint deadline)
    {
        auto& scratch = this->client->scratch;
        while (!this->parser.is_done()) {
            auto& body = this->parser.get().body();
            body = { scratch.data(), scratch.size(), true };
            if (this->connection->buffer.size() > 0)
                this->parse();
            const auto size = scratch.size() - body.size;
            if (size > 0)
                co_return scratch.substr(0, size);
            if (!this->parser.is_done())
                co_await this->readMore(deadline);
        }
        this->release();
        co_return std::nullopt;
    }

    void abort()
    {
        boost::system::error_code ignored;
        if (this->connection)
            this->connection->socket.close(ignored);
    }

private:
    std::shared_ptr<EndpointClient> client;
    SocketAddress address;
    bool isPooled;
    PooledConnectionPtr connection;
    ResponseParser parser;
    std::string attempt;
    CallWatch watch;
    bool isExpired = false;
};

void EndpointClient::add(CallWatch& call)
{
    this->calls.push_back(call);
    if (std::exchange(this->isWatching, true))
        return;
    spawn(this->clock.executor(), "endpoint watch", [](std::shared_ptr<EndpointClient> client) -> Task<void> {
        co_await client->watch();
    }(this->shared_from_this()));
}

Task<void> EndpointClient::watch()
{
    while (!this->calls.empty()) {
        for (auto& call : this->calls) {
            if (this->clock.now() >= call.silentAt)
                call.expire();
        }
        co_await this->clock.sleepFor(kWatchInterval);
    }
    this->isWatching = false;
}

Task<std::shared_ptr<EndpointConnection>> EndpointClient::connect(EndpointObject endpoint)
{
    // Calls of services may not be repeatable, so that none of them meets a connection that its endpoint just closes.
    const bool mayBePooled = endpoint.kind == EndpointKind::Engine;
    const auto call = std::make_shared<Call>(
        this->shared_from_this(), SocketAddress { endpoint.address, endpoint.port }, mayBePooled);
    co_await call->connect();
    auto connection = std::make_shared<EndpointConnection>();
    connection->send = [call](const EndpointCall& request) { return call->send(request); };
    connection->readHead = [call](TimePoint deadline) { return call->readHead(deadline); };
    connection->readBody = [call](TimePoint deadline) { return call->readBody(deadline); };
    connection->abort = [call] { call->abort(); };
    co_return connection;
}

} // namespace

EndpointAccess makeEndpointAccess(Clock& clock)
{
    const auto client = std::make_shared<EndpointClient>(clock);
    EndpointAccess access;
    access.connect = [client](const EndpointObject& endpoint, TimePoint) { return client->connect(endpoint); };
    access.probe = [&clock](const EndpointObject& endpoint, TimePoint deadline) {
        return probeEndpoint(clock, endpoint, deadline);
    };
    return access;
}

} // namespace berylwing
