#include "berylwing/http/gateway_server.hpp"

#include "berylwing/http/gateway_connection.hpp"
#include "berylwing/http/socket_options.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;

using Connections = boost::intrusive::list<GatewayConnection, boost::intrusive::constant_time_size<false>>;

/** Time for unacknowledged bytes before a caller counts as disconnected; callers' deadlines are of this order. */
constexpr Duration kUnackedTimeout { 10'000 };
/** Delay after a failed accept, so that file descriptors can be closed if none was left. */
constexpr Duration kAcceptRetryDelay { 20 };
constexpr Duration kDrainCheckInterval { 50 };

} // namespace

struct GatewayServer::State {
    State(Clock& hostClock, const SocketAddress& address, Gateway& hostGateway)
        : clock { hostClock }
        , acceptor { hostClock.executor(),
            asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } }
        , gateway { hostGateway }
        , deadlineMonitor { std::make_shared<DeadlineMonitor>(hostClock) }
    {
    }

    Clock& clock;
    asio::ip::tcp::acceptor acceptor;
    Gateway& gateway;
    std::shared_ptr<DeadlineMonitor> deadlineMonitor;
    Connections connections;
};

GatewayServer::GatewayServer(Clock& clock, const SocketAddress& address, Gateway& gateway)
    : state { std::make_shared<State>(clock, address, gateway) }
{
}

GatewayServer::~GatewayServer() = default;

Task<void> GatewayServer::run()
{
    auto& shared = *this->state;
    while (true) {
        boost::system::error_code error;
        auto socket = co_await shared.acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            spdlog::warn("accepting a connection failed: {}", error.message());
            co_await shared.clock.sleepFor(kAcceptRetryDelay);
            continue;
        }
        enableLostPeerDetection(socket, kUnackedTimeout);
        const auto connection = std::make_shared<GatewayConnection>(
            shared.clock, std::move(socket), shared.gateway, *shared.deadlineMonitor);
        shared.connections.push_back(*connection);
        spawn(shared.clock.executor(), "caller", connection->run());
    }
}

Task<void> GatewayServer::drain()
{
    auto& shared = *this->state;
    const auto& schedule = shared.gateway.stopSchedule();
    while (shared.clock.now() < schedule.exitAt()) {
        if (shared.clock.now() >= schedule.requestsEndAt())
            this->endRequests();
        if (shared.gateway.isRefusingRequests()) {
            this->closeIdle();
            if (shared.connections.empty())
                break;
        }
        co_await shared.clock.sleepFor(kDrainCheckInterval);
    }
}

void GatewayServer::endRequests()
{
    this->state->gateway.endRequests();
    for (auto& connection : this->state->connections)
        connection.endReading();
}

void GatewayServer::closeIdle()
{
    for (auto position = this->state->connections.begin(); position != this->state->connections.end();) {
        auto& connection = *position++;
        if (connection.isIdle())
            connection.close();
    }
}

} // namespace berylwing
