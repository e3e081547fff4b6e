#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>

namespace berylwing {

/**
 * @brief Enables TCP keep-alive and a user timeout, so that a peer that is lost without a FIN or RST is detected.
 * @param socket Open socket.
 * @param unackedTimeout Time after which a connection with unacknowledged bytes fails.
 */
void enableLostPeerDetection(boost::asio::ip::tcp::socket& socket, Duration unackedTimeout);

/**
 * @brief Changes the user timeout, which also bounds how long keep-alive probes may stay unanswered.
 * @param socket Open socket.
 * @param unackedTimeout Time after which a connection with unacknowledged bytes or probes fails.
 */
void setUnackedTimeout(boost::asio::ip::tcp::socket& socket, Duration unackedTimeout);

/**
 * @brief Checks if the peer has acknowledged all bytes that were written.
 *
 * A peer that has read them all has acknowledged them by the time its own next bytes, or its end, arrive.
 * @param socket Connected socket.
 * @return True if bytes are unacknowledged, or if the socket cannot tell.
 */
[[nodiscard]] bool hasUnackedBytes(boost::asio::ip::tcp::socket& socket);

/**
 * @brief Checks if a connection could not be accepted because the process or its machine has no descriptor or memory
 * left.
 * @param error Error of the accept.
 * @return True if closing other connections can help.
 */
[[nodiscard]] bool isOutOfDescriptors(const boost::system::error_code& error);

} // namespace berylwing
