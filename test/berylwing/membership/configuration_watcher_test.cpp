#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Time within which an accepted configuration change has to be active at every host. */
constexpr Duration kPropagationTimeout { 2000 };

nlohmann::json makeContract(double rate)
{
    return { { "workspace", "shop" }, { "key", "shop-key" }, { "home", "knox" }, { "requests_per_second", rate } };
}

void writeContract(TestFleet& fleet, double rate)
{
    fleet.platform.store.write(ObjectKind::Contract, "shop", makeContract(rate));
}

double activeRate(TestFleet& fleet, const std::string& host)
{
    const auto* contract = fleet.host(host).catalog().contract("shop");
    return contract == nullptr ? 0 : contract->requestsPerSecond;
}

/** Checks after each event that the active version of the contract never decreases at any host. */
class RollbackCheck {
public:
    explicit RollbackCheck(TestFleet& testFleet)
        : fleet { testFleet }
    {
        this->fleet.invariant = [this] {
            for (const auto& host : this->fleet.hosts()) {
                const auto version = this->fleet.host(host).catalog().version(ObjectKind::Contract, "shop");
                if (version < this->highestVersion[host])
                    ++this->rollbackCount;
                this->highestVersion[host] = version;
            }
        };
    }

    int rollbackCount = 0;

private:
    TestFleet& fleet;
    std::map<std::string, std::uint64_t> highestVersion;
};

void checkRateEverywhere(TestFleet& fleet, double rate)
{
    for (const auto& host : fleet.hosts()) {
        INFO("host " << host);
        CHECK(activeRate(fleet, host) == rate);
    }
}

} // namespace

TEST_CASE("An accepted configuration object is active at every host within two seconds", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    RollbackCheck versions { fleet };
    for (int rate = 1; rate <= 10; ++rate) {
        writeContract(fleet, rate);
        fleet.advance(kPropagationTimeout);
        checkRateEverywhere(fleet, rate);
    }
    CHECK(versions.rollbackCount == 0);
}

TEST_CASE("Hosts that cannot reach the platform receive configuration from their peers", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    RollbackCheck versions { fleet };
    for (const auto* host : { "knox-0", "knox-1", "knox-2" }) {
        // Each host is cut off in turn, so that the watchers of the domain are hit as well; other hosts take over
        // watching.
        fleet.platform.unreachableHosts = { host };
        writeContract(fleet, fleet.now().time_since_epoch().count());
        const auto rate = static_cast<double>(fleet.now().time_since_epoch().count());
        fleet.advance(kPropagationTimeout);
        checkRateEverywhere(fleet, rate);
    }
    CHECK(versions.rollbackCount == 0);
}

TEST_CASE(
    "A host that starts during a platform outage loads configuration from its peers", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    writeContract(fleet, 7);
    fleet.advance(kPropagationTimeout);
    fleet.platform.failureMode = PlatformFailureMode::Down;
    fleet.kill("knox-1");
    fleet.start("knox-1", "knox");
    fleet.advance(Duration { 3000 });
    CHECK(fleet.host("knox-1").isReady());
    CHECK(activeRate(fleet, "knox-1") == 7);
}

TEST_CASE("A host that reads stale data from the platform never rolls back and catches up from its peers",
    "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    RollbackCheck versions { fleet };
    writeContract(fleet, 1);
    fleet.advance(kPropagationTimeout);
    fleet.platform.freezeReads();
    writeContract(fleet, 2);
    fleet.advance(kPropagationTimeout);
    for (const auto& host : fleet.hosts()) {
        const std::string domain = fleet.host(host).status().at("domain");
        fleet.platform.staleReadHosts = { host };
        fleet.kill(host);
        fleet.start(host, domain);
        fleet.advance(Duration { 3000 });
        INFO("host " << host);
        CHECK(activeRate(fleet, host) == 2);
    }
}

TEST_CASE(
    "A host that was paused applies the newest version and does not spread the old one", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    RollbackCheck versions { fleet };
    writeContract(fleet, 1);
    fleet.advance(kPropagationTimeout);
    for (const auto* host : { "knox-0", "chatt-2" }) {
        fleet.pause(host);
        writeContract(fleet, 5);
        fleet.advance(Duration { 5000 });
        writeContract(fleet, 6);
        fleet.advance(Duration { 5000 });
        fleet.resume(host);
        fleet.advance(kPropagationTimeout);
        checkRateEverywhere(fleet, 6);
    }
    CHECK(versions.rollbackCount == 0);
}

TEST_CASE(
    "After a platform outage every host applies the newest version and none rolls back", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    RollbackCheck versions { fleet };
    writeContract(fleet, 1);
    fleet.advance(kPropagationTimeout);
    fleet.platform.failureMode = PlatformFailureMode::Down;
    fleet.advance(Duration { 600'000 });
    checkRateEverywhere(fleet, 1);
    fleet.platform.failureMode = PlatformFailureMode::None;
    writeContract(fleet, 2);
    fleet.advance(kPropagationTimeout);
    checkRateEverywhere(fleet, 2);
    CHECK(versions.rollbackCount == 0);
}

TEST_CASE("A removed contract is rejected by every host", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    writeContract(fleet, 100);
    fleet.advance(kPropagationTimeout);
    PlatformCall removal;
    removal.operation = PlatformOperation::Remove;
    removal.kind = ObjectKind::Contract;
    removal.name = "shop";
    removal.expectedVersion = fleet.host("knox-0").catalog().version(ObjectKind::Contract, "shop");
    REQUIRE(fleet.platform.store.apply(removal).status == PlatformStatus::Ok);
    fleet.advance(kPropagationTimeout);
    for (const auto& host : fleet.hosts())
        CHECK(fleet.host(host).catalog().findContractByKey("shop-key") == nullptr);
}
