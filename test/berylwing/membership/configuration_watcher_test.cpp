#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kInForce { 2000 };

nlohmann::json contractWith(double rate)
{
    return { { "workspace", "shop" }, { "key", "shop-key" }, { "home", "knox" }, { "requests_per_second", rate } };
}

void accept(TestFleet& fleet, double rate)
{
    fleet.platform.store.write(ObjectKind::Contract, "shop", contractWith(rate));
}

double rateAt(TestFleet& fleet, const std::string& host)
{
    const auto* contract = fleet.host(host).catalog().contract("shop");
    return contract == nullptr ? 0 : contract->requestsPerSecond;
}

/** Watches at each instant that the version in force at a host never goes back. */
class VersionCheck {
public:
    explicit VersionCheck(TestFleet& testFleet)
        : fleet { testFleet }
    {
        this->fleet.invariant = [this] {
            for (const auto& host : this->fleet.hosts()) {
                const auto version = this->fleet.host(host).catalog().version(ObjectKind::Contract, "shop");
                if (version < this->highest[host])
                    ++this->reverts;
                this->highest[host] = version;
            }
        };
    }

    int reverts = 0;

private:
    TestFleet& fleet;
    std::map<std::string, std::uint64_t> highest;
};

void checkAll(TestFleet& fleet, double rate)
{
    for (const auto& host : fleet.hosts()) {
        INFO("host " << host);
        CHECK(rateAt(fleet, host) == rate);
    }
}

} // namespace

TEST_CASE("An accepted object is in force at every host within two seconds", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    VersionCheck versions { fleet };
    for (int rate = 1; rate <= 10; ++rate) {
        accept(fleet, rate);
        fleet.advance(kInForce);
        checkAll(fleet, rate);
    }
    CHECK(versions.reverts == 0);
}

TEST_CASE("Hosts that cannot reach the platform take configuration from their peers", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    VersionCheck versions { fleet };
    for (const auto* host : { "knox-0", "knox-1", "knox-2" }) {
        // Whichever host watches for the domain, one of them is cut off; the others take over.
        fleet.platform.cutOff = { host };
        accept(fleet, fleet.now().time_since_epoch().count());
        const auto rate = static_cast<double>(fleet.now().time_since_epoch().count());
        fleet.advance(kInForce);
        checkAll(fleet, rate);
    }
    CHECK(versions.reverts == 0);
}

TEST_CASE("A host that starts during an outage learns from its peers what is in force", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    accept(fleet, 7);
    fleet.advance(kInForce);
    fleet.platform.trouble = PlatformTrouble::Down;
    fleet.kill("knox-1");
    fleet.start("knox-1", "knox");
    fleet.advance(Duration { 3000 });
    CHECK(fleet.host("knox-1").isReady());
    CHECK(rateAt(fleet, "knox-1") == 7);
}

TEST_CASE("A host with a lagging read never goes back and catches up from its peers", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    VersionCheck versions { fleet };
    accept(fleet, 1);
    fleet.advance(kInForce);
    fleet.platform.freezeReads();
    accept(fleet, 2);
    fleet.advance(kInForce);
    for (const auto& host : fleet.hosts()) {
        const std::string domain = fleet.host(host).status().at("domain");
        fleet.platform.lagging = { host };
        fleet.kill(host);
        fleet.start(host, domain);
        fleet.advance(Duration { 3000 });
        INFO("host " << host);
        CHECK(rateAt(fleet, host) == 2);
    }
}

TEST_CASE("A peer that was paused takes the newest version and tells nobody the old one", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    VersionCheck versions { fleet };
    accept(fleet, 1);
    fleet.advance(kInForce);
    for (const auto* host : { "knox-0", "chatt-2" }) {
        fleet.pause(host);
        accept(fleet, 5);
        fleet.advance(Duration { 5000 });
        accept(fleet, 6);
        fleet.advance(Duration { 5000 });
        fleet.resume(host);
        fleet.advance(kInForce);
        checkAll(fleet, 6);
    }
    CHECK(versions.reverts == 0);
}

TEST_CASE("After an outage every host has the newest version and no version went back", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    VersionCheck versions { fleet };
    accept(fleet, 1);
    fleet.advance(kInForce);
    fleet.platform.trouble = PlatformTrouble::Down;
    fleet.advance(Duration { 600'000 });
    checkAll(fleet, 1);
    fleet.platform.trouble = PlatformTrouble::None;
    accept(fleet, 2);
    fleet.advance(kInForce);
    checkAll(fleet, 2);
    CHECK(versions.reverts == 0);
}

TEST_CASE("A removed contract is refused everywhere", "[membership][configuration]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    accept(fleet, 100);
    fleet.advance(kInForce);
    PlatformCall removal;
    removal.operation = PlatformOperation::Remove;
    removal.kind = ObjectKind::Contract;
    removal.name = "shop";
    removal.expectedVersion = fleet.host("knox-0").catalog().version(ObjectKind::Contract, "shop");
    REQUIRE(fleet.platform.store.apply(removal).status == PlatformStatus::Ok);
    fleet.advance(kInForce);
    for (const auto& host : fleet.hosts())
        CHECK(fleet.host(host).catalog().contractOfKey("shop-key") == nullptr);
}
