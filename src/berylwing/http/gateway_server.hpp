#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "berylwing/memory/host_memory.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace berylwing {

class GatewayConnection;

/** @brief HTTP server of a gateway for callers; runs one coroutine for each connection. */
class GatewayServer {
    struct State;

    /** Waits until there is room for an accepted connection, for which others are closed. */
    [[nodiscard]] Task<void> makeRoom(GatewayConnection& connection);
    [[nodiscard]] Task<void> accept(boost::asio::ip::tcp::acceptor& acceptor, bool isForHosts);
    /** Sets up the log lines and counters of closed connections and of memory pressure. */
    void observeMemory();

    /** Closes all connections on which no request has begun. */
    void closeIdle();
    /** Ends the requests in progress and those that are being read. */
    void endRequests();

public:
    /**
     * @brief Opens the listener.
     * @param clock Clock of the host.
     * @param address Address and port to listen on.
     * @param gateway Gateway that handles the requests.
     * @param capacity Limits of what the connections may hold together.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    GatewayServer(Clock& clock, const SocketAddress& address, Gateway& gateway, const HostCapacity& capacity = {});

    ~GatewayServer();
    GatewayServer(const GatewayServer&) = delete;
    GatewayServer& operator=(const GatewayServer&) = delete;

    /** @brief Accepts connections. @return Awaitable that does not complete. */
    [[nodiscard]] Task<void> run();

    /**
     * @brief Accepts connections of other hosts, which pass requests of their callers on.
     * @param address Address and port to listen on.
     * @return Awaitable that does not complete.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    [[nodiscard]] Task<void> runForHosts(SocketAddress address);

    /**
     * @brief Waits for the requests in progress in a graceful stop, and closes idle connections once requests are
     * refused. Requests that are still in progress shortly before the exit are ended with a refusal.
     * @return Awaitable that completes when no connection is left, at the latest at the exit of the schedule.
     */
    [[nodiscard]] Task<void> drain();

    /** @brief Serializes the metrics of what the connections hold. @return Text in the Prometheus exposition format. */
    [[nodiscard]] std::string serializeMetrics();

private:
    std::shared_ptr<State> state;
};

} // namespace berylwing
