#pragma once

#include "berylwing/core/task.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <string>

namespace berylwing::test {

using StandInRequest = boost::beast::http::request<boost::beast::http::string_body>;
using StandInResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** @brief Handles one request on a connection. @return Whether the connection can be kept open. */
using StandInHandler = std::function<Task<bool>(boost::beast::tcp_stream&, const StandInRequest&)>;

/** @brief Accepts connections until the executor stops and passes every request to the handler. */
[[nodiscard]] Task<void> listenHttp(Executor executor, std::string address, std::uint16_t port, StandInHandler handler);

/** @brief Writes a complete response and ignores write errors. */
[[nodiscard]] Task<void> respond(boost::beast::tcp_stream& stream, StandInResponse response);

/** @brief Returns the value of a header field; empty if it is missing. */
[[nodiscard]] std::string header(const StandInRequest& request, const char* name);

} // namespace berylwing::test
