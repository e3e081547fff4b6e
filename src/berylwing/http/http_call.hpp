#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/task.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>

namespace berylwing {

/** @brief Request of a short call whose answer fits into memory. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** @brief Answer of a short call. */
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** @brief Progress of a call when it failed. */
enum class HttpFault {
    /** The connection was not made, so no byte was sent. */
    NotConnected,
    /** Bytes may have been sent. */
    Interrupted,
    /** The answer did not come in time. */
    TimedOut,
};

/** @brief A short call failed. */
class HttpCallError : public std::runtime_error {
public:
    /** @brief Creates the error. @param kind Progress. @param text Description. */
    HttpCallError(HttpFault kind, const std::string& text)
        : std::runtime_error { text }
        , kind { kind }
    {
    }

    /** @brief Tells how far the call came. @return Progress. */
    [[nodiscard]] HttpFault fault() const noexcept { return this->kind; }

private:
    HttpFault kind;
};

/**
 * @brief Connects a stream.
 * @param stream Stream, whose timeout is set by the caller.
 * @param address Address and port of the server.
 * @return Awaitable.
 * @throws HttpCallError With NotConnected if there is no connection.
 */
[[nodiscard]] Task<void> connectHttp(boost::beast::tcp_stream& stream, SocketAddress address);

/**
 * @brief Makes one call on a connection of its own.
 * @param address Address and port of the server.
 * @param request Request.
 * @param timeout Time after which the call is given up, in milliseconds.
 * @return Answer.
 * @throws HttpCallError If there is no answer.
 */
[[nodiscard]] Task<HttpResponse> callHttp(SocketAddress address, HttpRequest request, Duration timeout);

} // namespace berylwing
