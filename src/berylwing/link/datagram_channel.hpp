#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Sends and receives UDP datagrams between hosts, for messages that supersede all earlier ones. */
class DatagramChannel {
public:
    /** @brief Function called with a received datagram and the IP address of its sender. */
    using Receiver = std::function<void(const std::string& address, std::string_view bytes)>;

    /**
     * @brief Opens and binds the socket.
     * @param executor Executor of the host.
     * @param address Local address and port.
     * @throws boost::system::system_error If the address cannot be used.
     */
    DatagramChannel(const Executor& executor, const SocketAddress& address);

    /**
     * @brief Sends a datagram without blocking; drops it if the socket cannot take it.
     * @param to Address and port of the receiver.
     * @param bytes Content of the datagram.
     */
    void send(const SocketAddress& to, std::string_view bytes);

    /** @brief Receives datagrams until the socket is closed. @param receiver Called with each one. @return Awaitable.
     */
    [[nodiscard]] Task<void> receive(Receiver receiver);

private:
    boost::asio::ip::udp::socket socket;
};

} // namespace berylwing
