#pragma once

#include "berylwing/core/clock.hpp"
#include "platform/store_stand_in.hpp"
#include "soak/datagram_proxy.hpp"
#include "soak/gateway_process.hpp"
#include "soak/tcp_proxy.hpp"
#include "stand_ins/http_server.hpp"
#include "support/runtime_context.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/** A small deployment on loopback addresses: hosts as real processes, the platform's store and engines as stand-ins. */
namespace review {

using namespace berylwing;
using namespace berylwing::test;

/** One host: its process and the link to the store, which a case can disturb. */
struct FleetHost {
    FleetHost(Clock& clock, const std::string& program, GatewayAddresses addresses, const SocketAddress& storeAddress,
        const SocketAddress& shownDigests, const std::string& folder, const nlohmann::json& settings)
        : process { program, addresses, folder, settings }
        , storeLink { clock, addresses.store, storeAddress }
        , digestsOfOthers { shownDigests }
    {
    }

    GatewayProcess process;
    TcpProxy storeLink;
    SocketAddress digestsOfOthers;
};

/** Settings of the fleet. */
struct FleetOptions {
    /** Program of the role, as the deploy file names it. */
    std::string program;
    /** Folder of the case, which gets the record. */
    std::string folder;
    /** Zones of the hosts, one entry for each host. */
    std::vector<std::string> zones;
    nlohmann::json settings = nlohmann::json::object();
};

/** Options of one connection of a client. */
struct ClientAnswer {
    /** Zero if the connection ended before a head was read. */
    unsigned status = 0;
    /** Whether the answer ended as HTTP says. */
    bool isComplete = false;
    std::string body;
    std::string signature;
    double retryAfterS = 0;
};

class Fleet {
public:
    explicit Fleet(FleetOptions fleetOptions);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    /** Returns a loopback address of this run. */
    [[nodiscard]] std::string address(unsigned group, unsigned number) const;

    /** Serves an engine on an address of its own. */
    void listenEngine(unsigned number, StandInHandler handler);

    /** Stops listening for an engine; new connections are refused. */
    void stopEngine(unsigned number);

    /** Writes the entry of an engine. */
    void putEngine(const std::string& id, const std::string& service, const std::string& zone, unsigned number,
        const std::string& version, nlohmann::json more = nlohmann::json::object());

    /** Starts all hosts and waits until they are ready. @return False if one is not ready in time. */
    [[nodiscard]] bool start();

    /**
     * Holds a host to its share of a core, as a quota for each tenth of a second: once it is used up, the process is
     * stopped until the next one. Ends with the event loop.
     */
    [[nodiscard]] Task<void> limitProcessor(std::size_t host, double share);

    /** Waits until a host is ready. */
    [[nodiscard]] Task<bool> waitUntilReady(std::size_t host, Duration limit);

    /** Sends one request on a new connection and reads its answer as far as it comes. */
    [[nodiscard]] Task<ClientAnswer> send(std::size_t host, std::string requestText, TimePoint deadline,
        std::function<void(const ClientAnswer&)> onProgress = {});

    /** Runs a task to its end. */
    void run(Task<void> task);

    /** Writes one line to the record. */
    void note(const std::string& line);

    /** Returns the log of a host so far. */
    [[nodiscard]] std::string log(std::size_t host) const;

    RuntimeContext context;
    Clock clock { this->context.get_executor() };
    StoreStandIn store { this->clock };
    DatagramProxy digests { this->clock };
    std::vector<std::unique_ptr<FleetHost>> hosts;

private:
    FleetOptions options;
    unsigned block;
    std::string logFolder;
    std::ofstream recordFile;
    std::map<unsigned, std::shared_ptr<boost::asio::ip::tcp::acceptor>> acceptors;
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
};

/** Whether the case is run with its disruption. */
[[nodiscard]] bool hasTrouble();

} // namespace review
