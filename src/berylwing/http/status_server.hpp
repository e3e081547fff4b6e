#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Answer of a status server. */
struct StatusResponse {
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/** @brief HTTP server for operators: metrics and the host's status, on an address of its own. */
class StatusServer {
public:
    /** @brief Function that answers the request for a path. */
    using Handler = std::function<StatusResponse(std::string_view path)>;

    /**
     * @brief Opens the listener.
     * @param executor Executor of the host.
     * @param address Address and port to listen on.
     * @param requestHandler Answers the requests.
     * @throws boost::system::system_error If the address cannot be used.
     */
    StatusServer(const Executor& executor, const SocketAddress& address, Handler requestHandler);

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
