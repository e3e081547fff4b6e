#include "berylwing/http/caller_server.hpp"

#include "berylwing/http/caller_connection.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace asio = boost::asio;

struct CallerServer::Listener {
    Executor executor;
    asio::ip::tcp::acceptor acceptor;
    CallerLimits limits;
    Host& host;
};

CallerServer::CallerServer(const Executor& executor, const SocketAddress& address, CallerLimits limits, Host& host)
    : listener { std::make_unique<Listener>(Listener { executor,
        asio::ip::tcp::acceptor {
            executor, asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } },
        limits, host }) }
{
}

CallerServer::~CallerServer() = default;

Task<void> CallerServer::run()
{
    while (this->listener->acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await this->listener->acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
        spawn(this->listener->executor, "caller",
            serveCaller(std::move(socket), this->listener->limits, this->listener->host));
    }
}

void CallerServer::close()
{
    boost::system::error_code ignored;
    this->listener->acceptor.close(ignored);
}

} // namespace berylwing
