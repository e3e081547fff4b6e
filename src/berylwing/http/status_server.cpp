#include "berylwing/http/status_server.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <string>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr Duration kRequestTimeout { 5000 };
/** Limit of a request, which has a short head and no body. */
constexpr std::size_t kMaxRequestBytes = 16 * 1024;
/** Bound on the open connections; the readiness check and the collectors of metrics need a few. */
constexpr std::size_t kMaxConnections = 32;
/** Delay after a failed accept, so that file descriptors can be closed if none was left. */
constexpr Duration kAcceptRetryDelay { 20 };

http::response<http::string_body> toResponse(StatusResponse statusResponse)
{
    http::response<http::string_body> response { http::status::ok, kHttpVersion };
    response.result(statusResponse.status);
    response.set(http::field::content_type, statusResponse.contentType);
    response.body() = std::move(statusResponse.body);
    return response;
}

/** Connection of an operator or of the platform's readiness check. */
struct StatusConnection : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    explicit StatusConnection(asio::ip::tcp::socket socket)
        : stream { std::move(socket) }
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { kMaxRequestBytes };
};

using Connections = boost::intrusive::list<StatusConnection, boost::intrusive::constant_time_size<false>>;

Task<void> serve(asio::ip::tcp::socket socket, Connections& connections, const StatusServer::Handler& handler)
{
    StatusConnection connection { std::move(socket) };
    if (connections.size() >= kMaxConnections) {
        auto& oldest = connections.front();
        oldest.unlink();
        oldest.stream.close();
    }
    connections.push_back(connection);
    http::request<http::empty_body> request;
    boost::system::error_code error;
    connection.stream.expires_after(kRequestTimeout);
    co_await http::async_read(
        connection.stream, connection.buffer, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return;
    const auto target = request.target();
    auto response = toResponse(handler({ target.data(), target.size() }));
    response.keep_alive(false);
    response.prepare_payload();
    co_await http::async_write(connection.stream, response, asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

struct StatusServer::Listener {
    Listener(Clock& hostClock, const SocketAddress& address, Handler requestHandler)
        : clock { hostClock }
        , acceptor { hostClock.executor(),
            asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } }
        , handler { std::move(requestHandler) }
    {
    }

    Clock& clock;
    asio::ip::tcp::acceptor acceptor;
    Handler handler;
    Connections connections;
};

StatusServer::StatusServer(Clock& clock, const SocketAddress& address, Handler requestHandler)
    : listener { std::make_shared<Listener>(clock, address, std::move(requestHandler)) }
{
}

StatusServer::~StatusServer() = default;

Task<void> StatusServer::run()
{
    auto& shared = *this->listener;
    while (true) {
        boost::system::error_code error;
        auto socket = co_await shared.acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_await shared.clock.sleepFor(kAcceptRetryDelay);
            continue;
        }
        spawn(shared.clock.executor(), "status", serve(std::move(socket), shared.connections, shared.handler));
    }
}

} // namespace berylwing
