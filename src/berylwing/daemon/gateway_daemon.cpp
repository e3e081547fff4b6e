#include "berylwing/daemon/gateway_daemon.hpp"

#include "berylwing/core/clock.hpp"
#include "berylwing/core/finding.hpp"
#include "berylwing/core/wall_clock.hpp"
#include "berylwing/daemon/process_signals.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "berylwing/http/endpoint_session.hpp"
#include "berylwing/http/gateway_server.hpp"
#include "berylwing/http/status_server.hpp"
#include "berylwing/link/datagram_channel.hpp"
#include "platform/platform.hpp"
#include "platform/store_transport.hpp"
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <malloc.h>
#include <memory>
#include <unistd.h>

namespace berylwing {

namespace {

/** Size from which a block goes back to the system as soon as it is released, as large bodies do. */
constexpr int kMappedBytes = 128 * 1024;
/** Released bytes at the end of the heap that are kept. */
constexpr int kKeptHeapBytes = 2 * 1024 * 1024;

/** Runs a gateway: connects it to its listeners, its transport and the signals of the process. */
class GatewayDaemon {
public:
    GatewayDaemon(const GatewaySettings& daemonSettings, const std::function<GatewaySettings()>& reloadSettings)
        : settings { daemonSettings }
        , reload { reloadSettings }
        , clock { this->context.get_executor() }
        , digests { this->clock.executor(), this->settings.digests }
        , gateway { this->clock, this->settings, this->protocol,
            { platform::makeStoreTransport(this->settings.platform), makeSessionFactory(this->clock, this->protocol),
                [this](const SocketAddress& to, const std::string& bytes) { this->digests.send(to, bytes); },
                [](std::string_view lines) { return writeNonBlocking(STDOUT_FILENO, lines); },
                static_cast<std::uint64_t>(wallTimeMs()),
                makeHostSessionFactory(this->clock, this->protocol, this->settings.digests.address) } }
        , callers { this->clock, this->settings.callers, this->gateway, this->settings.capacity }
        , readiness { this->clock, this->settings.readiness, this->makeStatusHandler() }
        , metrics { this->clock, this->settings.metrics, this->makeStatusHandler() }
        , stopSignals { this->context, SIGTERM, SIGINT }
        , reloadSignals { this->context, SIGHUP }
    {
    }

    void run()
    {
        const auto& executor = this->clock.executor();
        this->gateway.start();
        spawn(executor, "digests", this->digests.receive([this](const std::string& address, std::string_view bytes) {
            this->gateway.receive(address, bytes);
        }));
        spawn(executor, "callers", this->callers.run());
        if (this->settings.isRelayEnabled)
            spawn(executor, "hosts", this->callers.runForHosts(this->settings.digests));
        spawn(executor, "readiness", this->readiness.run());
        spawn(executor, "metrics", this->metrics.run());
        spawn(executor, "stop", this->stopOnSignal());
        spawn(executor, "reload", this->reloadOnSignal());
        unblockHandledSignals();
        this->context.run();
    }

private:
    [[nodiscard]] StatusServer::Handler makeStatusHandler()
    {
        return [this](std::string_view path) -> StatusResponse {
            if (path == this->protocol.readinessPath)
                return { this->gateway.isReady() ? 200U : 503U, "text/plain", "" };
            if (path == "/metrics")
                return { 200, "text/plain; version=0.0.4",
                    this->gateway.metrics().serialize() + this->callers.serializeMetrics() };
            if (path == "/rollouts")
                return { 200, "application/json", this->gateway.describeRollouts().dump(2) + "\n" };
            return { 404, "text/plain", "" };
        };
    }

    [[nodiscard]] Task<void> stopOnSignal()
    {
        co_await this->stopSignals.async_wait(boost::asio::use_awaitable);
        this->gateway.beginStop();
        spawn(this->clock.executor(), "unregister", this->gateway.unregisterHost());
        co_await this->callers.drain();
        LogLine line { LogEvent::Stopped };
        this->gateway.decisionLog().write(
            line.add("unfinished", static_cast<std::int64_t>(this->gateway.inProgress())));
        this->gateway.decisionLog().flush();
        this->context.stop();
    }

    [[nodiscard]] Task<void> reloadOnSignal()
    {
        while (true) {
            co_await this->reloadSignals.async_wait(boost::asio::use_awaitable);
            LogLine line { LogEvent::SettingsReloaded };
            try {
                // Limits take effect at once; changed addresses take effect at the next start.
                const auto next = this->reload();
                this->gateway.reload(next);
                line.add("findings", std::int64_t { 0 });
            } catch (const std::exception& error) {
                line.add("error", error.what());
            }
            this->gateway.decisionLog().write(line);
        }
    }

    GatewaySettings settings;
    std::function<GatewaySettings()> reload;
    boost::asio::io_context context { 1 };
    Clock clock;
    GatewayProtocol protocol = platform::makeProtocol();
    DatagramChannel digests;
    Gateway gateway;
    GatewayServer callers;
    StatusServer readiness;
    StatusServer metrics;
    boost::asio::signal_set stopSignals;
    boost::asio::signal_set reloadSignals;
};

} // namespace

int runGatewayDaemon(const GatewaySettings& settings, const std::function<GatewaySettings()>& reload)
{
    // By default the allocator keeps the memory of large bodies once it has seen one, in pieces that fit nothing else.
    mallopt(M_MMAP_THRESHOLD, kMappedBytes);
    mallopt(M_TRIM_THRESHOLD, kKeptHeapBytes);
    GatewayDaemon daemon { settings, reload };
    daemon.run();
    return 0;
}

} // namespace berylwing
