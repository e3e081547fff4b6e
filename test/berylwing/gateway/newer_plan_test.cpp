#include "berylwing/core/hash.hpp"
#include "support/gateway_fleet.hpp"
#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kPlanDeadline { 3000 };
constexpr Duration kStep { 10 };
/** Time that a message or an answer of the store takes at a small host that is short of processor time. */
constexpr Duration kBusyDelay { 300 };

/** Hosts that are short of processor time, before a store that goes down. */
class BusyFleet {
public:
    /** Starts hosts in three failure domains, each of which is a group of its own unless the fleet is small. */
    explicit BusyFleet(int hostsPerDomain)
        : fleet { hostsPerDomain, { "knox", "ohio", "utah" }, { kPlanDeadline, kPlanDeadline, Duration { 5000 } } }
    {
        this->fleet.putPlan(1);
        this->fleet.putEndpoint("engine");
        this->fleet.advance(Duration { 6000 });
        this->fleet.receiveDelay = [](const GatewayFleet::Host&) { return kBusyDelay; };
        this->fleet.advance(Duration { 3000 });
    }

    /** Returns the hosts whose names begin with a text, those first that come first in the order of roles. */
    std::vector<GatewayFleet::Host*> ranked(const std::string& prefix)
    {
        std::vector<GatewayFleet::Host*> found;
        for (const auto& [address, host] : this->fleet.hosts) {
            if (host->settings.host.starts_with(prefix))
                found.push_back(host.get());
        }
        std::sort(found.begin(), found.end(), [](const auto* left, const auto* right) {
            return hashText(left->settings.host) < hashText(right->settings.host);
        });
        return found;
    }

    /** Takes the store down for a while; it does not return for the first of these hosts, which watches it. */
    void playOutage(Duration length, const std::vector<GatewayFleet::Host*>& hosts)
    {
        this->fleet.platform.failureMode = PlatformFailureMode::Down;
        this->fleet.advance(length);
        this->fleet.platform.silentHosts.insert(hosts.front()->settings.host);
        this->fleet.platform.failureMode = PlatformFailureMode::None;
    }

    /** Writes a plan and returns the time after which all of these hosts but the first have it. */
    Duration changePlan(std::uint64_t version, const std::vector<GatewayFleet::Host*>& hosts)
    {
        this->fleet.putPlan(version);
        const auto writtenAt = this->fleet.time;
        const auto text = "\"event\":\"plan_taken\",\"plan\":" + std::to_string(version) + ",";
        const auto isWithout
            = [&text](const GatewayFleet::Host* host) { return host->logText.find(text) == std::string::npos; };
        while (this->fleet.time < writtenAt + 2 * kPlanDeadline
            && std::any_of(std::next(hosts.begin()), hosts.end(), isWithout))
            this->fleet.advance(kStep);
        return this->fleet.time - writtenAt;
    }

    GatewayFleet fleet;
};

} // namespace

// Guards against changes that come late at a group whose watcher stays without the store after an outage (CONFIG).
TEST_CASE("Changes that other groups have are in force in time while the own watcher hears nothing", "[gateway][news]")
{
    const auto outage = GENERATE(range(4000, 7000, 250));
    CAPTURE(outage);
    BusyFleet busy { 8 };
    const auto hosts = busy.ranked("knox");
    busy.playOutage(Duration { outage }, hosts);
    CHECK(busy.changePlan(2, hosts) <= kPlanDeadline);
}

// Guards against calls without end for a plan that other hosts have and the store no longer does.
TEST_CASE("A host asks only once for a newer plan that a restored store lacks", "[gateway][news]")
{
    BusyFleet busy { 8 };
    const auto copy = busy.fleet.platform.store;
    busy.fleet.putPlan(2);
    busy.fleet.advance(Duration { 2000 });
    busy.fleet.platform.store.restore(copy);
    const auto hosts = busy.ranked("knox");
    for (auto* host : hosts)
        busy.fleet.restart(*host);
    busy.fleet.advance(Duration { 10'000 });
    for (const auto* host : hosts) {
        std::size_t calls = 0;
        for (auto place = host->logText.find("newer_plan"); place != std::string::npos;
             place = host->logText.find("newer_plan", place + 1))
            ++calls;
        CHECK(calls <= 1);
    }
}

TEST_CASE("A host asks for a newer plan also if the store has dropped its history", "[gateway][news]")
{
    BusyFleet busy { 8 };
    const auto hosts = busy.ranked("knox");
    busy.playOutage(Duration { 5500 }, hosts);
    busy.fleet.platform.store.dropHistory();
    CHECK(busy.changePlan(2, hosts) <= kPlanDeadline);
}

// Guards against hosts that all leave it to one host to find out that the store has returned (CONFIG).
TEST_CASE("Changes are in force in time in a small fleet whose watcher stays without the store", "[gateway][news]")
{
    const auto outage = GENERATE(range(4000, 7000, 250));
    CAPTURE(outage);
    BusyFleet busy { 2 };
    const auto hosts = busy.ranked("");
    busy.playOutage(Duration { outage }, hosts);
    CHECK(busy.changePlan(2, hosts) <= kPlanDeadline);
}
