#include "berylwing/http/endpoint_client.hpp"

#include "berylwing/http/connection_pool.hpp"
#include "berylwing/http/endpoint_probe.hpp"
#include "berylwing/http/http_call.hpp"
#include "berylwing/http/http_text.hpp"
#include "berylwing/http/response_reader.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kReadBytes = 16 * 1024;
constexpr Duration kConnectTimeout { 1000 };

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

/** State shared by the calls to all endpoints. */
class EndpointClient : public std::enable_shared_from_this<EndpointClient> {
public:
    explicit EndpointClient(Clock& hostClock)
        : clock { hostClock }
        , pool { hostClock }
        , scratch(kReadBytes, '\0')
        , deadlineMonitor { std::make_shared<DeadlineMonitor>(hostClock) }
    {
    }

    Task<std::shared_ptr<EndpointConnection>> connect(EndpointObject endpoint);

    Clock& clock;
    ConnectionPool pool;
    /** Buffer for the body of one read; its content is copied before another coroutine can run. */
    std::string scratch;
    std::shared_ptr<DeadlineMonitor> deadlineMonitor;
};

/** One request to an endpoint and its response. */
class Call {
    /** Returns the connection to the pool if it can carry another request. */
    void release()
    {
        if (this->isPooled && this->isNamed && this->reader.isReusable())
            this->client->pool.release(this->address, std::move(this->reader.connection));
    }

public:
    Call(std::shared_ptr<EndpointClient> endpointClient, SocketAddress endpointAddress, bool canBePooled)
        : client { std::move(endpointClient) }
        , address { std::move(endpointAddress) }
        , isPooled { canBePooled }
        , reader { this->client->clock, *this->client->deadlineMonitor, this->client->scratch }
    {
    }

    Task<void> connect()
    {
        if (this->isPooled)
            this->reader.connection = this->client->pool.acquire(this->address);
        this->isReused = this->reader.connection != nullptr;
        if (this->isReused)
            co_return;
        try {
            co_await this->reader.connect(this->address, kConnectTimeout);
        } catch (const EndpointError& error) {
            // No byte of the request is sent before the connection is established, so the request is safe to retry.
            throw EndpointError { EndpointFault::NotSent, error.what() };
        }
    }

    Task<void> send(const EndpointCall& call)
    {
        this->attempt = std::to_string(call.attempt);
        auto request = toRequest(call);
        request.set(http::field::host, "endpoint");
        request.prepare_payload();
        boost::system::error_code error;
        this->reader.setActivityDeadline(TimePoint::max());
        co_await http::async_write(
            this->reader.connection->socket, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throw EndpointError { EndpointFault::Broken, error.message() };
        this->reader.setRequestWritten(true);
    }

    Task<EndpointHead> readHead(TimePoint deadline)
    {
        co_await this->reader.readHead(deadline);
        const auto& response = this->reader.parser().get();
        const auto echoed = toString(response["X-Request-Id"]);
        this->isNamed = !echoed.empty();
        if (this->isNamed && echoed != this->attempt)
            throw EndpointError { EndpointFault::Broken, "the response carries the id of another request" };
        // It may be a late copy of an earlier response on the connection.
        if (!this->isNamed && this->isReused)
            throw EndpointError { EndpointFault::Broken, "a response on a reused connection names no request" };
        EndpointHead head;
        head.status = response.result_int();
        head.contentType = toString(response[http::field::content_type]);
        head.bootId = toString(response["X-Boot-Id"]);
        head.resumeToken = toString(response["X-Stream-Id"]);
        co_return head;
    }

    Task<std::optional<std::string>> readBody(TimePoint deadline)
    {
        auto bytes = co_await this->reader.readBody(deadline);
        if (!bytes)
            this->release();
        co_return bytes;
    }

    void abort() { this->reader.abort(); }

private:
    std::shared_ptr<EndpointClient> client;
    SocketAddress address;
    bool isPooled;
    bool isReused = false;
    /** Whether the response names the request. */
    bool isNamed = false;
    ResponseReader reader;
    std::string attempt;
};

Task<std::shared_ptr<EndpointConnection>> EndpointClient::connect(EndpointObject endpoint)
{
    // A service request may not be repeatable. It gets a new connection, since a pooled one may be closed by the
    // endpoint just as the request is sent, which leaves its outcome unknown.
    const bool canBePooled = endpoint.kind == EndpointKind::Engine;
    const auto call = std::make_shared<Call>(
        this->shared_from_this(), SocketAddress { endpoint.address, endpoint.port }, canBePooled);
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
