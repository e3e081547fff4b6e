#pragma once

#include "soak/soak.hpp"

namespace berylwing::test {

/** A host's process with the links around it. */
struct Soak::Host {
    Host(Clock& clock, const SoakOptions& options, GatewayAddresses addresses, SocketAddress shown,
        SocketAddress entryAddress, const SocketAddress& storeAddress)
        : process { options.program, std::move(addresses), options.folder }
        , storeLink { clock, this->process.addresses().store, storeAddress }
        , callerLink { clock, entryAddress, this->process.addresses().callers }
        , shownDigests { std::move(shown) }
        , entry { std::move(entryAddress) }
    {
    }

    GatewayProcess process;
    TcpProxy storeLink;
    TcpProxy callerLink;
    /** Address by which the other hosts know this one. */
    SocketAddress shownDigests;
    /** Where callers connect. */
    SocketAddress entry;
    bool isReady = false;
    int misses = 0;
    /** Whether the end that comes next was brought about by a kill. */
    bool isKilled = false;
    /** Place of the planned stop that is under way. */
    std::optional<std::size_t> stopping;
    /** Place of the disturbance that lasts until the host is ready again. */
    std::optional<std::size_t> downSince;
    TimePoint restartAt {};
};

/** An engine or application server with its link. */
struct Soak::Endpoint {
    Endpoint(Clock& clock, SoakRecord& record, unsigned seed, const SocketAddress& own, SocketAddress shownAddress)
        : engine { clock, record, seed }
        , link { clock, shownAddress, own }
        , shown { std::move(shownAddress) }
    {
    }

    EngineStandIn engine;
    TcpProxy link;
    SocketAddress shown;
    std::string service;
    std::string domain;
    std::string bornInstance;
    std::int64_t bornAtMs = 0;
    /** Whether it is down or leaves, so that no second end is brought about. */
    bool isEnding = false;
};

} // namespace berylwing::test
