#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/host/host.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace berylwing {

/** @brief Limits of what a caller may send. */
struct CallerLimits {
    std::int64_t maxBodyBytes = 0;
    Duration senderTimeout {};
};

/** @brief HTTP server for callers; one task for each connection. */
class CallerServer {
public:
    /**
     * @brief Opens the listener.
     * @param executor Executor of the host.
     * @param address Address and port to listen on.
     * @param limits Limits of what a caller may send.
     * @param host Host that answers the requests.
     * @throws boost::system::system_error If the address cannot be used.
     */
    CallerServer(const Executor& executor, const SocketAddress& address, CallerLimits limits, Host& host);

    ~CallerServer();
    CallerServer(const CallerServer&) = delete;
    CallerServer& operator=(const CallerServer&) = delete;

    /** @brief Accepts connections until close(). @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Stops accepting connections; open ones go on. */
    void close();

private:
    struct Listener;

    std::unique_ptr<Listener> listener;
};

} // namespace berylwing
