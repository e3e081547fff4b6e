#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/gateway/gateway.hpp"
#include <memory>

namespace berylwing {

/** @brief Accepts callers' connections for a gateway. */
class GatewayServer {
    struct State;

public:
    /**
     * @brief Opens the listener.
     * @param clock Clock of the host.
     * @param address Address and port.
     * @param gateway Gateway that answers.
     * @throws boost::system::system_error If the address cannot be used.
     */
    GatewayServer(Clock& clock, const SocketAddress& address, Gateway& gateway);

    ~GatewayServer();
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;

    /** @brief Accepts connections for ever. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Closes all connections on which no request has begun. */
    void closeIdle();

private:
    std::shared_ptr<State> state;
};

} // namespace berylwing
