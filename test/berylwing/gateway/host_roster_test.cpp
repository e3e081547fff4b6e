#include "berylwing/gateway/host_roster.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;

HostEntry makeEntry(const std::string& domain, int number)
{
    const auto name = domain + "-" + std::to_string(number);
    return { name, domain, { "10." + std::to_string(domain.size()) + ".0." + std::to_string(number), 7000 } };
}

/** Returns the roster of host "a-1" in a fleet of three failure domains. */
HostRoster makeRoster(int hostsPerDomain)
{
    HostRoster roster { makeEntry("a", 1) };
    for (const auto* domain : { "a", "bb", "ccc" }) {
        for (int number = 1; number <= hostsPerDomain; ++number)
            roster.put(makeEntry(domain, number));
    }
    return roster;
}

} // namespace

TEST_CASE("HostRoster treats a small fleet as a single group", "[gateway][roster]")
{
    const auto roster = makeRoster(3);
    CHECK(roster.names().size() == 9);
    CHECK(roster.groupMembers().size() == 8);
    CHECK(roster.otherGroups().empty());
}

TEST_CASE("HostRoster treats each failure domain of a large fleet as a group", "[gateway][roster]")
{
    const auto roster = makeRoster(17);
    CHECK(roster.names().size() == 51);
    const auto group = roster.groupMembers();
    CHECK(group.size() == 16);
    CHECK(std::all_of(group.begin(), group.end(), [](const HostEntry& entry) { return entry.domain == "a"; }));
    CHECK(roster.otherGroups() == std::set<std::string> { "bb", "ccc" });
    CHECK(roster.likelyDelegates("bb").size() == kDelegateCount);
}

TEST_CASE("HostRoster counts hosts with invalid entries but leaves them out of the group", "[gateway][roster]")
{
    HostRoster roster { makeEntry("a", 1) };
    roster.put({ "strange", {}, {} });
    CHECK(roster.names().size() == 2);
    CHECK(roster.groupMembers().empty());
}

TEST_CASE("HostRoster removes hosts that are not in a complete list", "[gateway][roster]")
{
    auto roster = makeRoster(2);
    roster.retain({ "a-2", "bb-1" });
    CHECK(roster.names().size() == 3);
    roster.remove("bb-1");
    CHECK(roster.names().size() == 2);
    CHECK(roster.find("bb-1") == nullptr);
    REQUIRE(roster.findByAddress("10.1.0.2") != nullptr);
    CHECK(roster.findByAddress("10.1.0.2")->name == "a-2");
}
