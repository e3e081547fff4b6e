#include "berylwing/link/zmq_transport.hpp"

#include <array>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <map>
#include <utility>
#include <vector>
#include <zmq.hpp>

namespace berylwing {

namespace {

namespace asio = boost::asio;

/** Address at which ZeroMQ expects the handler of its authentication protocol (ZAP). */
constexpr std::string_view kZapAddress = "inproc://zeromq.zap.01";
constexpr std::size_t kRawKeyBytes = 32;
/** Size of a Z85-encoded key with its terminating null. */
constexpr std::size_t kEncodedKeyBytes = 41;
constexpr int kHeartbeatIntervalMs = 1000;
constexpr int kHeartbeatTimeoutMs = 3000;
constexpr int kReconnectDelayMs = 100;
constexpr int kMaxReconnectDelayMs = 1000;
constexpr int kMaxQueuedMessages = 20'000;
/** Messages received before other coroutines of the executor run. */
constexpr std::size_t kMaxMessagesPerTurn = 64;

std::string makeUrl(const SocketAddress& address) { return "tcp://" + address.toText(); }

std::string encodeKey(const zmq::message_t& raw)
{
    if (raw.size() != kRawKeyBytes)
        return {};
    std::array<char, kEncodedKeyBytes> text {};
    zmq_z85_encode(text.data(), raw.data<std::uint8_t>(), raw.size());
    return text.data();
}

/** Waits for the file descriptor of a socket, which is edge-triggered: it signals each change of state only once. */
class SocketWaiter {
public:
    SocketWaiter(const Executor& executor, zmq::socket_t& socket)
        : descriptor { executor, socket.get(zmq::sockopt::fd) }
    {
    }

    ~SocketWaiter() { this->descriptor.release(); }
    SocketWaiter(const SocketWaiter&) = delete;
    SocketWaiter& operator=(const SocketWaiter&) = delete;

    Task<void> wait()
    {
        boost::system::error_code ignored;
        co_await this->descriptor.async_wait(
            asio::posix::stream_descriptor::wait_read, asio::redirect_error(asio::use_awaitable, ignored));
    }

private:
    asio::posix::stream_descriptor descriptor;
};

bool isReadable(zmq::socket_t& socket) { return (socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0; }

std::vector<zmq::message_t> receiveParts(zmq::socket_t& socket)
{
    std::vector<zmq::message_t> parts;
    bool more = true;
    while (more) {
        zmq::message_t part;
        if (!socket.recv(part, zmq::recv_flags::dontwait))
            return parts;
        more = part.more();
        parts.push_back(std::move(part));
    }
    return parts;
}

} // namespace

struct ZmqTransport::Sockets {
    struct Peer {
        SocketAddress address;
        zmq::socket_t socket;
    };

    Peer& findOrConnectPeer(const std::string& host, const SocketAddress& address)
    {
        const auto known = this->peers.find(host);
        const bool isSame = known != this->peers.end() && known->second.address.address == address.address
            && known->second.address.port == address.port;
        if (isSame)
            return known->second;
        this->peers.erase(host);
        zmq::socket_t socket { this->context, zmq::socket_type::dealer };
        socket.set(zmq::sockopt::curve_serverkey, this->keys.serverPublic);
        socket.set(zmq::sockopt::curve_publickey, this->keys.clientPublic);
        socket.set(zmq::sockopt::curve_secretkey, this->keys.clientSecret);
        // Queues messages only on completed connections, so that a failed send means that no byte left this host.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, kMaxQueuedMessages);
        socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatIntervalMs);
        socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
        socket.set(zmq::sockopt::reconnect_ivl, kReconnectDelayMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectDelayMs);
        socket.connect(makeUrl(address));
        return this->peers.emplace(host, Peer { address, std::move(socket) }).first->second;
    }

    Executor executor;
    FleetKeys keys;
    AddressLookup findAddress;
    zmq::context_t context;
    zmq::socket_t authentication;
    zmq::socket_t incoming;
    std::map<std::string, Peer> peers;
};

ZmqTransport::ZmqTransport(
    const Executor& executor, const SocketAddress& listen, FleetKeys keys, AddressLookup findAddress)
    : sockets { std::make_unique<Sockets>() }
{
    auto& state = *this->sockets;
    state.executor = executor;
    state.keys = std::move(keys);
    state.findAddress = std::move(findAddress);
    // The authentication socket must be bound before the first peer can connect.
    state.authentication = zmq::socket_t { state.context, zmq::socket_type::rep };
    state.authentication.set(zmq::sockopt::linger, 0);
    state.authentication.bind(std::string { kZapAddress });
    state.incoming = zmq::socket_t { state.context, zmq::socket_type::router };
    state.incoming.set(zmq::sockopt::linger, 0);
    state.incoming.set(zmq::sockopt::curve_server, true);
    state.incoming.set(zmq::sockopt::curve_secretkey, state.keys.serverSecret);
    state.incoming.set(zmq::sockopt::zap_domain, "fleet");
    state.incoming.bind(makeUrl(listen));
}

ZmqTransport::~ZmqTransport() = default;

bool ZmqTransport::send(const std::string& host, const std::string& bytes)
{
    const auto address = this->sockets->findAddress(host);
    if (!address)
        return false;
    auto& peer = this->sockets->findOrConnectPeer(host, *address);
    return peer.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
}

Task<void> ZmqTransport::receive(Receiver receiver)
{
    auto& incoming = this->sockets->incoming;
    SocketWaiter waiter { this->sockets->executor, incoming };
    while (true) {
        std::size_t received = 0;
        while (received < kMaxMessagesPerTurn) {
            const auto parts = receiveParts(incoming);
            if (parts.empty())
                break;
            if (parts.size() == 2)
                receiver(parts.back().to_string_view());
            ++received;
        }
        // Reading the events option, as isReadable() does, resets the edge-triggered descriptor so that it signals
        // again.
        if (received == kMaxMessagesPerTurn || isReadable(incoming))
            co_await yieldTurn();
        else
            co_await waiter.wait();
    }
}

Task<void> ZmqTransport::authenticate()
{
    constexpr std::size_t kRequestParts = 7;
    constexpr std::size_t kRequestIdPart = 1;
    constexpr std::size_t kKeyPart = 6;
    auto& socket = this->sockets->authentication;
    SocketWaiter waiter { this->sockets->executor, socket };
    while (true) {
        while (isReadable(socket)) {
            const auto parts = receiveParts(socket);
            const bool isKnown
                = parts.size() == kRequestParts && encodeKey(parts[kKeyPart]) == this->sockets->keys.clientPublic;
            const auto requestId = parts.size() > kRequestIdPart ? parts[kRequestIdPart].to_string() : std::string {};
            const std::array<std::string, 6> answer { "1.0", requestId, isKnown ? "200" : "400",
                isKnown ? "OK" : "unknown key", isKnown ? "fleet" : "", "" };
            for (std::size_t index = 0; index < answer.size(); ++index) {
                const auto flags = index + 1 < answer.size() ? zmq::send_flags::sndmore : zmq::send_flags::none;
                socket.send(zmq::buffer(answer[index]), flags);
            }
        }
        co_await waiter.wait();
    }
}

} // namespace berylwing
