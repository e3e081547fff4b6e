#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Datagrams between hosts, for messages of which each one replaces the last. */
class DatagramChannel {
public:
    /** @brief Function that takes a datagram and the address of its sender. */
    using Receiver = std::function<void(const std::string& address, std::string_view bytes)>;

    /**
     * @brief Opens the channel.
     * @param executor Executor of the host.
     * @param address Own address and port.
     * @throws boost::system::system_error If the address cannot be used.
     */
    DatagramChannel(const Executor& executor, const SocketAddress& address);

    /** @brief Sends a datagram without waiting; one that does not fit is dropped. @param to Peer. @param bytes Bytes.
     */
    void send(const SocketAddress& to, std::string_view bytes);

    /** @brief Receives datagrams for ever. @param receiver Takes each one. @return Awaitable. */
    [[nodiscard]] Task<void> receive(Receiver receiver);

private:
    boost::asio::ip::udp::socket socket;
};

} // namespace berylwing
