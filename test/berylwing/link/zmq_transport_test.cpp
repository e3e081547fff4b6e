#include "berylwing/link/zmq_transport.hpp"

#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
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

    [[nodiscard]] std::unique_ptr<ZmqTransport> sender(const FleetKeys& keys, const std::string& address)
    {
        return std::make_unique<ZmqTransport>(
            this->context.get_executor(), SocketAddress { address, 17100 }, keys, [](const std::string&) {
                return SocketAddress { "127.0.9.1", 17100 };
            });
    }

    KeyPair server = newKeys();
    KeyPair client = newKeys();
    boost::asio::io_context context { 1 };
    ZmqTransport receiver { this->context.get_executor(), { "127.0.9.1", 17100 }, fleetKeys(this->server, this->client),
        [](const std::string&) { return std::nullopt; } };
    std::vector<std::string> received;
};

} // namespace

TEST_CASE("ZmqTransport hears peers with the fleet's keys and nobody else", "[link][keys]")
{
    TransportFixture fixture;
    fixture.start();
    const auto member = fixture.sender(fleetKeys(fixture.server, fixture.client), "127.0.9.2");
    // One stranger knows the public key of the servers, the other one not even that.
    const auto stranger = fixture.sender(fleetKeys(fixture.server, newKeys()), "127.0.9.3");
    const auto outsider = fixture.sender(fleetKeys(newKeys(), newKeys()), "127.0.9.4");
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
    const auto member = fixture.sender(fleetKeys(fixture.server, fixture.client), "127.0.9.2");
    CHECK_FALSE(member->send("receiver", "too early"));
    CHECK_FALSE(fixture.receiver.send("unknown", "to nobody"));
}
