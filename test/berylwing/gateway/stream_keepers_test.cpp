#include "berylwing/gateway/stream_keepers.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace {

using namespace berylwing;

HostEntry makeEntry(const std::string& domain, int number)
{
    const auto name = domain + "-" + std::to_string(number);
    return { name, domain, { "10." + std::to_string(domain.size()) + ".0." + std::to_string(number), 7000 } };
}

/** Returns the roster of a host in a fleet of some failure domains. */
HostRoster makeRoster(HostEntry own, const std::vector<std::string>& domains, int hostsPerDomain)
{
    HostRoster roster { std::move(own) };
    for (const auto& domain : domains) {
        for (int number = 1; number <= hostsPerDomain; ++number)
            roster.put(makeEntry(domain, number));
    }
    return roster;
}

std::set<std::string> findNames(StreamKeepers& keepers, std::uint64_t stream)
{
    std::set<std::string> names;
    for (const auto* keeper : keepers.find(stream)) {
        if (keeper != nullptr)
            names.insert(keeper->entry.name);
    }
    return names;
}

const std::vector<std::string> kDomains { "a", "bb", "ccc" };

} // namespace

TEST_CASE("StreamKeepers assigns a stream to hosts in two failure domains, the same on each host", "[gateway][streams]")
{
    const auto roster = makeRoster(makeEntry("a", 1), kDomains, 5);
    const auto otherRoster = makeRoster(makeEntry("ccc", 4), kDomains, 5);
    StreamKeepers keepers { roster };
    StreamKeepers otherKeepers { otherRoster };
    std::map<std::string, int> shares;
    for (std::uint64_t stream = 1; stream <= 15'000; ++stream) {
        const auto found = keepers.find(stream);
        REQUIRE(found[0] != nullptr);
        REQUIRE(found[1] != nullptr);
        REQUIRE(found[0]->entry.domain != found[1]->entry.domain);
        REQUIRE(found[0]->isThisHost == (found[0]->entry.name == "a-1"));
        const auto names = findNames(keepers, stream);
        REQUIRE(findNames(otherKeepers, stream) == names);
        for (const auto& name : names)
            ++shares[name];
    }
    CHECK(shares.size() == 15);
    for (const auto& [name, share] : shares) {
        CHECK(share > 1700);
        CHECK(share < 2300);
    }
}

TEST_CASE("StreamKeepers assigns a stream to two hosts of a fleet in one failure domain", "[gateway][streams]")
{
    const auto roster = makeRoster(makeEntry("a", 1), { "a" }, 4);
    StreamKeepers keepers { roster };
    for (std::uint64_t stream = 1; stream <= 100; ++stream)
        CHECK(findNames(keepers, stream).size() == 2);
}

TEST_CASE("StreamKeepers assigns a stream of a single host to that host", "[gateway][streams]")
{
    const auto roster = makeRoster(makeEntry("a", 1), { "a" }, 1);
    StreamKeepers keepers { roster };
    CHECK(findNames(keepers, 7) == std::set<std::string> { "a-1" });
}

TEST_CASE("StreamKeepers assigns no stream to a host without a valid address", "[gateway][streams]")
{
    auto roster = makeRoster({ "a-0", "a", {} }, { "a", "bb" }, 2);
    roster.put({ "bb-1", "bb", {} });
    roster.put({ "dddd-1", "dddd", {} });
    StreamKeepers keepers { roster };
    for (std::uint64_t stream = 1; stream <= 100; ++stream) {
        const auto names = findNames(keepers, stream);
        CHECK(names.size() == 2);
        CHECK(names.contains("bb-2"));
        CHECK_FALSE(names.contains("a-0"));
    }
}

TEST_CASE("StreamKeepers moves only the streams of a host that leaves, and moves them back", "[gateway][streams]")
{
    const auto hostsPerDomain = GENERATE(1, 4);
    auto roster = makeRoster(makeEntry("a", 1), kDomains, hostsPerDomain);
    StreamKeepers keepers { roster };
    std::map<std::uint64_t, std::set<std::string>> before;
    for (std::uint64_t stream = 1; stream <= 2000; ++stream)
        before[stream] = findNames(keepers, stream);
    roster.remove("bb-1");
    for (const auto& [stream, names] : before) {
        const auto left = findNames(keepers, stream);
        REQUIRE(left.size() == 2);
        if (!names.contains("bb-1")) {
            REQUIRE(left == names);
            continue;
        }
        REQUIRE_FALSE(left.contains("bb-1"));
        REQUIRE(std::count_if(left.begin(), left.end(), [&](const auto& name) { return names.contains(name); }) == 1);
    }
    roster.put(makeEntry("bb", 1));
    for (const auto& [stream, names] : before)
        REQUIRE(findNames(keepers, stream) == names);
}
