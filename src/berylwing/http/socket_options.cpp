#include "berylwing/http/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace berylwing {

namespace {

namespace asio = boost::asio;

using KeepAliveIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepAliveInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepAliveCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/** Seconds of silence before the first probe, and between probes; the smallest that the kernel takes. */
constexpr int kProbeIntervalSeconds = 1;
/** Unanswered probes after which the peer is taken for lost; a link that loses packets seldom loses three in a row. */
constexpr int kMaxUnansweredProbes = 3;

} // namespace

void enableLostPeerDetection(asio::ip::tcp::socket& socket, Duration unackedTimeout)
{
    // A socket that cannot take an option still works; only a lost peer is then found later, by a deadline.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
    socket.set_option(asio::socket_base::keep_alive { true }, ignored);
    socket.set_option(KeepAliveIdle { kProbeIntervalSeconds }, ignored);
    socket.set_option(KeepAliveInterval { kProbeIntervalSeconds }, ignored);
    socket.set_option(KeepAliveCount { kMaxUnansweredProbes }, ignored);
    socket.set_option(UserTimeout { static_cast<int>(unackedTimeout.count()) }, ignored);
}

} // namespace berylwing
