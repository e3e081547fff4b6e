#include "soak/datagram_proxy.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace berylwing::test {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

Udp::endpoint endpointOf(const SocketAddress& address)
{
    return { asio::ip::make_address(address.address), address.port };
}

} // namespace

struct DatagramProxy::Port {
    Port(const Executor& executor, const SocketAddress& ownAddress, const SocketAddress& linkAddress)
        : own { ownAddress }
        , socket { executor, endpointOf(linkAddress) }
    {
        this->socket.non_blocking(true);
    }

    SocketAddress own;
    Udp::socket socket;
};

DatagramProxy::DatagramProxy(Clock& runtimeClock)
    : clock { runtimeClock }
{
}

void DatagramProxy::add(const SocketAddress& own, const SocketAddress& proxyAddress)
{
    const auto port = std::make_shared<Port>(this->clock.executor(), own, proxyAddress);
    this->ports.emplace(own.address, port);
    spawn(this->clock.executor(), "datagram proxy", this->forward(port));
}

void DatagramProxy::setCut(const SocketAddress& own, bool isCut)
{
    if (isCut)
        this->cutHosts.insert(own.address);
    else
        this->cutHosts.erase(own.address);
}

void DatagramProxy::setCut(const SocketAddress& from, const SocketAddress& to, bool isCut)
{
    if (isCut)
        this->cutPaths.emplace(from.address, to.address);
    else
        this->cutPaths.erase({ from.address, to.address });
}

Task<void> DatagramProxy::forward(std::shared_ptr<Port> port)
{
    std::string bytes(kMaxDatagramBytes, '\0');
    Udp::endpoint sender;
    while (true) {
        boost::system::error_code error;
        const auto size = co_await port->socket.async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        const auto from = sender.address().to_string();
        const auto source = this->ports.find(from);
        if (error || source == this->ports.end() || this->cutHosts.contains(from)
            || this->cutHosts.contains(port->own.address) || this->cutPaths.contains({ from, port->own.address }))
            continue;
        if (this->delay > Duration {})
            co_await this->clock.sleepFor(this->delay);
        boost::system::error_code ignored;
        source->second->socket.send_to(asio::buffer(bytes.data(), size), endpointOf(port->own), 0, ignored);
    }
}

} // namespace berylwing::test
