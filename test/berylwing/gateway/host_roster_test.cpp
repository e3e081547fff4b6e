#include "berylwing/gateway/host_roster.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <vector>

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
    const auto others = roster.otherGroups();
    REQUIRE(others.size() == 2);
    for (const auto* domain : { "bb", "ccc" }) {
        const auto& members = others.at(domain);
        CHECK(members.size() == 17);
        CHECK(std::all_of(
            members.begin(), members.end(), [&](const HostEntry& entry) { return entry.domain == domain; }));
        // The probable delegates come first, in the order by which the hosts of the group compute their roles.
        REQUIRE(members.size() >= kDelegateCount);
        CHECK(std::is_sorted(members.begin(), members.end(),
            [](const HostEntry& left, const HostEntry& right) { return hashText(left.name) < hashText(right.name); }));
    }
}

TEST_CASE("HostRoster divides large failure domains into groups of bounded size", "[gateway][roster]")
{
    // Mean size above which a domain is divided, and the spread of sizes that hashing makes.
    constexpr std::size_t kMaxMean = 32;
    constexpr std::size_t kMaxSpread = 16;
    const auto hostsPerDomain = GENERATE(20, 57, 100, 147, 293);
    const auto roster = makeRoster(hostsPerDomain);
    std::map<std::string, std::vector<HostEntry>> groups = roster.otherGroups();
    groups[roster.ownGroup()] = roster.groupMembers();
    std::size_t hosts = 0;
    for (const auto& [group, members] : groups) {
        CHECK(members.size() <= kMaxMean + kMaxSpread);
        CHECK(members.size() >= 8);
        hosts += members.size();
        for (const auto& member : members) {
            CHECK(member.domain == members.front().domain);
            CHECK(roster.groupOf(member) == group);
        }
    }
    CHECK(hosts + 1 == roster.names().size());
}

TEST_CASE("HostRoster keeps a host that has introduced itself until its entry is due", "[gateway][roster]")
{
    auto roster = makeRoster(2);
    const TimePoint due { Duration { 5000 } };
    roster.introduce(makeEntry("bb", 9), due);
    roster.introduce(makeEntry("ccc", 9), due);
    // A list that was made before the host wrote its entry does not remove it.
    roster.retain({ "a-2", "bb-1" });
    CHECK(roster.find("bb-9") != nullptr);
    roster.put(makeEntry("bb", 9));
    roster.removeMissing(due);
    CHECK(roster.find("bb-9") != nullptr);
    CHECK(roster.find("ccc-9") == nullptr);
    // What the store says of a known host counts for more than what the host says.
    auto moved = makeEntry("bb", 9);
    moved.address.port = 1;
    roster.introduce(moved, due);
    CHECK(roster.find("bb-9")->address.port == 7000);
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
