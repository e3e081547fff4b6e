#include "berylwing/daemon/daemon.hpp"

#include "berylwing/core/clock.hpp"
#include "berylwing/core/wall_clock.hpp"
#include "berylwing/daemon/process_signals.hpp"
#include "berylwing/host/host.hpp"
#include "berylwing/http/caller_server.hpp"
#include "berylwing/http/endpoint_client.hpp"
#include "berylwing/http/platform_transport.hpp"
#include "berylwing/http/status_server.hpp"
#include "berylwing/link/zmq_transport.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <memory>
#include <optional>
#include <spdlog/spdlog.h>

namespace berylwing {

namespace {

/** Returns the identity of this process; the time of its start serves as the incarnation. */
Identity makeIdentity(const Settings& settings)
{
    return { settings.host, settings.domain, static_cast<std::uint64_t>(wallTimeMs()), settings.link.address,
        settings.link.port, settings.metrics.port };
}

/** Finds the link address of a host in the rosters, or among the seeds while its roster is unknown. */
std::optional<SocketAddress> findLinkAddress(const Catalog& catalog, const Settings& settings, const std::string& host)
{
    for (const auto& [domain, roster] : catalog.rosters()) {
        if (const auto* member = roster.find(host))
            return SocketAddress { member->address, member->linkPort };
    }
    for (const auto& seed : settings.seeds) {
        if (seed.host == host)
            return seed.link;
    }
    return std::nullopt;
}

std::vector<std::string> listSeedHosts(const Settings& settings)
{
    std::vector<std::string> names;
    for (const auto& seed : settings.seeds) {
        if (seed.host != settings.host)
            names.push_back(seed.host);
    }
    return names;
}

/** Runs a host: connects it to its listeners, its transport and the signals of the process. */
class Daemon {
public:
    explicit Daemon(const Settings& daemonSettings)
        : settings { daemonSettings }
        , clock { this->context.get_executor() }
        , transport { this->clock.executor(), this->settings.link, this->settings.keys,
            [this](const std::string& name) { return findLinkAddress(this->host->catalog(), this->settings, name); } }
        , host { std::make_unique<Host>(this->clock, this->makeDependencies()) }
        , callers { this->clock, this->settings.callers,
            { this->settings.maxBodyBytes, this->settings.senderTimeout, {} }, *this->host }
        , status { this->clock, this->settings.metrics, this->makeStatusHandler() }
        , signals { this->context, SIGTERM, SIGINT }
    {
    }

    void run()
    {
        const auto& executor = this->clock.executor();
        spawn(executor, "authentication", this->transport.authenticate());
        spawn(
            executor, "link", this->transport.receive([this](std::string_view bytes) { this->host->receive(bytes); }));
        spawn(executor, "callers", this->callers.run());
        spawn(executor, "status", this->status.run());
        spawn(executor, "signals", this->stopOnSignal());
        this->host->start();
        unblockHandledSignals();
        this->context.run();
    }

private:
    [[nodiscard]] HostDependencies makeDependencies()
    {
        HostDependencies dependencies;
        dependencies.identity = makeIdentity(this->settings);
        dependencies.seeds = listSeedHosts(this->settings);
        dependencies.loadMultiple = this->settings.loadMultiple;
        dependencies.wallClock = wallTimeMs;
        dependencies.transport
            = [this](const std::string& name, const std::string& bytes) { return this->transport.send(name, bytes); };
        dependencies.platform = makePlatformTransport(this->settings.platform);
        dependencies.endpoints = makeEndpointAccess(this->clock);
        return dependencies;
    }

    [[nodiscard]] StatusServer::Handler makeStatusHandler() const
    {
        return [this](std::string_view path) -> StatusResponse {
            if (path == "/metrics")
                return { 200, "text/plain; version=0.0.4", this->host->metrics().serialize() };
            if (path == "/status")
                return { 200, "application/json", this->host->status().dump() };
            return { 404, "text/plain", "" };
        };
    }

    [[nodiscard]] Task<void> stopOnSignal()
    {
        co_await this->signals.async_wait(boost::asio::use_awaitable);
        spdlog::info("stopping");
        co_await this->host->stop(this->settings.drainTimeout);
        this->callers.close();
        spdlog::info("stopped");
        this->context.stop();
    }

    Settings settings;
    boost::asio::io_context context { 1 };
    Clock clock;
    ZmqTransport transport;
    std::unique_ptr<Host> host;
    CallerServer callers;
    StatusServer status;
    boost::asio::signal_set signals;
};

} // namespace

int runDaemon(const Settings& settings)
{
    Daemon daemon { settings };
    daemon.run();
    return 0;
}

} // namespace berylwing
