#include "berylwing/gateway/version_exchange.hpp"

#include "support/runtime_context.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr const char* kService = "pool";
constexpr std::uint32_t kVersion = 101;
constexpr std::uint32_t kOtherVersion = 202;
constexpr Duration kAskTimeout { 200 };
constexpr Duration kStep { 1 };

/** Hosts of several failure domains that ask each other through a network in memory. */
class AskingFleet {
public:
    struct Host {
        HostEntry entry;
        HostRoster roster;
        std::optional<std::uint32_t> knownVersion;
        bool isDown = false;
        std::unique_ptr<VersionExchange> exchange;
    };

    explicit AskingFleet(int hostsPerDomain = 2)
    {
        for (const std::string domain : { "a", "bb", "ccc" }) {
            for (int number = 1; number <= hostsPerDomain; ++number)
                this->addHost(domain, number);
        }
        for (auto& host : this->hosts) {
            for (const auto& other : this->hosts)
                host.roster.put(other.entry);
        }
    }

    ~AskingFleet() { this->context.destroyPending(); }
    AskingFleet(const AskingFleet&) = delete;
    AskingFleet& operator=(const AskingFleet&) = delete;

    /** Lets the first host ask the others, and returns what it was told. */
    std::optional<std::uint32_t> ask()
    {
        const auto startedAt = this->time;
        bool hasEnded = false;
        std::optional<std::uint32_t> result;
        spawn(this->context.get_executor(), "question",
            [](AskingFleet* fleet, bool& isDone, std::optional<std::uint32_t>& told) -> Task<void> {
                told = co_await fleet->hosts.front().exchange->ask(kService);
                isDone = true;
            }(this, hasEnded, result));
        this->poll();
        while (!hasEnded && this->time <= startedAt + 2 * kAskTimeout) {
            this->time += kStep;
            this->clock.fireDue();
            this->poll();
        }
        CHECK(hasEnded);
        this->took = this->time - startedAt;
        return result;
    }

    Host& host(std::size_t index) { return *std::next(this->hosts.begin(), static_cast<std::ptrdiff_t>(index)); }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    std::list<Host> hosts;
    /** Hosts to which questions were sent. */
    std::set<std::string> asked;
    /** Number of datagrams that are lost from now on. */
    int lostCount = 0;
    Duration took {};

private:
    void addHost(const std::string& domain, int number)
    {
        const auto name = domain + "-" + std::to_string(100 + number);
        const auto address = "10." + std::to_string(domain.size()) + ".0." + std::to_string(number);
        const HostEntry entry { name, domain, { address, 7000 } };
        auto& host = this->hosts.emplace_back(entry, HostRoster { entry }, std::nullopt, false, nullptr);
        host.exchange = std::make_unique<VersionExchange>(
            this->clock, host.roster,
            [this, &host](const HostEntry& to, const wire::FleetMessage& message) { this->send(host, to, message); },
            [&host](std::uint32_t service) {
                return service == VersionExchange::hashService(kService) ? host.knownVersion : std::nullopt;
            });
    }

    void send(const Host& from, const HostEntry& to, const wire::FleetMessage& message)
    {
        if (!message.version_queries().empty())
            this->asked.insert(to.name);
        const auto found = std::find_if(
            this->hosts.begin(), this->hosts.end(), [&to](const Host& host) { return host.entry.name == to.name; });
        const bool isLost = std::exchange(this->lostCount, std::max(this->lostCount - 1, 0)) > 0;
        if (isLost || from.isDown || found == this->hosts.end() || found->isDown)
            return;
        boost::asio::post(this->context.get_executor(),
            [&recipient = *found, sender = from.entry, message] { recipient.exchange->receive(sender, message); });
    }

    void poll()
    {
        this->context.restart();
        this->context.poll();
    }
};

} // namespace

TEST_CASE("A host is told the only version that another host knows", "[gateway][versions]")
{
    AskingFleet fleet;
    fleet.host(3).knownVersion = kVersion;
    CHECK(fleet.ask() == kVersion);
    CHECK(fleet.took < kAskTimeout);
    CHECK(fleet.asked.size() == 5);
}

TEST_CASE("Hosts that are down delay what the others tell, and lost messages are sent again", "[gateway][versions]")
{
    AskingFleet fleet;
    fleet.host(3).knownVersion = kVersion;
    fleet.host(1).isDown = true;
    fleet.lostCount = 6;
    CHECK(fleet.ask() == kVersion);
    CHECK(fleet.took == kAskTimeout);
}

TEST_CASE("Nothing is told by hosts that do not know, or by none", "[gateway][versions]")
{
    AskingFleet fleet;
    CHECK_FALSE(fleet.ask());
    CHECK(fleet.took < kAskTimeout);
    for (auto& host : fleet.hosts)
        host.isDown = true;
    CHECK_FALSE(fleet.ask());
    CHECK(fleet.took == kAskTimeout);
    AskingFleet single { 0 };
    CHECK(single.hosts.empty());
}

// Guards against a stream that goes on by the word of one host while another has seen a further version.
TEST_CASE("Hosts that contradict each other tell that there can be several versions", "[gateway][versions]")
{
    AskingFleet fleet;
    fleet.host(2).knownVersion = kVersion;
    fleet.host(4).knownVersion = GENERATE(kOtherVersion, VersionExchange::kSeveralVersions);
    CHECK(fleet.ask() == VersionExchange::kSeveralVersions);
}

TEST_CASE("A host of a large fleet asks a few others of each failure domain", "[gateway][versions]")
{
    AskingFleet fleet { 30 };
    for (auto& host : fleet.hosts)
        host.knownVersion = kVersion;
    CHECK(fleet.ask() == kVersion);
    CHECK(fleet.asked.size() == 18);
    std::map<std::string, int> byDomain;
    for (const auto& name : fleet.asked)
        ++byDomain[name.substr(0, name.find('-'))];
    CHECK(byDomain.size() == 3);
    for (const auto& [domain, count] : byDomain)
        CHECK(count >= 5);
}
