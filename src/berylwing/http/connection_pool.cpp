#include "berylwing/http/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;

constexpr Duration kMaxConnectionAge { 60'000 };
constexpr std::size_t kMaxIdleConnections = 64;

} // namespace

ConnectionPool::ConnectionPool(const Clock& hostClock)
    : clock { hostClock }
{
}

bool ConnectionPool::isUsable(PooledConnection& connection, Duration maxIdleTime) const
{
    const auto now = this->clock.now();
    if (now - connection.idleSince > std::min(maxIdleTime, connection.idleTimeout)
        || now - connection.openedAt > kMaxConnectionAge)
        return false;
    // An idle connection must have nothing to read. Readable data means that the endpoint closed the connection or sent
    // bytes that belong to no request.
    char byte = 0;
    boost::system::error_code error;
    connection.socket.non_blocking(true, error);
    connection.socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

PooledConnectionPtr ConnectionPool::acquire(const SocketAddress& address, Duration maxIdleTime)
{
    const auto found = this->idle.find({ address.address, address.port });
    while (found != this->idle.end() && !found->second.empty()) {
        auto connection = std::move(found->second.back());
        found->second.pop_back();
        if (this->isUsable(*connection, maxIdleTime))
            return connection;
    }
    return nullptr;
}

void ConnectionPool::release(const SocketAddress& address, PooledConnectionPtr connection)
{
    connection->idleSince = this->clock.now();
    auto& connections = this->idle[{ address.address, address.port }];
    const auto now = connection->idleSince;
    connections.push_back(std::move(connection));
    while (connections.size() > kMaxIdleConnections
        || connections.front()->idleSince + connections.front()->idleTimeout < now)
        connections.pop_front();
}

} // namespace berylwing
