#include "soak/tcp_proxy.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <string>
#include <utility>

namespace berylwing::test {

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr std::size_t kPumpBytes = 16 * 1024;

Tcp::endpoint endpointOf(const SocketAddress& address)
{
    return { asio::ip::make_address(address.address), address.port };
}

/** Closes a socket with a TCP reset. */
void reset(Tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger { true, 0 }, ignored);
    socket.close(ignored);
}

} // namespace

struct TcpProxy::Connection
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    Connection(Tcp::socket clientSocket, const Executor& executor)
        : client { std::move(clientSocket) }
        , server { executor }
    {
    }

    Tcp::socket client;
    Tcp::socket server;
    /** Directions in which bytes have been dropped; later bytes are dropped, too, because a TCP stream cannot have a
     * gap. */
    bool isSilentToServer = false;
    bool isSilentToClient = false;
};

struct TcpProxy::State {
    State(Clock& runtimeClock, const SocketAddress& listenAddress, const SocketAddress& serverAddress)
        : clock { runtimeClock }
        , listen { listenAddress }
        , server { serverAddress }
    {
    }

    Clock& clock;
    SocketAddress listen;
    SocketAddress server;
    LinkConditions conditions;
    std::optional<Tcp::acceptor> acceptor;
    boost::intrusive::list<Connection, boost::intrusive::constant_time_size<false>> connections;
};

TcpProxy::TcpProxy(Clock& runtimeClock, const SocketAddress& listenAddress, const SocketAddress& serverAddress)
    : state { std::make_shared<State>(runtimeClock, listenAddress, serverAddress) }
{
    this->setRefusing(false);
}

TcpProxy::~TcpProxy() { this->setRefusing(true); }

void TcpProxy::setRefusing(bool isRefusing)
{
    if (isRefusing) {
        this->state->acceptor.reset();
        return;
    }
    if (this->state->acceptor)
        return;
    this->state->acceptor.emplace(this->state->clock.executor(), endpointOf(this->state->listen));
    spawn(this->state->clock.executor(), "proxy", accept(this->state));
}

void TcpProxy::setConditions(const LinkConditions& conditions) { this->state->conditions = conditions; }

void TcpProxy::silenceOpenConnections()
{
    for (auto& connection : this->state->connections) {
        connection.isSilentToServer = true;
        connection.isSilentToClient = true;
    }
}

void TcpProxy::resetOpenConnections()
{
    for (auto& connection : this->state->connections) {
        reset(connection.client);
        reset(connection.server);
    }
}

Task<void> TcpProxy::accept(std::shared_ptr<State> state)
{
    while (state->acceptor) {
        boost::system::error_code error;
        auto socket = co_await state->acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (error) {
            constexpr Duration kAcceptRetryDelay { 10 };
            co_await state->clock.sleepFor(kAcceptRetryDelay);
            continue;
        }
        const auto connection = std::make_shared<Connection>(std::move(socket), state->clock.executor());
        spawn(state->clock.executor(), "proxied connection", serve(state, connection));
    }
}

Task<void> TcpProxy::serve(std::shared_ptr<State> state, std::shared_ptr<Connection> connection)
{
    boost::system::error_code error;
    co_await connection->server.async_connect(
        endpointOf(state->server), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        reset(connection->client);
        co_return;
    }
    boost::system::error_code ignored;
    connection->client.set_option(Tcp::no_delay { true }, ignored);
    connection->server.set_option(Tcp::no_delay { true }, ignored);
    state->connections.push_back(*connection);
    spawn(state->clock.executor(), "pump", pump(state, connection, true));
    co_await pump(state, connection, false);
}

Task<void> TcpProxy::pump(std::shared_ptr<State> state, std::shared_ptr<Connection> connection, bool isTowardsServer)
{
    auto& from = isTowardsServer ? connection->client : connection->server;
    auto& to = isTowardsServer ? connection->server : connection->client;
    auto& isSilent = isTowardsServer ? connection->isSilentToServer : connection->isSilentToClient;
    std::string bytes(kPumpBytes, '\0');
    while (true) {
        boost::system::error_code error;
        const auto size
            = co_await from.async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
        if (state->conditions.delay > Duration {})
            co_await state->clock.sleepFor(state->conditions.delay);
        const auto& conditions = state->conditions;
        isSilent = isSilent || (isTowardsServer ? conditions.isDroppingRequests : conditions.isDroppingAnswers);
        if (error) {
            if (isSilent)
                co_return;
            boost::system::error_code ignored;
            if (error == asio::error::eof)
                to.shutdown(Tcp::socket::shutdown_send, ignored);
            else
                reset(to);
            co_return;
        }
        if (isSilent)
            continue;
        co_await asio::async_write(
            to, asio::buffer(bytes.data(), size), asio::redirect_error(asio::use_awaitable, error));
        if (error && !isSilent) {
            reset(from);
            co_return;
        }
    }
}

} // namespace berylwing::test
