#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>

namespace berylwing::test {

/** @brief How a proxy treats the connections that go through it. */
struct LinkConditions {
    /** Time by which bytes are held up on each way. */
    Duration delay {};
    /** Whether bytes towards the server are lost. */
    bool isDroppingRequests = false;
    /** Whether bytes towards the client are lost. */
    bool isDroppingAnswers = false;
};

/** @brief Forwards TCP connections on loopback and disturbs them. */
class TcpProxy {
    struct Connection;
    struct State;

    [[nodiscard]] static Task<void> accept(std::shared_ptr<State> state);
    [[nodiscard]] static Task<void> serve(std::shared_ptr<State> state, std::shared_ptr<Connection> connection);
    [[nodiscard]] static Task<void> pump(
        std::shared_ptr<State> state, std::shared_ptr<Connection> connection, bool isTowardsServer);

public:
    /**
     * @brief Creates a proxy that listens.
     * @param runtimeClock Clock of the soak.
     * @param listenAddress Where clients connect.
     * @param serverAddress Where the connections go.
     */
    TcpProxy(Clock& runtimeClock, const SocketAddress& listenAddress, const SocketAddress& serverAddress);

    ~TcpProxy();
    TcpProxy(const TcpProxy&) = delete;
    TcpProxy& operator=(const TcpProxy&) = delete;

    /** @brief Sets how all connections are treated from now on. @param manner Manner. */
    void setConditions(const LinkConditions& conditions);

    /** @brief Lets all open connections fall silent for good, while new ones work. */
    void silenceOpenConnections();

    /** @brief Resets all open connections. */
    void resetOpenConnections();

    /** @brief Stops or starts listening; a port without a listener refuses connections. @param isRefusing Whether. */
    void setRefusing(bool isRefusing);

private:
    std::shared_ptr<State> state;
};

} // namespace berylwing::test
