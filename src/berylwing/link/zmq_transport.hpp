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
 * @brief Transfers messages between hosts over ZeroMQ with CURVE encryption and authentication.
 *
 * The host receives all messages on one socket and has a separate socket for sending to each peer. A peer that does not
 * have the client key of the fleet is rejected before any of its messages is read.
 */
class ZmqTransport {
public:
    /** @brief Function that returns the address of a host, or std::nullopt if it is unknown. */
    using AddressLookup = std::function<std::optional<SocketAddress>(const std::string& host)>;

    /** @brief Function called with the bytes of a received message. */
    using Receiver = std::function<void(std::string_view bytes)>;

    /**
     * @brief Binds the receiving and the authentication socket.
     * @param executor Executor of the host.
     * @param listen Address and port to listen on.
     * @param keys CURVE keys shared by the hosts of the fleet.
     * @param findAddress Returns the addresses of peers.
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
     * @return False if there is no connection or its queue is full, so that no byte was sent.
     */
    bool send(const std::string& host, const std::string& bytes);

    /** @brief Receives messages for as long as the host runs. @param receiver Called with each. @return Awaitable. */
    [[nodiscard]] Task<void> receive(Receiver receiver);

    /** @brief Answers the ZeroMQ authentication protocol (ZAP): accepts peers with the client key. @return Awaitable.
     */
    [[nodiscard]] Task<void> authenticate();

private:
    struct Sockets;

    std::unique_ptr<Sockets> sockets;
};

} // namespace berylwing
