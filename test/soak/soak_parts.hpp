#pragma once

#include "soak/soak.hpp"

namespace berylwing::test {

/** A host's process with the links around it. */
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
    /** Address by which the other hosts know this one. */
    SocketAddress proxiedDigests;
    /** Where callers connect. */
    SocketAddress callerEntry;
    bool isReady = false;
    int missedProbes = 0;
    /** Whether the end that comes next was brought about by a kill. */
    bool isKillPending = false;
    /** Place of the planned stop that is under way. */
    std::optional<std::size_t> pendingStop;
    /** Place of the disturbance that lasts until the host is ready again. */
    std::optional<std::size_t> outage;
    TimePoint restartAt {};
};

/** An engine or application server with its link. */
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
    /** Whether it is down or leaves, so that no second end is brought about. */
    bool isRestarting = false;
};

} // namespace berylwing::test
