#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/task.hpp"
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Response of a status server. */
struct StatusResponse {
    unsigned status = 200;
    std::string contentType;
    std::string body;
};

/**
 * @brief HTTP server for operators, which serves metrics and the host's status on a separate address.
 *
 * It has at most 32 connections, of which the oldest one goes first, and closes each one after its answer.
 */
class StatusServer {
public:
    /** @brief Function that returns the response for a request path. */
    using Handler = std::function<StatusResponse(std::string_view path)>;

    /**
     * @brief Opens the listener.
     * @param clock Clock of the host.
     * @param address Address and port to listen on.
     * @param requestHandler Function that handles the requests.
     * @throws boost::system::system_error If the address cannot be bound.
     */
    StatusServer(Clock& clock, const SocketAddress& address, Handler requestHandler);

    ~StatusServer();
    StatusServer(const StatusServer&) = delete;
    StatusServer& operator=(const StatusServer&) = delete;

    /** @brief Accepts connections. @return Awaitable that does not complete. */
    [[nodiscard]] Task<void> run();

private:
    struct Listener;

    std::shared_ptr<Listener> listener;
};

} // namespace berylwing
