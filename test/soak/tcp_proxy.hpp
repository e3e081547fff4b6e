#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>

namespace berylwing::test {

/** @brief Configures the faults of all connections through a proxy. */
struct LinkConditions {
    /** Delay of the bytes in each direction. */
    Duration delay {};
    /** Whether bytes to the server are dropped. */
    bool isDroppingRequests = false;
    /** Whether bytes to the client are dropped. */
    bool isDroppingAnswers = false;
};

/** @brief Forwards TCP connections on loopback and injects faults into them. */
class TcpProxy {
    struct Connection;
    struct State;

    [[nodiscard]] static Task<void> accept(std::shared_ptr<State> state);
    [[nodiscard]] static Task<void> serve(std::shared_ptr<State> state, std::shared_ptr<Connection> connection);
    [[nodiscard]] static Task<void> pump(
        std::shared_ptr<State> state, std::shared_ptr<Connection> connection, bool isTowardsServer);

public:
    /**
     * @brief Creates a proxy and starts listening.
     * @param runtimeClock Clock of the soak.
     * @param listenAddress Address to which clients connect.
     * @param serverAddress Address to which connections are forwarded.
     */
    TcpProxy(Clock& runtimeClock, const SocketAddress& listenAddress, const SocketAddress& serverAddress);

    ~TcpProxy();
    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    /** @brief Sets the link conditions of all open and new connections. */
    void setConditions(const LinkConditions& conditions);

    /** @brief Drops all further bytes of the open connections for good; new connections work. */
    void silenceOpenConnections();

    /** @brief Resets all open connections. */
    void resetOpenConnections();

    /** @brief Stops or starts listening; a port without a listener refuses connections. @param isRefusing Whether to
     * stop listening. */
    void setRefusing(bool isRefusing);

private:
    std::shared_ptr<State> state;
};

} // namespace berylwing::test
