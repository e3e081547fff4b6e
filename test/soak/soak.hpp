#pragma once

#include "platform/engine_stand_in.hpp"
#include "platform/store_stand_in.hpp"
#include "soak/datagram_proxy.hpp"
#include "soak/fault_plan.hpp"
#include "soak/gateway_process.hpp"
#include "soak/soak_caller.hpp"
#include "soak/soak_record.hpp"
#include "soak/tcp_proxy.hpp"
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief How a soak runs. */
struct SoakOptions {
    unsigned seed = 1;
    /** Second byte of all loopback addresses, so that several soaks run beside each other. */
    unsigned addressBlock = 10;
    /** Program of a host. */
    std::string program;
    /** Folder for settings and logs. */
    std::string folder;
    unsigned hosts = 7;
    unsigned engines = 6;
    unsigned services = 3;
    unsigned callers = 24;
    /** Time in which faults begin. */
    Duration faultWindow { 15'000 };
    Duration meanFaultInterval { 500 };
    /** Time after the last fault that the hosts are given before all requests have to be served. */
    Duration recoveryTime = SoakBounds {}.recoveryTime;
    /** Time for which that is looked at. */
    Duration verificationTime { 4000 };
    /** Kinds of faults; all if empty. */
    std::set<SoakFault> enabledFaults;
};

/**
 * @brief A fleet of real host processes with stand-ins of its surroundings, callers, and faults from outside.
 *
 * The stand-ins, callers and proxies run in this process; each host is a process of its own.
 */
class Soak {
    struct Host;
    struct Endpoint;

    void buildHosts();
    void buildEndpoints();
    [[nodiscard]] std::string blockAddress(unsigned group, unsigned number) const;
    [[nodiscard]] std::string createInstanceId();
    void publishEndpoint(Endpoint& endpoint, bool isDraining, Duration coldFor);
    void publishPlan();
    [[nodiscard]] nlohmann::json makeRoute(const std::string& name, SoakRequestKind kind) const;

    // What goes on all the while.
    [[nodiscard]] Task<void> watchProcesses();
    [[nodiscard]] Task<void> watchReadiness(Host& host);
    [[nodiscard]] Task<void> watchStalls();
    void handleExit(Host& host, int status);

    // Callers' choices.
    [[nodiscard]] SoakTarget chooseHost();
    [[nodiscard]] SoakRequestOptions chooseRequest();
    void startCallers();

    // Faults.
    [[nodiscard]] Task<void> injectFaults();
    void reportUnfinishedFaults();
    [[nodiscard]] Task<void> injectFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectHostFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectStoreLinkFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectEndpointLinkFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectHostLinkFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectStoreFault(PlannedFault fault);
    [[nodiscard]] Task<void> injectEndpointFault(PlannedFault fault);
    [[nodiscard]] Task<void> applyOperatorChange(PlannedFault fault);
    [[nodiscard]] Task<void> crash(Endpoint& endpoint, Duration length);
    [[nodiscard]] Task<void> drainEndpoint(Endpoint& endpoint);
    [[nodiscard]] Task<void> addAndRevokeKey(Duration length);
    [[nodiscard]] Task<void> withdrawDomain(std::string domain, Duration length);
    [[nodiscard]] Task<void> waitForStore();
    void kill(Host& host);
    void stop(Host& host);
    [[nodiscard]] std::size_t beginDisturbance(const std::string& host);
    void endDisturbance(std::size_t index);
    [[nodiscard]] Host& hostAt(std::uint32_t number);
    [[nodiscard]] Endpoint& endpointAt(std::uint32_t number);

public:
    /** @brief Builds the fleet without starting it. @param runtimeClock Clock. @param soakOptions Options. */
    Soak(Clock& runtimeClock, SoakOptions soakOptions);

    ~Soak();
    Soak(const Soak&) = delete;
    Soak& operator=(const Soak&) = delete;

    /** @brief Runs the whole soak. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Reads what was seen. @return Record. */
    [[nodiscard]] const SoakRecord& observations() const noexcept { return this->record; }

    /** @brief Reads the faults that were brought about. @return Count of each kind by its name. */
    [[nodiscard]] const std::map<std::string, int>& faultCounts() const noexcept { return this->injectedFaults; }

    /** @brief Tells how often this process itself was held up. @return Number of delays. */
    [[nodiscard]] int stallCount() const noexcept { return this->stalls; }

private:
    Clock& clock;
    SoakOptions options;
    std::mt19937 random;
    SoakRecord record;
    StoreStandIn store;
    DatagramProxy digests;
    std::vector<std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    std::vector<std::unique_ptr<SoakCaller>> callers;
    std::map<std::string, int> injectedFaults;
    unsigned instanceCount = 0;
    std::uint64_t planVersion = 1;
    /** Versions that added a route which is still there. */
    std::set<std::uint64_t> extraRoutes;
    /** Keys that are taken away in the course of the soak, and those of them that hold now. */
    std::set<std::string> temporaryKeys;
    std::set<std::string> validTemporaryKeys;
    std::set<std::string> withdrawnDomains;
    /** Names of the faults that are under way. */
    std::multiset<std::string> activeFaults;
    int storeFaults = 0;
    int stalls = 0;
    bool isSendingRequests = true;
    bool isFinished = false;
};

} // namespace berylwing::test
