#pragma once

#include "berylwing/gateway/gateway.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace berylwing::test {

/** @brief Gateways of several failure domains on one paused clock, with a store and a network in memory. */
class GatewayFleet {
public:
    /** One host and what is seen of it. */
    struct Host {
        GatewaySettings settings;
        /** Calls to the store. */
        int calls = 0;
        /** Whether messages between this host and others are dropped. */
        bool isIsolated = false;
        /** Whether messages to this host wait until it is set back, as while the host is suspended. */
        bool isSuspended = false;
        std::size_t bytesSent = 0;
        std::string logText;
        std::vector<std::pair<std::string, std::string>> held;
        std::unique_ptr<Gateway> gateway;
    };

    /**
     * @brief Starts hosts.
     * @param hostsPerDomain Hosts in each of the domains.
     * @param domains Failure domains.
     * @param bounds Times after which changes have to be in force.
     */
    GatewayFleet(int hostsPerDomain, const std::vector<std::string>& domains, const ChangeBounds& bounds = {});
    ~GatewayFleet();

    /** @brief Lets time pass. */
    void advance(Duration length);

    /** @brief Writes a plan into the store that has no routes. */
    void putPlan(std::uint64_t version);

    /** @brief Writes the entry of an endpoint into the store. */
    void putEndpoint(const std::string& id, bool isDraining = false);

    /** @brief Ends the suspension of a host, which finds the messages that came meanwhile. */
    void resume(Host& host);

    /** @brief Counts the hosts whose log holds a text. */
    [[nodiscard]] std::size_t hostsWithLog(const std::string& text) const;

    /** @brief Lists the hosts that speak for their group to others. */
    [[nodiscard]] std::vector<Host*> delegates() const { return this->hostsInRole("\"delegate\":"); }

    /** @brief Lists the hosts that watch the store for their group. */
    [[nodiscard]] std::vector<Host*> watchers() const { return this->hostsInRole("\"watcher\":"); }

    /** @brief Adds up the calls of all hosts to the store. */
    [[nodiscard]] int calls() const;

    FakePlatform platform;
    /** Bytes by which the documents of plans are longer than they have to be. */
    std::size_t planBytes = 0;
    /** The same for the entries of endpoints. */
    std::size_t endpointBytes = 0;
    TimePoint time { Duration { 1'000'000 } };
    /** Hosts by address. */
    std::map<std::string, std::unique_ptr<Host>> hosts;

private:
    void addHost(const std::string& domain, const std::string& name, const std::string& address);
    void deliver(Host& from, const SocketAddress& to, const std::string& bytes);
    void settle();
    /** Hosts whose last log line about roles says that they have one. */
    [[nodiscard]] std::vector<Host*> hostsInRole(const std::string& role) const;

    RuntimeContext context;
    Clock clock;
    GatewayProtocol protocol;
    ChangeBounds changeBounds;
};

} // namespace berylwing::test
