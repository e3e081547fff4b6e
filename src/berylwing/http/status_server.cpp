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
constexpr Duration kRequestTimeout { 5000 };

http::response<http::string_body> toResponse(StatusResponse statusResponse)
{
    http::response<http::string_body> response { http::status::ok, kHttpVersion };
    response.result(statusResponse.status);
    response.set(http::field::content_type, statusResponse.contentType);
    response.body() = std::move(statusResponse.body);
    return response;
}

Task<void> serve(asio::ip::tcp::socket socket, const StatusServer::Handler& handler)
{
    beast::tcp_stream stream { std::move(socket) };
    beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    boost::system::error_code error;
    stream.expires_after(kRequestTimeout);
    co_await http::async_read(stream, buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    const auto target = request.target();
    auto response = toResponse(handler({ target.data(), target.size() }));
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(stream, response, asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

struct StatusServer::Listener {
    Executor executor;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
};

StatusServer::StatusServer(const Executor& executor, const SocketAddress& address, Handler requestHandler)
    : listener { std::make_unique<Listener>(Listener { executor,
        asio::ip::tcp::acceptor {
            executor, asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } },
        std::move(requestHandler) }) }
{
}

StatusServer::~StatusServer() = default;

Task<void> StatusServer::run()
{
    while (true) {
        boost::system::error_code error;
        auto socket = co_await this->listener->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            spawn(this->listener->executor, "status", serve(std::move(socket), this->listener->handler));
    }
}

} // namespace berylwing
