#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/task.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>

namespace berylwing {

/** @brief Limit of a response of the platform's store; a list of all objects is far smaller. */
inline constexpr std::uint64_t kMaxStoreResponseBytes = 32 * 1024 * 1024;

/** @brief Request whose body is held in memory. */
using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** @brief Response whose body is held in memory. */
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** @brief Lists how a call can fail. */
enum class HttpFault {
    /** The connection was not established, so no byte was sent. */
    NotConnected,
    /** The connection failed after bytes may have been sent. */
    Interrupted,
    /** The response did not arrive before the timeout. */
    TimedOut,
};

/** @brief Reports a failed call. */
class HttpCallError : public std::runtime_error {
public:
    /**
     * @brief Creates the error.
     * @param kind Kind of failure.
     * @param text Description.
     * @param isOverLimit Whether the body of the response exceeds the limit.
     */
    HttpCallError(HttpFault kind, const std::string& text, bool isOverLimit = false)
        : std::runtime_error { text }
        , kind { kind }
        , hasTooLargeBody { isOverLimit }
    {
    }

    /** @brief Returns the kind of failure. */
    [[nodiscard]] HttpFault fault() const noexcept { return this->kind; }

    /** @brief Checks if the body of the response exceeds the limit. @return False for all other failures. */
    [[nodiscard]] bool isOverLimit() const noexcept { return this->hasTooLargeBody; }

private:
    HttpFault kind;
    bool hasTooLargeBody;
};

/**
 * @brief Connects a stream.
 * @param stream Stream; the calling function sets its timeout.
 * @param address Address and port of the server.
 * @return Awaitable that completes when the stream is connected.
 * @throws HttpCallError With NotConnected if the connection fails.
 */
[[nodiscard]] Task<void> connectHttp(boost::beast::tcp_stream& stream, SocketAddress address);

/**
 * @brief Sends a request on a new connection and reads the response.
 * @param address Address and port of the server.
 * @param request Request.
 * @param timeout Time until the head of the response, in milliseconds. A body may take longer while it keeps arriving.
 * @param maxBodyBytes Limit of the response's body, which is held in memory as a whole.
 * @return Response.
 * @throws HttpCallError If the call fails or the response exceeds the limit.
 */
[[nodiscard]] Task<HttpResponse> callHttp(
    SocketAddress address, HttpRequest request, Duration timeout, std::uint64_t maxBodyBytes = kMaxStoreResponseBytes);

} // namespace berylwing
