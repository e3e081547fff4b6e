#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/task.hpp"
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Carries messages between hosts over ZeroMQ with CURVE keys.
 *
 * The host receives on one socket and sends to each peer on a socket of its own. A peer that does not have the fleet's
 * client key is turned away before any of its messages is read.
 */
class ZmqTransport {
public:
    /** @brief Function that finds the address of a host. */
    using AddressLookup = std::function<std::optional<SocketAddress>(const std::string& host)>;

    /** @brief Function that takes the bytes of a received message. */
    using Receiver = std::function<void(std::string_view bytes)>;

    /**
     * @brief Opens the receiving socket.
     * @param executor Executor of the host.
     * @param listen Address and port to listen on.
     * @param keys Keys of the fleet.
     * @param findAddress Finds the addresses of peers.
     * @throws zmq::error_t If the address or a key cannot be used.
     */
    ZmqTransport(const Executor& executor, const SocketAddress& listen, FleetKeys keys, AddressLookup findAddress);

    ~ZmqTransport();
    ZmqTransport(const ZmqTransport&) = delete;
    ZmqTransport& operator=(const ZmqTransport&) = delete;

    /**
     * @brief Sends a message.
     * @param host Receiver.
     * @param bytes Message.
     * @return False if there is no connection, so that no byte was sent.
     */
    bool send(const std::string& host, const std::string& bytes);

    /** @brief Receives messages for as long as the host runs. @param receiver Takes the messages. @return Awaitable. */
    [[nodiscard]] Task<void> receive(Receiver receiver);

    /** @brief Answers the library's questions whether a connecting peer has the fleet's key. @return Awaitable. */
    [[nodiscard]] Task<void> authenticate();

private:
    struct Sockets;

    std::unique_ptr<Sockets> sockets;
};

} // namespace berylwing
