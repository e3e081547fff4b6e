#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace berylwing {

/** @brief Connection to an endpoint, with the bytes read from it but not parsed yet. */
struct PooledConnection {
    /** @brief Creates an unconnected socket. @param executor Executor of the host. */
    explicit PooledConnection(const Executor& executor)
        : socket { executor }
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    TimePoint openedAt {};
    TimePoint idleSince {};
    /** Idle time after which the connection is not reused, because the endpoint may close it. */
    Duration idleTimeout { 2000 };
    /** Time after which the connection fails if the endpoint acknowledges nothing. */
    Duration unackedTimeout {};
};

/** @brief Owning pointer to a connection. */
using PooledConnectionPtr = std::unique_ptr<PooledConnection>;

/**
 * @brief Keeps idle connections to endpoints for reuse.
 *
 * Age and idle time of a connection are limited, because a device on the path, such as a firewall, may have
 * dropped the state of an unused connection.
 */
class ConnectionPool {
    [[nodiscard]] bool isUsable(PooledConnection& connection, Duration maxIdleTime) const;

public:
    /** @brief Creates an empty pool. @param hostClock Clock of the host. */
    explicit ConnectionPool(const Clock& hostClock);

    /**
     * @brief Returns the most recently used connection that is still usable, and removes it from the pool.
     * @param address Address of the endpoint.
     * @param maxIdleTime Maximum idle time of the connection, in milliseconds.
     * @return Connection, or a null pointer if none is usable.
     */
    [[nodiscard]] PooledConnectionPtr acquire(const SocketAddress& address, Duration maxIdleTime = Duration::max());

    /**
     * @brief Adds a connection whose last response was read completely.
     * @param address Address of the endpoint.
     * @param connection Connection.
     */
    void release(const SocketAddress& address, PooledConnectionPtr connection);

private:
    struct Address {
        std::string host;
        std::uint16_t port = 0;
        auto operator<=>(const Address&) const = default;
    };

    const Clock& clock;
    std::map<Address, std::deque<PooledConnectionPtr>> idle;
};

} // namespace berylwing
