#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/core/clock.hpp"
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace berylwing::test {

/**
 * @brief Forwards the UDP datagrams between hosts and can drop or delay them.
 *
 * The other hosts know each host by an address of the proxy. A datagram that arrives there is forwarded from the proxy
 * address of its sender, so that the receiver attributes it to the right host.
 */
class DatagramProxy {
    struct Port;

    [[nodiscard]] Task<void> forward(std::shared_ptr<Port> port);

public:
    /** @brief Creates a proxy without hosts. @param runtimeClock Clock of the soak. */
    explicit DatagramProxy(Clock& runtimeClock);

    /**
     * @brief Adds a host.
     * @param own Address on which the host receives datagrams.
     * @param shown Proxy address that the other hosts use for it.
     */
    void add(const SocketAddress& own, const SocketAddress& proxyAddress);

    /** @brief Sets whether all datagrams from and to a host are dropped. @param own Address of the host. @param isCut
     * Whether to drop them. */
    void setCut(const SocketAddress& own, bool isCut);

    /** @brief Sets whether datagrams from one host to another are dropped. @param from Sender. @param to Receiver.
     * @param isCut Whether to drop them. */
    void setCut(const SocketAddress& from, const SocketAddress& to, bool isCut);

    /** @brief Sets the delay of all datagrams. @param length Delay. */
    void setDelay(Duration length) { this->delay = length; }

private:
    Clock& clock;
    Duration delay {};
    /** Ports by the address on which the host receives datagrams. */
    std::map<std::string, std::shared_ptr<Port>> ports;
    std::set<std::string> cutHosts;
    std::set<std::pair<std::string, std::string>> cutPaths;
};

} // namespace berylwing::test
