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

/** @brief Open connection to an endpoint, with the bytes that were read ahead. */
struct PooledConnection {
    /** @brief Creates a connection that is not open yet. @param executor Executor of the host. */
    explicit PooledConnection(const Executor& executor)
        : socket { executor }
    {
    }

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    TimePoint openedAt {};
    TimePoint idleSince {};
    /** Time for which the endpoint keeps the connection open while it is idle. */
    Duration idleTimeout { 2000 };
};

/** @brief Reference to a connection. */
using PooledConnectionPtr = std::unique_ptr<PooledConnection>;

/**
 * @brief Connections to endpoints that have carried a whole answer and wait for the next call.
 *
 * Both their age and their idle time are limited, because a connection that nobody uses may have been forgotten by
 * something between its two ends.
 */
class ConnectionPool {
    [[nodiscard]] bool isUsable(PooledConnection& connection, Duration maxIdleTime) const;

public:
    /** @brief Creates an empty pool. @param hostClock Clock of the host. */
    explicit ConnectionPool(const Clock& hostClock);

    /**
     * @brief Takes the connection that was used last.
     * @param address Address of the endpoint.
     * @param maxIdleTime Longest time for which the connection may have been idle, in milliseconds.
     * @return Connection, or a null pointer if there is none that can be used.
     */
    [[nodiscard]] PooledConnectionPtr acquire(const SocketAddress& address, Duration maxIdleTime = Duration::max());

    /**
     * @brief Keeps a connection on which nothing is outstanding.
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
