#include "berylwing/gateway/relay_hosts.hpp"

#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Host knox-1 and the hosts of its own and of another failure domain, each of which sends digests. */
class RelayHostsFixture {
public:
    explicit RelayHostsFixture(const RelayHosts::Regions& regions = {})
        : relay { this->clock, this->roster, this->fleet, "knox", regions }
    {
        for (const auto& [name, domain] : this->domains)
            this->roster.put({ name, domain, { name, 7000 } });
        for (const auto& [name, domain] : this->domains)
            this->receiveDigest(name, {});
    }

    void receiveDigest(const std::string& name, const std::vector<std::string>& lostServices)
    {
        wire::Digest digest;
        digest.set_host(name);
        digest.set_incarnation(1);
        digest.set_sequence(++this->sequence);
        digest.set_reaches_store(true);
        for (const auto& service : lostServices)
            digest.add_lost_services(RelayHosts::hashService(service));
        this->relay.recordDigest(name, digest.lost_services());
        this->fleet.applyDigest(std::move(digest));
    }

    /** Chooses many times. @return Number of choices by host; empty if there was none. */
    std::map<std::string, int> choose(const std::vector<std::string>& tried = {})
    {
        std::map<std::string, int> chosen;
        for (int count = 0; count < 200; ++count) {
            if (const auto host = this->relay.choose("engines", tried))
                ++chosen[host->name];
        }
        return chosen;
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    DecisionLog log { this->clock, [](std::string_view lines) { return lines.size(); }, "knox-1" };
    EndpointDirectory directory { this->clock, this->log };
    HostRoster roster { { "knox-1", "knox", { "knox-1", 7000 } } };
    FleetView fleet { this->clock, this->directory, "knox-1", "knox", 1 };
    std::map<std::string, std::string> domains { { "knox-2", "knox" }, { "knox-3", "knox" }, { "knox-4", "knox" },
        { "utah-1", "utah" }, { "utah-2", "utah" } };
    std::uint64_t sequence = 0;
    RelayHosts relay;
};

} // namespace

TEST_CASE("Requests are passed on to all hosts of the own domain while enough of them are left", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    auto chosen = fixture.choose();
    CHECK(chosen.size() == 3);
    CHECK_FALSE(chosen.contains("utah-1"));
    fixture.receiveDigest("knox-2", { "engines" });
    chosen = fixture.choose();
    CHECK(chosen.size() == 2);
    CHECK_FALSE(chosen.contains("knox-2"));
    // One of four hosts would have to carry the requests of all.
    fixture.receiveDigest("knox-3", { "engines" });
    chosen = fixture.choose();
    CHECK(chosen.size() == 3);
    CHECK(chosen.contains("utah-1"));
}

TEST_CASE("Requests are passed on to other domains if the whole own domain is cut off", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    for (const auto* name : { "knox-2", "knox-3", "knox-4" })
        fixture.receiveDigest(name, { "engines", "desk" });
    const auto chosen = fixture.choose();
    CHECK(chosen.size() == 2);
    CHECK(chosen.contains("utah-1"));
    CHECK(chosen.contains("utah-2"));
}

TEST_CASE("A request that a host of the own domain handed back goes to another domain", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    const auto chosen = fixture.choose({ "knox-2" });
    CHECK(chosen.size() == 2);
    CHECK(chosen.contains("utah-1"));
    CHECK(chosen.contains("utah-2"));
    CHECK(fixture.choose({ "utah-1", "utah-2", "knox-2" }).size() == 2);
}

TEST_CASE("A host that has lost another service only serves requests", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    fixture.receiveDigest("knox-2", { "desk" });
    CHECK(fixture.choose().contains("knox-2"));
}

TEST_CASE("No host is chosen if all have lost the service", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    for (const auto& [name, domain] : fixture.domains)
        fixture.receiveDigest(name, { "engines" });
    CHECK(fixture.choose().empty());
    // The loss is over as soon as a digest no longer names it.
    fixture.receiveDigest("utah-2", {});
    CHECK(fixture.choose().size() == 1);
}

TEST_CASE("A host that handed a request back is left out for a moment, tried ones for the request", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    fixture.relay.avoid("knox-2");
    CHECK_FALSE(fixture.choose().contains("knox-2"));
    CHECK_FALSE(fixture.choose({ "knox-3" }).contains("knox-3"));
    fixture.time += Duration { 1001 };
    CHECK(fixture.choose().contains("knox-2"));
}

TEST_CASE("A member of the group whose digests have stopped is not chosen", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    fixture.time += Duration { 4000 };
    for (const auto* name : { "knox-3", "knox-4" })
        fixture.receiveDigest(name, {});
    const auto chosen = fixture.choose();
    CHECK(chosen.size() == 2);
    CHECK_FALSE(chosen.contains("knox-2"));
}

TEST_CASE("Requests are not passed on to another region", "[gateway][relay]")
{
    RelayHostsFixture fixture { { { "knox", "east" }, { "utah", "west" } } };
    for (const auto* name : { "knox-2", "knox-3", "knox-4" })
        fixture.receiveDigest(name, { "engines" });
    CHECK(fixture.choose().empty());
}

TEST_CASE("Requests that are passed on are spread by their number at each host", "[gateway][relay]")
{
    RelayHostsFixture fixture;
    std::vector<std::unique_ptr<RelayHosts::Use>> uses;
    for (int count = 0; count < 90; ++count) {
        const auto host = fixture.relay.choose("engines", {});
        REQUIRE(host);
        uses.push_back(std::make_unique<RelayHosts::Use>(fixture.relay, host->name));
    }
    const RelayHosts::Use crowded { fixture.relay, "knox-2" };
    uses.clear();
    const auto chosen = fixture.choose();
    CHECK(chosen.at("knox-2") < chosen.at("knox-3"));
    CHECK(chosen.at("knox-2") < chosen.at("knox-4"));
}
