#include "berylwing/http/caller_connection.hpp"

#include "berylwing/http/error_document.hpp"
#include "berylwing/http/http_text.hpp"
#include "berylwing/http/request_reader.hpp"
#include "berylwing/telemetry/log.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using RequestParser = RequestReader::Parser;

constexpr std::uint32_t kMaxHeaderBytes = 16 * 1024;
/** Time for one write of a piece of an answer; a caller that does not read within it is disconnected. */
constexpr Duration kWriteTimeout { 10'000 };
/** Bytes that a request needs beside the copy of its body: a piece of the answer on its way. */
constexpr std::size_t kAnswerBytes = 16 * 1024;
constexpr Duration kIdleTimeout { 75'000 };
constexpr std::string_view kBearerPrefix = "Bearer ";

std::string makeRequestId()
{
    static std::uint64_t counter = 0;
    return "r" + std::to_string(++counter);
}

CallerRequest toCallerRequest(const http::request<http::string_body>& request)
{
    CallerRequest caller;
    caller.requestId = toString(request["X-Request-Id"]);
    if (caller.requestId.empty())
        caller.requestId = makeRequestId();
    caller.method = toString(request.method_string());
    caller.target = toString(request.target());
    const auto authorization = toString(request[http::field::authorization]);
    if (authorization.starts_with(kBearerPrefix))
        caller.bearerToken = authorization.substr(kBearerPrefix.size());
    caller.chat = toString(request["X-Chat-Id"]);
    caller.idempotencyKey = toString(request["Idempotency-Key"]);
    caller.contentType = toString(request[http::field::content_type]);
    caller.body = request.body();
    return caller;
}

/** Caller connection and the response in progress on it. */
class Connection {
public:
    Connection(asio::ip::tcp::socket socket, CallerLimits callerLimits, Host& answeringHost,
        std::shared_ptr<HostMemory> memory)
        : stream { std::move(socket) }
        , limits { callerLimits }
        , host { answeringHost }
        , hold { std::move(memory) }
        , reader { this->buffer, this->hold, this->makeReaderHooks() }
    {
        this->hold.connection.isQuiet = [this] {
            boost::system::error_code ignored;
            return this->buffer.size() == 0 && this->stream.socket().available(ignored) == 0;
        };
        this->hold.connection.close = [this] { this->stream.close(); };
        this->hold.connection.refuseBody = [this] { this->stream.cancel(); };
    }

    Task<void> run()
    {
        boost::system::error_code failure;
        this->stream.socket().non_blocking(true, failure);
        bool keepAlive = !failure;
        while (keepAlive)
            keepAlive = co_await this->serveRequest();
        boost::system::error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

private:
    RequestReaderHooks makeReaderHooks()
    {
        RequestReaderHooks hooks;
        hooks.readSome = [this](asio::mutable_buffer target, boost::system::error_code& error) {
            return this->stream.async_read_some(target, asio::redirect_error(asio::use_awaitable, error));
        };
        hooks.onProgress = [] {};
        return hooks;
    }

    Task<boost::system::error_code> readRequest(RequestParser& parser)
    {
        this->hold.connection.enter(CallerState::ReadingHead);
        auto error = co_await this->reader.readHead(parser);
        if (error || parser.is_done())
            co_return error;
        if (!this->reader.admitsBody(parser))
            co_return asio::error::no_memory;
        this->hold.connection.enter(CallerState::ReadingBody);
        error = co_await this->reader.readBody(parser);
        co_return error;
    }

    Task<bool> serveRequest()
    {
        RequestParser parser;
        this->reader.begin(parser, kMaxHeaderBytes, static_cast<std::uint64_t>(this->limits.maxBodyBytes));
        boost::system::error_code error;
        this->stream.expires_after(kIdleTimeout);
        this->hold.connection.enter(CallerState::Idle);
        const bool hasRoom = co_await this->hold.grow(this->hold.connectionBytes, kCallerReadBytes);
        if (!hasRoom)
            co_return false;
        // An idle connection may wait long for the first byte; the rest of the request has to follow within
        // senderTimeout.
        if (this->buffer.size() == 0) {
            const auto size = co_await this->stream.async_read_some(
                this->buffer.prepare(kCallerReadBytes), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                co_return false;
            this->buffer.commit(size);
        }
        this->stream.expires_after(this->limits.senderTimeout);
        error = co_await this->readRequest(parser);
        if (error) {
            std::string {}.swap(parser.get().body());
            this->hold.bodyBytes.shrink(0);
            co_return co_await this->refuseInput(error);
        }
        this->hold.connection.enter(CallerState::Answering);
        this->keepAlive = parser.get().keep_alive();
        // The request is copied on its way to an endpoint.
        const bool hasRoomForCopy
            = co_await this->hold.grow(this->hold.endpointBytes, parser.get().body().size() + kAnswerBytes);
        if (!hasRoomForCopy)
            co_return co_await this->refuseInput(asio::error::no_memory);
        co_await this->handleRequest(parser.get());
        this->hold.fieldBytes.shrink(0);
        this->hold.bodyBytes.shrink(0);
        this->hold.endpointBytes.shrink(0);
        co_return this->keepAlive;
    }

    Task<bool> refuseInput(boost::system::error_code error)
    {
        this->hold.connection.enter(CallerState::Leaving);
        if (error == http::error::end_of_stream || this->hold.connection.isClosed)
            co_return false;
        const bool isOutOfRoom = error == asio::error::no_memory || this->hold.connection.isEnding;
        const auto reason = isOutOfRoom ? Refusal::HostAtBound : toRefusal(error);
        this->host.countRefusal(reason);
        const auto requestId = makeRequestId();
        logRequest(LogLevel::Info, requestId, "invalid or oversized request refused: " + error.message());
        this->keepAlive = false;
        const NotRun refusal { reason };
        co_await this->writeError(requestId, refusal);
        co_return false;
    }

    Task<void> handleRequest(const http::request<http::string_body>& request)
    {
        const auto target = toString(request.target());
        if (target == "/healthz")
            co_return co_await this->writeText(http::status::ok, "alive\n");
        if (target == "/readyz" && this->host.isReady())
            co_return co_await this->writeText(http::status::ok, "ready\n");
        if (target == "/readyz")
            co_return co_await this->writeText(http::status::service_unavailable, "not ready\n");
        const auto caller = toCallerRequest(request);
        this->isHeadWritten = false;
        this->requestId = caller.requestId;
        try {
            const ResponseSink sink {
                [this](unsigned status, const std::string& type) { return this->writeHead(status, type); },
                [this](std::string_view bytes) { return this->writeChunk(bytes); },
            };
            const auto outcome = co_await this->host.handle(caller, sink);
            co_await this->finish(outcome);
        } catch (const CallerGoneError&) {
            this->host.countRefusal(Refusal::CallerGone);
            logRequest(
                LogLevel::Info, caller.requestId, "caller closed the connection before the response was complete");
            this->keepAlive = false;
        }
    }

    Task<void> finish(const Outcome& outcome)
    {
        if (!outcome.isComplete() && !this->isHeadWritten)
            co_return co_await this->writeError(this->requestId, outcome);
        if (!outcome.isComplete()) {
            // The status line is already sent, so the error is reported as an event, and the last chunk is withheld to
            // mark the response as incomplete.
            co_await this->writeChunk(formatErrorEvent(this->requestId, outcome));
            this->keepAlive = false;
            co_return;
        }
        co_await this->write(http::make_chunk_last());
    }

    Task<void> writeHead(unsigned status, const std::string& contentType)
    {
        http::response<http::empty_body> response { static_cast<http::status>(status), 11 };
        response.set(http::field::content_type, contentType);
        response.set("X-Request-Id", this->requestId);
        response.chunked(true);
        response.keep_alive(this->keepAlive);
        http::response_serializer<http::empty_body> serializer { response };
        boost::system::error_code error;
        this->stream.expires_after(kWriteTimeout);
        co_await http::async_write_header(this->stream, serializer, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throw CallerGoneError {};
        this->isHeadWritten = true;
    }

    Task<void> writeChunk(std::string_view bytes)
    {
        if (!bytes.empty())
            co_await this->write(http::make_chunk(asio::buffer(bytes.data(), bytes.size())));
    }

    template <typename Buffers> Task<void> write(const Buffers& buffers)
    {
        // The socket buffer nearly always has room; a synchronous write then avoids a suspension and a timer.
        boost::system::error_code error;
        const auto written = this->stream.socket().write_some(buffers, error);
        if (!error && written == beast::buffer_bytes(buffers))
            co_return;
        if (error && error != asio::error::would_block)
            throw CallerGoneError {};
        beast::buffers_suffix<Buffers> rest { buffers };
        rest.consume(written);
        this->stream.expires_after(kWriteTimeout);
        co_await asio::async_write(this->stream, rest, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throw CallerGoneError {};
    }

    Task<void> writeText(http::status status, const std::string& text)
    {
        http::response<http::string_body> response { status, 11 };
        response.set(http::field::content_type, "text/plain");
        response.body() = text;
        co_await this->writeMessage(std::move(response));
    }

    Task<void> writeError(const std::string& id, const Outcome& outcome)
    {
        http::response<http::string_body> response { static_cast<http::status>(toHttpStatus(outcome)), 11 };
        response.set(http::field::content_type, "application/json");
        response.set("X-Request-Id", id);
        if (outcome.retryAfter > Duration {})
            response.set(http::field::retry_after, std::to_string(toRetryAfterSeconds(outcome)));
        response.body() = formatErrorDocument(id, outcome);
        co_await this->writeMessage(std::move(response));
    }

    Task<void> writeMessage(http::response<http::string_body> response)
    {
        response.keep_alive(this->keepAlive);
        response.prepare_payload();
        boost::system::error_code ignored;
        this->stream.expires_after(kWriteTimeout);
        co_await http::async_write(this->stream, response, asio::redirect_error(asio::use_awaitable, ignored));
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    CallerLimits limits;
    Host& host;
    CallerHold hold;
    RequestReader reader;
    std::string requestId;
    bool keepAlive = true;
    bool isHeadWritten = false;
};

} // namespace

Task<void> serveCaller(
    asio::ip::tcp::socket socket, CallerLimits limits, Host& host, std::shared_ptr<HostMemory> memory)
{
    Connection connection { std::move(socket), limits, host, std::move(memory) };
    co_await connection.run();
}

} // namespace berylwing
