#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/host/host.hpp"
#include <memory>

namespace berylwing {

/** @brief HTTP server for operators: metrics and the host's status, on an address of its own. */
class StatusServer {
public:
    /**
     * @brief Opens the listener.
     * @param executor Executor of the host.
     * @param address Address and port to listen on.
     * @param host Host that is described.
     * @throws boost::system::system_error If the address cannot be used.
     */
    StatusServer(const Executor& executor, const SocketAddress& address, const Host& host);

    ~StatusServer();
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    /** @brief Accepts connections for as long as the host runs. @return Awaitable that does not complete. */
    [[nodiscard]] Task<void> run();

private:
    struct Listener;

    std::unique_ptr<Listener> listener;
};

} // namespace berylwing
