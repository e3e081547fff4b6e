#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/http/caller_server.hpp"
#include "berylwing/memory/host_memory.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <memory>

namespace berylwing {

/**
 * @brief Serves requests on one caller connection until either side closes it.
 * @param socket Accepted connection.
 * @param limits Limits on the requests of a caller.
 * @param host Host that handles the requests.
 * @param memory Memory that all connections share.
 * @return Awaitable that completes when the connection is closed.
 */
[[nodiscard]] Task<void> serveCaller(
    boost::asio::ip::tcp::socket socket, CallerLimits limits, Host& host, std::shared_ptr<HostMemory> memory);

} // namespace berylwing
