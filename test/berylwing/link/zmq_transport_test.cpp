#include "berylwing/link/zmq_transport.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <unistd.h>
#include <vector>
#include <zmq.h>

namespace {

using namespace berylwing;

constexpr std::size_t kTextKeyBytes = 41;
/** Turns that a peer with the fleet's keys gets at most; it needs a few, far fewer than this. */
constexpr int kMostTurns = 3000;
/** Turns that a stranger gets beyond those that a peer with the fleet's keys needed. */
constexpr int kMoreTurns = 50;
constexpr std::chrono::milliseconds kTurn { 10 };

constexpr std::uint16_t kReceiverPort = 17100;

/** Loopback address of this process alone, because test cases run in processes side by side. */
std::string ownAddress()
{
    constexpr int kOctets = 250;
    const auto id = static_cast<int>(getpid());
    const auto octet = [](int value) { return "." + std::to_string(value % kOctets + 1); };
    return "127" + octet(id / kOctets / kOctets) + octet(id / kOctets) + octet(id);
}

struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

KeyPair newKeys()
{
    std::array<char, kTextKeyBytes> publicKey {};
    std::array<char, kTextKeyBytes> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return { publicKey.data(), secretKey.data() };
}

FleetKeys fleetKeys(const KeyPair& server, const KeyPair& client)
{
    return { server.publicKey, server.secretKey, client.publicKey, client.secretKey };
}

/** Daemon that listens, and another one that sends to it with keys of its own choice. */
class TransportFixture {
public:
    void start()
    {
        spawn(this->context.get_executor(), "authentication", this->receiver.authenticate());
        spawn(this->context.get_executor(), "link",
            this->receiver.receive([this](std::string_view bytes) { this->received.emplace_back(bytes); }));
    }

    void turn()
    {
        this->context.restart();
        this->context.run_for(kTurn);
    }

    [[nodiscard]] std::unique_ptr<ZmqTransport> sender(const FleetKeys& keys, std::uint16_t port)
    {
        return std::make_unique<ZmqTransport>(
            this->context.get_executor(), SocketAddress { this->address, port }, keys, [this](const std::string&) {
                return SocketAddress { this->address, kReceiverPort };
            });
    }

    std::string address = ownAddress();
    KeyPair server = newKeys();
    KeyPair client = newKeys();
    boost::asio::io_context context { 1 };
    ZmqTransport receiver { this->context.get_executor(), { this->address, kReceiverPort },
        fleetKeys(this->server, this->client), [](const std::string&) { return std::nullopt; } };
    std::vector<std::string> received;
};

} // namespace

TEST_CASE("ZmqTransport hears peers with the fleet's keys and nobody else", "[link][keys]")
{
    TransportFixture fixture;
    fixture.start();
    const auto member = fixture.sender(fleetKeys(fixture.server, fixture.client), kReceiverPort + 1);
    // One stranger knows the public key of the servers, the other one not even that.
    const auto stranger = fixture.sender(fleetKeys(fixture.server, newKeys()), kReceiverPort + 2);
    const auto outsider = fixture.sender(fleetKeys(newKeys(), newKeys()), kReceiverPort + 3);
    int turns = 0;
    int left = kMoreTurns;
    bool isMemberSent = false;
    while (left > 0 && turns < kMostTurns) {
        isMemberSent = isMemberSent || member->send("receiver", "of the fleet");
        stranger->send("receiver", "from a stranger");
        outsider->send("receiver", "from an outsider");
        fixture.turn();
        ++turns;
        left -= fixture.received.empty() ? 0 : 1;
    }
    CHECK(fixture.received == std::vector<std::string> { "of the fleet" });
}

TEST_CASE("ZmqTransport says that nothing was sent while there is no connection", "[link]")
{
    TransportFixture fixture;
    const auto member = fixture.sender(fleetKeys(fixture.server, fixture.client), kReceiverPort + 1);
    CHECK_FALSE(member->send("receiver", "too early"));
    CHECK_FALSE(fixture.receiver.send("unknown", "to nobody"));
}
