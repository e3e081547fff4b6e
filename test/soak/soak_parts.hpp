#pragma once

#include "soak/soak.hpp"

namespace berylwing::test {

/** Process of a host with the proxies on its links. */
struct Soak::Host {
    Host(Clock& clock, const SoakOptions& options, GatewayAddresses addresses, SocketAddress proxyAddress,
        SocketAddress entryAddress, const SocketAddress& storeAddress)
        : process { options.program, std::move(addresses), options.folder }
        , storeLink { clock, this->process.addresses().store, storeAddress }
        , callerLink { clock, entryAddress, this->process.addresses().callers }
        , proxiedDigests { std::move(proxyAddress) }
        , callerEntry { std::move(entryAddress) }
    {
    }

    GatewayProcess process;
    TcpProxy storeLink;
    TcpProxy callerLink;
    /** Proxy address to which the other hosts send digests. */
    SocketAddress proxiedDigests;
    /** Address of the proxy to which callers connect. */
    SocketAddress callerEntry;
    bool isReady = false;
    int missedProbes = 0;
    /** Whether the process has been sent SIGKILL and has not been reaped yet. */
    bool isKillPending = false;
    /** Index in SoakRecord::stops of the planned stop in progress. */
    std::optional<std::size_t> pendingStop;
    /** Index in SoakRecord::disturbances of the outage that lasts until the host is ready again. */
    std::optional<std::size_t> outage;
    TimePoint restartAt {};
};

/** Engine or application server with the proxy on its link. */
struct Soak::Endpoint {
    Endpoint(Clock& clock, SoakRecord& record, unsigned seed, const SocketAddress& own, SocketAddress linkAddress)
        : engine { clock, record, seed }
        , link { clock, linkAddress, own }
        , proxyAddress { std::move(linkAddress) }
    {
    }

    EngineStandIn engine;
    TcpProxy link;
    SocketAddress proxyAddress;
    std::string service;
    std::string domain;
    std::string publishedInstance;
    std::int64_t startedAtMs = 0;
    /** Whether a crash or drain is in progress, during which no second one starts. */
    bool isRestarting = false;
};

} // namespace berylwing::test
