#pragma once

#include "berylwing/gateway/gateway.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace berylwing::test {

/** @brief Gateways of several failure domains with a manual clock, an in-memory store and an in-memory network. */
class GatewayFleet {
public:
    /** Host with its recorded traffic and log. */
    struct Host {
        GatewaySettings settings;
        /** Number of calls to the store. */
        int storeCalls = 0;
        /** Whether messages between this host and others are dropped. */
        bool isIsolated = false;
        /** Whether the process is suspended: it sends no messages, and those to it wait until resume(). */
        bool isSuspended = false;
        std::size_t bytesSent = 0;
        std::string logText;
        /** Messages that wait for resume(), as sender and bytes. */
        std::vector<std::pair<std::string, std::string>> heldMessages;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Gateway> gateway;
    };

    /**
     * @brief Starts the hosts.
     * @param hostsPerDomain Number of hosts in each domain.
     * @param domains Failure domains.
     * @param bounds Deadlines by which changes must be in force.
     * @param rolloutLimits Bounds of roll-outs; nothing if hosts do not follow orders.
     */
    GatewayFleet(int hostsPerDomain, const std::vector<std::string>& domains, const ChangeDeadlines& bounds = {},
        const std::optional<RolloutLimits>& rolloutLimits = {});
    ~GatewayFleet();

    /** @brief Advances the clock and runs what becomes due. */
    void advance(Duration length);

    /** @brief Writes a plan without routes into the store. */
    void putPlan(std::uint64_t version);

    /** @brief Writes the entry of an endpoint into the store. */
    void putEndpoint(const std::string& id, bool isDraining = false);

    /** @brief Writes the entry of an endpoint that runs a version of its software. */
    void putEndpointOfVersion(const std::string& id, const std::string& version);

    /** @brief Removes an object from the store. */
    void remove(ObjectKind kind, const std::string& name);

    /** @brief Returns the clock of all hosts. */
    [[nodiscard]] Clock& runtimeClock() { return this->clock; }

    /** @brief Kills the process of a host and starts another one. */
    void restart(Host& host);

    /** @brief Resumes a suspended host and delivers the messages that arrived in the meantime. */
    void resume(Host& host);

    /** @brief Counts the hosts whose log contains a text. */
    [[nodiscard]] std::size_t countHostsWithLog(const std::string& text) const;

    /** @brief Returns the hosts that exchange summaries with other groups. */
    [[nodiscard]] std::vector<Host*> delegates() const { return this->findHostsInRole("\"delegate\":"); }

    /** @brief Returns the hosts that watch the store for their group. */
    [[nodiscard]] std::vector<Host*> watchers() const { return this->findHostsInRole("\"watcher\":"); }

    /** @brief Returns the number of calls of all hosts to the store. */
    [[nodiscard]] int storeCalls() const;

    FakePlatform platform;
    /** Makes the plan of a version; plans have no routes without it. */
    std::function<RoutingPlan(std::uint64_t)> makePlan;
    /** Connects to an endpoint. */
    SessionFactory open;
    /** Called before each call to the store. */
    std::function<void(Host&, const PlatformCall&)> beforeCall;
    /** Padding of the plan documents in bytes. */
    std::size_t planBytes = 0;
    /** Padding of the endpoint entries in bytes. */
    std::size_t endpointBytes = 0;
    /** Returns how long a call to the store or a message takes that a host receives; nothing extra without it. */
    std::function<Duration(const Host&)> receiveDelay;
    /** Returns how long the answer to a call takes on the link of a host; a call fails at its timeout. */
    std::function<Duration(const Host&, const PlatformReply&)> transferTime;
    /** Part of the messages that is lost. */
    double messageLoss = 0;
    TimePoint time { Duration { 1'000'000 } };
    /** Hosts by address. */
    std::map<std::string, std::unique_ptr<Host>> hosts;

private:
    void addHost(const std::string& domain, const std::string& name, const std::string& address);
    void startProcess(Host& host);
    void deliver(Host& from, const SocketAddress& to, const std::string& bytes);
    void receive(Host& host, std::uint64_t incarnation, const std::string& sender, const std::string& bytes);
    void runReady();
    /** Returns the hosts that have a role by their last "roles_changed" log line. */
    [[nodiscard]] std::vector<Host*> findHostsInRole(const std::string& role) const;

    RuntimeContext context;
    Clock clock;
    GatewayProtocol protocol;
    ChangeDeadlines changeDeadlines;
    std::optional<RolloutLimits> rolloutLimits;
    std::minstd_rand random { 1 };
    /** Gateways of killed processes, which are cut off; their tasks end with the context. */
    std::vector<std::unique_ptr<Gateway>> formerProcesses;
};

} // namespace berylwing::test
