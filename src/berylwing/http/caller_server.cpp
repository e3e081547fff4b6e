#include "berylwing/http/caller_server.hpp"

#include "berylwing/http/caller_connection.hpp"
#include "berylwing/http/socket_options.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace asio = boost::asio;

namespace {

/** Delay before the next try while there is no room for a connection, so that others can end. */
constexpr Duration kAcceptRetryDelay { 20 };

} // namespace

struct CallerServer::Listener {
    Listener(Clock& hostClock, const SocketAddress& address, CallerLimits callerLimits, Host& answeringHost)
        : clock { hostClock }
        , acceptor { hostClock.executor(),
            asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } }
        , limits { callerLimits }
        , host { answeringHost }
        , memory { std::make_shared<HostMemory>(hostClock, callerLimits.capacity) }
    {
    }

    Clock& clock;
    asio::ip::tcp::acceptor acceptor;
    CallerLimits limits;
    Host& host;
    std::shared_ptr<HostMemory> memory;
};

CallerServer::CallerServer(Clock& clock, const SocketAddress& address, CallerLimits limits, Host& host)
    : listener { std::make_unique<Listener>(clock, address, limits, host) }
{
}

CallerServer::~CallerServer() = default;

Task<void> CallerServer::run()
{
    auto& shared = *this->listener;
    while (shared.acceptor.is_open()) {
        boost::system::error_code error;
        auto socket = co_await shared.acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            const bool hasClosed = isOutOfDescriptors(error) && shared.memory->shedder.shedForDescriptor(nullptr);
            if (!hasClosed)
                co_await shared.clock.sleepFor(kAcceptRetryDelay);
            continue;
        }
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
        // One more connection comes than is open.
        while (shared.memory->shedder.isFull() && !shared.memory->shedder.shedForDescriptor(nullptr))
            co_await shared.clock.sleepFor(kAcceptRetryDelay);
        spawn(shared.clock.executor(), "caller",
            serveCaller(std::move(socket), shared.limits, shared.host, shared.memory));
    }
}

void CallerServer::close()
{
    boost::system::error_code ignored;
    this->listener->acceptor.close(ignored);
}

} // namespace berylwing
