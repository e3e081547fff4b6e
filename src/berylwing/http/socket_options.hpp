#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/tcp.hpp>

namespace berylwing {

/**
 * @brief Makes a connection notice by itself when its other end has vanished without a word.
 * @param socket Open socket.
 * @param unackedLimit Time for which sent bytes may stay unacknowledged.
 */
void detectLostPeer(boost::asio::ip::tcp::socket& socket, Duration unackedLimit);

} // namespace berylwing
