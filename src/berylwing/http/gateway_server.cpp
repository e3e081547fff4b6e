#include "berylwing/http/gateway_server.hpp"

#include "berylwing/http/gateway_connection.hpp"
#include "berylwing/http/socket_options.hpp"
#include "berylwing/telemetry/connection_metrics.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;

using Connections = boost::intrusive::list<GatewayConnection, boost::intrusive::constant_time_size<false>>;

/** Time for unacknowledged bytes before a caller counts as disconnected; callers' deadlines are of this order. */
constexpr Duration kUnackedTimeout { 10'000 };
/** Delay before the next try while there is no room for a connection, so that others can end. */
constexpr Duration kAcceptRetryDelay { 20 };
/** Connections closed when the process has no descriptor left: a caller, its endpoint and the store need one each. */
constexpr int kClosedForDescriptors = 3;
constexpr Duration kDrainCheckInterval { 50 };

} // namespace

struct GatewayServer::State {
    State(Clock& hostClock, const SocketAddress& address, Gateway& hostGateway, const HostCapacity& capacity)
        : clock { hostClock }
        , acceptor { hostClock.executor(),
            asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } }
        , gateway { hostGateway }
        , deadlineMonitor { std::make_shared<DeadlineMonitor>(hostClock) }
        , memory { std::make_shared<HostMemory>(hostClock, capacity) }
    {
    }

    ~State()
    {
        // Connections outlive the server until the event loop is destroyed, and give back what they hold.
        this->memory->shedder.onShed = nullptr;
        this->memory->budget.onPressure = nullptr;
    }

    State(const State&) = delete;
    State& operator=(const State&) = delete;

    Clock& clock;
    asio::ip::tcp::acceptor acceptor;
    Gateway& gateway;
    std::shared_ptr<DeadlineMonitor> deadlineMonitor;
    std::shared_ptr<HostMemory> memory;
    ConnectionMetrics metrics;
    Connections connections;
    TimePoint pressureBeganAt {};
    /** Connections that were closed for the sake of others since memory pressure began. */
    std::int64_t closedUnderPressure = 0;
};

GatewayServer::GatewayServer(Clock& clock, const SocketAddress& address, Gateway& gateway, const HostCapacity& capacity)
    : state { std::make_shared<State>(clock, address, gateway, capacity) }
{
    this->observeMemory();
}

GatewayServer::~GatewayServer() = default;

void GatewayServer::observeMemory()
{
    auto& shared = *this->state;
    shared.memory->shedder.onShed = [&shared](ShedReason reason) {
        ++shared.closedUnderPressure;
        shared.metrics.addClosed(kShedReasonNames[reason]);
    };
    shared.memory->budget.onPressure = [&shared](bool hasBegun) {
        LogLine line { hasBegun ? LogEvent::MemoryPressureBegan : LogEvent::MemoryPressureEnded };
        line.add("held_bytes", static_cast<std::int64_t>(shared.memory->budget.used()));
        line.add("limit_bytes", static_cast<std::int64_t>(shared.memory->budget.limit()));
        line.add("connections", static_cast<std::int64_t>(shared.memory->shedder.size()));
        if (hasBegun) {
            shared.pressureBeganAt = shared.clock.now();
            shared.closedUnderPressure = 0;
        } else {
            line.add("took_ms", shared.clock.now() - shared.pressureBeganAt);
            line.add("closed", shared.closedUnderPressure);
        }
        shared.gateway.decisionLog().write(line);
    };
}

std::string GatewayServer::serializeMetrics()
{
    auto& shared = *this->state;
    for (std::size_t index = 0; index < kByteKindNames.size(); ++index)
        shared.metrics.setHeldBytes(
            kByteKindNames.all()[index], shared.memory->budget.used(static_cast<ByteKind>(index)));
    shared.metrics.setConnections(shared.memory->shedder.size());
    return shared.metrics.serialize();
}

Task<void> GatewayServer::makeRoom(GatewayConnection& connection)
{
    auto& shared = *this->state;
    while (shared.memory->shedder.isOverBound() && !shared.memory->shedder.shedForDescriptor(&connection.sheddable()))
        co_await shared.clock.sleepFor(kAcceptRetryDelay);
    bool hasRoom = co_await connection.reserve();
    while (!hasRoom) {
        co_await shared.clock.sleepFor(kAcceptRetryDelay);
        hasRoom = co_await connection.reserve();
    }
}

Task<void> GatewayServer::run() { return this->accept(this->state->acceptor, false); }

Task<void> GatewayServer::runForHosts(SocketAddress address)
{
    asio::ip::tcp::acceptor acceptor { this->state->clock.executor(),
        asio::ip::tcp::endpoint { asio::ip::make_address(address.address), address.port } };
    co_await this->accept(acceptor, true);
}

Task<void> GatewayServer::accept(asio::ip::tcp::acceptor& acceptor, bool isForHosts)
{
    auto& shared = *this->state;
    bool isFailing = false;
    while (true) {
        boost::system::error_code error;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            if (!std::exchange(isFailing, true))
                spdlog::warn("accepting a connection failed: {}", error.message());
            int closed = 0;
            while (isOutOfDescriptors(error) && closed < kClosedForDescriptors
                && shared.memory->shedder.shedForDescriptor(nullptr))
                ++closed;
            if (closed == 0)
                co_await shared.clock.sleepFor(kAcceptRetryDelay);
            continue;
        }
        isFailing = false;
        enableLostPeerDetection(socket, kUnackedTimeout);
        boost::system::error_code unknown;
        const auto peer = socket.remote_endpoint(unknown).address().to_string();
        const auto connection = std::make_shared<GatewayConnection>(
            shared.clock, std::move(socket), shared.gateway, *shared.deadlineMonitor, shared.memory);
        if (isForHosts)
            connection->serveHost(peer);
        co_await this->makeRoom(*connection);
        shared.connections.push_back(*connection);
        spawn(shared.clock.executor(), "caller", connection->run());
    }
}

Task<void> GatewayServer::drain()
{
    auto& shared = *this->state;
    const auto& schedule = shared.gateway.stopSchedule();
    while (shared.clock.now() < schedule.exitAt()) {
        if (shared.clock.now() >= schedule.requestsEndAt())
            this->endRequests();
        if (shared.gateway.isRefusingRequests()) {
            this->closeIdle();
            if (shared.connections.empty())
                break;
        }
        co_await shared.clock.sleepFor(kDrainCheckInterval);
    }
}

void GatewayServer::endRequests()
{
    this->state->gateway.endRequests();
    for (auto& connection : this->state->connections)
        connection.endReading();
}

void GatewayServer::closeIdle()
{
    for (auto position = this->state->connections.begin(); position != this->state->connections.end();) {
        auto& connection = *position++;
        if (connection.isIdle())
            connection.close();
    }
}

} // namespace berylwing
