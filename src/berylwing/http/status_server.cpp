#include "berylwing/http/status_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <string>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr Duration kTimeout { 5000 };

http::response<http::string_body> answerOf(beast::string_view target, const Host& host)
{
    http::response<http::string_body> response { http::status::ok, kHttpVersion };
    if (target == "/metrics") {
        response.set(http::field::content_type, "text/plain; version=0.0.4");
        response.body() = host.metrics().text();
    } else if (target == "/status") {
        response.set(http::field::content_type, "application/json");
        response.body() = host.status().dump();
    } else {
        response.result(http::status::not_found);
    }
    return response;
}

Task<void> serve(asio::ip::tcp::socket socket, const Host& host)
{
    beast::tcp_stream stream { std::move(socket) };
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    boost::system::error_code error;
    stream.expires_after(kTimeout);
    co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    auto response = answerOf(request.target(), host);
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

struct StatusServer::Listener {
    Executor executor;
    asio::ip::tcp::acceptor acceptor;
    const Host& host;
};

StatusServer::StatusServer(const Executor& executor, const SocketAddress& address, const Host& host)
    : listener { std::make_unique<Listener>(Listener { executor,
        asio::ip::tcp::acceptor {
            executor, asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } },
        host }) }
{
}

StatusServer::~StatusServer() = default;

Task<void> StatusServer::run()
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await this->listener->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            spawn(this->listener->executor, "status", serve(std::move(socket), this->listener->host));
    }
}

} // namespace berylwing
