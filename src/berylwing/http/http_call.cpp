#include "berylwing/http/http_call.hpp"

#include "berylwing/http/response_status.hpp"
#include "berylwing/http/socket_options.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/** Time without a byte after which the rest of a body is given up. */
constexpr Duration kBodyStallTimeout { 800 };
/** Bytes per millisecond that a body has to bring on average once the timeout of its call has passed. */
constexpr std::size_t kMinBodyBytesPerMs = 20;
/** Limit of the bytes that wait for the end of a head, chunk header or trailer. */
constexpr std::size_t kMaxUnparsedBytes = 128 * 1024;

/** Throws if an operation failed. @param received Bytes of the response that had arrived. */
void throwOnError(const boost::system::error_code& error, std::size_t received = 0)
{
    if (!error)
        return;
    const bool isTimeout = error == beast::error::timeout;
    auto text = error.message();
    if (received > 0)
        text += " after " + std::to_string(received) + " bytes of the response";
    throw HttpCallError { isTimeout ? HttpFault::TimedOut : HttpFault::Interrupted, text,
        error == http::error::body_limit };
}

} // namespace

Task<void> connectHttp(beast::tcp_stream& stream, SocketAddress address)
{
    boost::system::error_code error;
    const asio::ip::tcp::endpoint endpoint { asio::ip::make_address(address.address, error), address.port };
    if (error)
        throw HttpCallError { HttpFault::NotConnected, address.address + " is not an IP address" };
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        throw HttpCallError { HttpFault::NotConnected, error.message() };
    boost::system::error_code ignored;
    stream.socket().set_option(asio::ip::tcp::no_delay { true }, ignored);
}

namespace {

using ResponseParser = http::response_parser<http::string_body>;

/** Reads the rest of a response for as long as it keeps arriving. */
Task<void> readBody(beast::tcp_stream& stream, beast::flat_buffer& buffer, ResponseParser& parser, Duration timeout)
{
    const auto beganAt = std::chrono::steady_clock::now();
    while (!parser.is_done()) {
        const auto received = parser.get().body().size();
        const Duration earned { static_cast<Duration::rep>(received / kMinBodyBytesPerMs) };
        const auto stallsAt = std::chrono::steady_clock::now() + kBodyStallTimeout;
        stream.expires_at(std::min(stallsAt, beganAt + std::max(timeout, kBodyStallTimeout) + earned));
        boost::system::error_code error;
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        throwOnError(error, received);
    }
}

} // namespace

Task<HttpResponse> callHttp(SocketAddress address, HttpRequest request, Duration timeout, std::uint64_t maxBodyBytes)
{
    beast::tcp_stream stream { co_await asio::this_coro::executor };
    stream.expires_after(timeout);
    co_await connectHttp(stream, address);
    request.set(http::field::host, address.address);
    request.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    throwOnError(error);
    beast::flat_buffer buffer { kMaxUnparsedBytes };
    for (int interimCount = 0; interimCount <= kMaxInterimResponses; ++interimCount) {
        ResponseParser parser;
        parser.body_limit(maxBodyBytes);
        co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        throwOnError(error, buffer.size());
        co_await readBody(stream, buffer, parser, timeout);
        const auto status = parser.get().result_int();
        const auto kind = classifyStatus(status);
        if (kind == StatusClass::Invalid)
            throw HttpCallError { HttpFault::Interrupted,
                "the status " + std::to_string(status) + " is none of a response" };
        if (kind == StatusClass::Interim)
            continue;
        if (parser.need_eof() && hasUnackedBytes(stream.socket()))
            throw HttpCallError { HttpFault::Interrupted,
                "the connection ended before the server had received the request" };
        co_return parser.release();
    }
    throw HttpCallError { HttpFault::Interrupted, "too many interim responses" };
}

} // namespace berylwing
