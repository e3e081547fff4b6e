#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>

namespace berylwing {

/**
 * @brief Makes a connection notice by itself when its other end has vanished without a word.
 * @param socket Open socket.
 * @param unackedTimeout Time for which sent bytes may stay unacknowledged.
 */
void enableLostPeerDetection(boost::asio::ip::tcp::socket& socket, Duration unackedTimeout);

} // namespace berylwing
