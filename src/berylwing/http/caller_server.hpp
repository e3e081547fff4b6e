#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/host/host.hpp"
#include "berylwing/memory/host_capacity.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace berylwing {

/** @brief Limits on the requests of a caller. */
struct CallerLimits {
    std::int64_t maxBodyBytes = 0;
    Duration senderTimeout {};
    /** What all connections may hold together. */
    HostCapacity capacity;
};

/** @brief HTTP server for callers; runs one coroutine for each connection. */
class CallerServer {
public:
    /**
     * @brief Opens the listener.
     * @param clock Clock of the host.
     * @param address Address and port to listen on.
     * @param limits Limits on the requests of a caller.
     * @param host Host that handles the requests.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    CallerServer(Clock& clock, const SocketAddress& address, CallerLimits limits, Host& host);

    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /** @brief Accepts connections until close(). @return Awaitable that completes after close(). */
    [[nodiscard]] Task<void> run();

    /** @brief Stops accepting connections; open connections are not affected. */
    void close();

private:
    struct Listener;

    std::unique_ptr<Listener> listener;
};

} // namespace berylwing
