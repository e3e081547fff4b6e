#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/http/caller_server.hpp"
#include <boost/asio/ip/tcp.hpp>

namespace berylwing {

/**
 * @brief Serves one connection of a caller until either side closes it.
 * @param socket Connection.
 * @param limits Limits of what a caller may send.
 * @param host Host that answers the requests.
 * @return Awaitable.
 */
[[nodiscard]] Task<void> serveCaller(boost::asio::ip::tcp::socket socket, CallerLimits limits, Host& host);

} // namespace berylwing
