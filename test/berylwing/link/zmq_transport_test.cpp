#include "berylwing/link/zmq_transport.hpp"

#include "support/loopback_address.hpp"
#include <array>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>
#include <zmq.h>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr std::size_t kEncodedKeyBytes = 41;
/** Maximum number of event-loop runs for a peer with the fleet's keys to connect; it needs far fewer. */
constexpr int kMaxTurns = 3000;
/** Additional event-loop runs that peers without the keys get after the first message of a peer with the keys. */
constexpr int kExtraTurns = 50;
constexpr std::chrono::milliseconds kTurnDuration { 10 };

constexpr std::uint16_t kReceiverPort = 17100;

struct KeyPair {
    std::string publicKey;
    std::string secretKey;
};

KeyPair generateKeys()
{
    std::array<char, kEncodedKeyBytes> publicKey {};
    std::array<char, kEncodedKeyBytes> secretKey {};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    return { publicKey.data(), secretKey.data() };
}

FleetKeys fleetKeys(const KeyPair& server, const KeyPair& client)
{
    return { server.publicKey, server.secretKey, client.publicKey, client.secretKey };
}

/** Runs a listening transport and creates senders with arbitrary keys. */
class TransportFixture {
public:
    void start()
    {
        spawn(this->context.get_executor(), "authentication", this->receiver.authenticate());
        spawn(this->context.get_executor(), "link",
            this->receiver.receive([this](std::string_view bytes) { this->received.emplace_back(bytes); }));
    }

    void runTurn()
    {
        this->context.restart();
        this->context.run_for(kTurnDuration);
    }

    [[nodiscard]] std::unique_ptr<ZmqTransport> makeSender(const FleetKeys& keys, std::uint16_t port)
    {
        return std::make_unique<ZmqTransport>(
            this->context.get_executor(), SocketAddress { this->address, port }, keys, [this](const std::string&) {
                return SocketAddress { this->address, kReceiverPort };
            });
    }

    std::string address = loopbackAddressOfProcess();
    KeyPair server = generateKeys();
    KeyPair client = generateKeys();
    boost::asio::io_context context { 1 };
    ZmqTransport receiver { this->context.get_executor(), { this->address, kReceiverPort },
        fleetKeys(this->server, this->client), [](const std::string&) { return std::nullopt; } };
    std::vector<std::string> received;
};

} // namespace

TEST_CASE("ZmqTransport receives messages only from peers with the fleet's keys", "[link][keys]")
{
    TransportFixture fixture;
    fixture.start();
    const auto member = fixture.makeSender(fleetKeys(fixture.server, fixture.client), kReceiverPort + 1);
    // Neither of these has a client key of the fleet; the first one knows the public key of the servers.
    const auto stranger = fixture.makeSender(fleetKeys(fixture.server, generateKeys()), kReceiverPort + 2);
    const auto outsider = fixture.makeSender(fleetKeys(generateKeys(), generateKeys()), kReceiverPort + 3);
    int turns = 0;
    int left = kExtraTurns;
    bool isMemberSent = false;
    while (left > 0 && turns < kMaxTurns) {
        isMemberSent = isMemberSent || member->send("receiver", "of the fleet");
        stranger->send("receiver", "from a stranger");
        outsider->send("receiver", "from an outsider");
        fixture.runTurn();
        ++turns;
        left -= fixture.received.empty() ? 0 : 1;
    }
    CHECK(fixture.received == std::vector<std::string> { "of the fleet" });
}

TEST_CASE("ZmqTransport reports a message as not sent while there is no connection", "[link]")
{
    TransportFixture fixture;
    const auto member = fixture.makeSender(fleetKeys(fixture.server, fixture.client), kReceiverPort + 1);
    CHECK_FALSE(member->send("receiver", "too early"));
    CHECK_FALSE(fixture.receiver.send("unknown", "to nobody"));
}
