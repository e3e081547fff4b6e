#include "berylwing/http/endpoint_client.hpp"

#include "berylwing/http/http_call.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
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

std::string textOf(beast::string_view view) { return { view.data(), view.size() }; }

[[noreturn]] void throwBroken(const boost::system::error_code& error)
{
    const bool isSilent = error == beast::error::timeout;
    throw EndpointError { isSilent ? EndpointFault::Silent : EndpointFault::Broken, error.message() };
}

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

/** Connection to an endpoint that carries one call. */
class Call {
public:
    Call(const Executor& executor, const Clock& hostClock)
        : stream { executor }
        , clock { hostClock }
    {
        this->parser.body_limit(boost::none);
    }

    Task<void> connect(SocketAddress address)
    {
        this->stream.expires_after(kConnectTimeout);
        try {
            co_await connectHttp(this->stream, std::move(address));
        } catch (const HttpCallError& error) {
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
        this->stream.expires_after(kStreamSilence);
        co_await http::async_write(this->stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throwBroken(error);
    }

    Task<EndpointHead> readHead(TimePoint deadline)
    {
        boost::system::error_code error;
        this->setTimeout(deadline);
        co_await http::async_read_header(
            this->stream, this->buffer, this->parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            throwBroken(error);
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
        std::string bytes(kReadBytes, '\0');
        while (!this->parser.is_done()) {
            auto& body = this->parser.get().body();
            body.data = bytes.data();
            body.size = bytes.size();
            body.more = true;
            boost::system::error_code error;
            this->setTimeout(deadline);
            co_await http::async_read_some(
                this->stream, this->buffer, this->parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer)
                throwBroken(error);
            const auto size = bytes.size() - body.size;
            if (size == 0)
                continue;
            bytes.resize(size);
            co_return bytes;
        }
        co_return std::nullopt;
    }

    void abort() { this->stream.close(); }

private:
    void setTimeout(TimePoint deadline)
    {
        this->stream.expires_after(std::clamp<Duration>(deadline - this->clock.now(), Duration { 1 }, kStreamSilence));
    }

    beast::tcp_stream stream;
    const Clock& clock;
    beast::flat_buffer buffer;
    ResponseParser parser;
    std::string attempt;
};

Task<std::shared_ptr<EndpointConnection>> connect(const Clock& clock, const EndpointObject& endpoint)
{
    const SocketAddress address { endpoint.address, endpoint.port };
    const auto call = std::make_shared<Call>(clock.executor(), clock);
    co_await call->connect(address);
    auto connection = std::make_shared<EndpointConnection>();
    connection->send = [call](const EndpointCall& request) { return call->send(request); };
    connection->readHead = [call](TimePoint deadline) { return call->readHead(deadline); };
    connection->readBody = [call](TimePoint deadline) { return call->readBody(deadline); };
    connection->abort = [call] { call->abort(); };
    co_return connection;
}

LoadReport readReport(const std::string& body)
{
    const auto document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object())
        throw EndpointError { EndpointFault::Silent, "the load report is not JSON" };
    LoadReport report;
    report.bootId = document.value("boot_id", std::string {});
    report.running = document.value("running", 0U);
    report.warm = document.value("warm", false);
    report.age = Duration { document.value("age_ms", std::int64_t { 0 }) };
    return report;
}

Task<LoadReport> probe(const Clock& clock, const EndpointObject& endpoint, TimePoint deadline)
{
    const SocketAddress address { endpoint.address, endpoint.port };
    const bool isEngine = endpoint.kind == EndpointKind::Engine;
    HttpRequest request { http::verb::get, isEngine ? "/v1/load" : "/healthz", kHttpVersion };
    const auto timeout = std::max<Duration>(deadline - clock.now(), Duration { 1 });
    try {
        const auto response = co_await callHttp(address, std::move(request), timeout);
        if (isEngine)
            co_return readReport(response.body());
        LoadReport report;
        report.bootId = textOf(response["X-Boot-Id"]);
        report.reportsLoad = false;
        report.warm = response.result() == http::status::ok;
        co_return report;
    } catch (const HttpCallError& error) {
        const bool isSilent = error.fault() == HttpFault::TimedOut;
        throw EndpointError { isSilent ? EndpointFault::Silent : EndpointFault::Broken, error.what() };
    }
}

} // namespace

EndpointAccess makeEndpointAccess(const Clock& clock)
{
    EndpointAccess access;
    access.connect = [&clock](const EndpointObject& endpoint, TimePoint) { return connect(clock, endpoint); };
    access.probe
        = [&clock](const EndpointObject& endpoint, TimePoint deadline) { return probe(clock, endpoint, deadline); };
    return access;
}

} // namespace berylwing
