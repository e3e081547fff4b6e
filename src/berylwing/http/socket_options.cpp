#include "berylwing/http/socket_options.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace berylwing {

namespace {

namespace asio = boost::asio;

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Idle seconds before the first keep-alive probe, and between probes; 1 is the kernel's minimum. */
constexpr int kProbeIntervalSeconds = 1;
/** Unanswered probes after which the peer counts as lost; a lossy link seldom loses 3 packets in a row. */
constexpr int kMaxUnansweredProbes = 3;

} // namespace

void enableLostPeerDetection(asio::ip::tcp::socket& socket, Duration unackedTimeout)
{
    // Errors are ignored: without an option the socket still works, and a lost peer is detected later by a deadline.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
    socket.set_option(asio::socket_base::keep_alive { true }, ignored);
    socket.set_option(KeepAliveIdle { kProbeIntervalSeconds }, ignored);
    socket.set_option(KeepAliveInterval { kProbeIntervalSeconds }, ignored);
    socket.set_option(KeepAliveCount { kMaxUnansweredProbes }, ignored);
    setUnackedTimeout(socket, unackedTimeout);
}

void setUnackedTimeout(asio::ip::tcp::socket& socket, Duration unackedTimeout)
{
    // Errors are ignored for the same reason.
    boost::system::error_code ignored;
    socket.set_option(UserTimeout { static_cast<int>(unackedTimeout.count()) }, ignored);
}

bool hasUnackedBytes(asio::ip::tcp::socket& socket)
{
    // This host has closed it meanwhile.
    if (!socket.is_open())
        return true;
    int size = 0;
    if (::ioctl(socket.native_handle(), SIOCOUTQ, &size) == 0)
        return size > 0;
    // The system does not tell; a reset after the peer's end shows as a pending error.
    int failure = 0;
    socklen_t length = sizeof failure;
    return ::getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &failure, &length) != 0 || failure != 0;
}

bool isOutOfDescriptors(const boost::system::error_code& error)
{
    return error == asio::error::no_descriptors || error == boost::system::errc::too_many_files_open_in_system
        || error == asio::error::no_buffer_space || error == asio::error::no_memory;
}

} // namespace berylwing
