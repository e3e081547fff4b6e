#include "berylwing/link/datagram_channel.hpp"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>

namespace berylwing {

namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;

} // namespace

DatagramChannel::DatagramChannel(const Executor& executor, const SocketAddress& address)
    : socket { executor, Udp::endpoint { asio::ip::make_address(address.address), address.port } }
{
    this->socket.non_blocking(true);
}

void DatagramChannel::send(const SocketAddress& to, std::string_view bytes)
{
    boost::system::error_code error;
    const Udp::endpoint peer { asio::ip::make_address(to.address, error), to.port };
    if (!error)
        this->socket.send_to(asio::buffer(bytes.data(), bytes.size()), peer, 0, error);
    if (error)
        spdlog::debug("dropped datagram to {}: {}", to.address, error.message());
}

Task<void> DatagramChannel::receive(Receiver receiver)
{
    std::string bytes(kMaxDatagramBytes, '\0');
    Udp::endpoint sender;
    while (true) {
        boost::system::error_code error;
        const auto size = co_await this->socket.async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted)
            co_return;
        if (!error)
            receiver(sender.address().to_string(), std::string_view { bytes }.substr(0, size));
    }
}

} // namespace berylwing
