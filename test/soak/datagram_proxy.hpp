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
 * @brief Stands between the hosts' datagrams.
 *
 * Each host is known to the others by an address of the proxy. What arrives there is sent on from the proxy's address
 * of the sender, so that hosts take it for the sender's own.
 */
class DatagramProxy {
    struct Port;

    [[nodiscard]] Task<void> forward(std::shared_ptr<Port> port);

public:
    /** @brief Creates a proxy without hosts. @param runtimeClock Clock of the soak. */
    explicit DatagramProxy(Clock& runtimeClock);

    /**
     * @brief Adds a host.
     * @param own Where the host receives its datagrams.
     * @param shown Address by which the others know it.
     */
    void add(const SocketAddress& own, const SocketAddress& proxyAddress);

    /** @brief Sets whether all that a host sends or receives is lost. @param own Address of the host. @param isCut
     * Whether. */
    void setCut(const SocketAddress& own, bool isCut);

    /** @brief Sets whether what one host sends to another is lost. @param from Sender. @param to Receiver. @param isCut
     * Whether. */
    void setCut(const SocketAddress& from, const SocketAddress& to, bool isCut);

    /** @brief Sets by how much datagrams are held up. @param length Time. */
    void setDelay(Duration length) { this->delay = length; }

private:
    Clock& clock;
    Duration delay {};
    /** Ports by the host's own address. */
    std::map<std::string, std::shared_ptr<Port>> ports;
    std::set<std::string> cutHosts;
    std::set<std::pair<std::string, std::string>> cutPaths;
};

} // namespace berylwing::test
