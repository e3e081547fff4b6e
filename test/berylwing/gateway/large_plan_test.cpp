#include "support/gateway_fleet.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kPlanDeadline { 3000 };
constexpr Duration kChangeInterval { 1200 };
constexpr Duration kStep { 10 };
/** Bytes per millisecond that are left on the link of a small host beside its callers. */
constexpr std::size_t kLinkBytesPerMs = 600;
constexpr int kHostsPerDomain = 8;
constexpr std::uint64_t kChanges = 10;

/** Fleet whose plan has several hundred KB, of which a change replaces a few bytes. */
class LargePlanFleet {
public:
    LargePlanFleet()
        : fleet { kHostsPerDomain, { "knox", "ohio", "utah" }, { kPlanDeadline, kPlanDeadline, Duration { 5000 } } }
    {
        constexpr int kRoutes = 1500;
        for (int index = 0; index < kRoutes; ++index)
            this->routes.push_back(this->makeRoute());
        this->fleet.beforeCall = [this](GatewayFleet::Host&, const PlatformCall& call) {
            this->planCalls += call.kind == ObjectKind::RoutingPlan ? 1 : 0;
        };
        this->fleet.transferTime = [this](const GatewayFleet::Host& host, const PlatformReply& reply) {
            return this->transfer(host, reply);
        };
        this->putPlan();
        this->fleet.putEndpoint("engine");
        this->fleet.advance(Duration { 8000 });
    }

    void putPlan()
    {
        this->routes[this->random() % this->routes.size()] = this->makeRoute();
        this->fleet.platform.store.write(
            ObjectKind::RoutingPlan, "main", { { "routes", this->routes }, { "version", ++this->version } });
    }

    /** Writes changes one after the other. @return Longest time until a host has a plan that is not older. */
    Duration playChanges()
    {
        std::map<std::uint64_t, TimePoint> writtenAt;
        Duration latest {};
        const auto end = this->fleet.time + static_cast<Duration::rep>(kChanges) * kChangeInterval + kPlanDeadline;
        auto nextAt = this->fleet.time;
        while (this->fleet.time < end) {
            if (writtenAt.size() < kChanges && this->fleet.time >= nextAt) {
                this->putPlan();
                writtenAt[this->version] = this->fleet.time;
                nextAt += kChangeInterval;
            }
            this->fleet.advance(kStep);
            for (const auto& [address, host] : this->fleet.hosts) {
                const auto first = writtenAt.upper_bound(planOf(*host));
                if (first != writtenAt.end())
                    latest = std::max(latest, this->fleet.time - first->second);
            }
        }
        return latest;
    }

    static std::uint64_t planOf(const GatewayFleet::Host& host)
    {
        const std::string text = "\"event\":\"plan_taken\",\"plan\":";
        const auto place = host.logText.rfind(text);
        return place == std::string::npos ? 0 : std::stoull(host.logText.substr(place + text.size(), 20));
    }

    GatewayFleet fleet;
    int planCalls = 0;
    std::size_t planBytes = 0;

private:
    std::string makeRoute()
    {
        constexpr std::size_t kRouteBytes = 220;
        std::string text;
        while (text.size() < kRouteBytes)
            text += static_cast<char>('a' + this->random() % 26);
        return text;
    }

    /** Returns how long an answer takes on a link that carries one after the other. */
    Duration transfer(const GatewayFleet::Host& host, const PlatformReply& reply)
    {
        std::size_t bytes = 0;
        for (const auto& change : reply.batch.changes) {
            if (change.kind == ObjectKind::RoutingPlan)
                bytes += change.value.dump().size();
        }
        this->planBytes += bytes;
        auto& freeAt = this->linkFreeAt[host.settings.host];
        const Duration length { static_cast<Duration::rep>(bytes / kLinkBytesPerMs) };
        freeAt = std::max(freeAt, this->fleet.time) + length;
        return freeAt - this->fleet.time;
    }

    std::minstd_rand random { 1 };
    std::vector<std::string> routes;
    std::uint64_t version = 0;
    std::map<std::string, TimePoint> linkFreeAt;
};

} // namespace

// Guards against changes of a large plan that are late at hosts on slow links (CONFIG).
TEST_CASE("Changes of a large plan in quick succession are in force in time at hosts on slow links", "[gateway][news]")
{
    LargePlanFleet large;
    CHECK(large.playChanges() <= kPlanDeadline);
}

// Guards against links that are full of copies of one document.
TEST_CASE("A change of a large plan is read from the store by one host of each group", "[gateway][news]")
{
    constexpr int kGroups = 3;
    LargePlanFleet large;
    large.planBytes = 0;
    large.putPlan();
    large.fleet.advance(kPlanDeadline);
    constexpr std::size_t kPlanBytes = 400'000;
    CHECK(large.planBytes <= kGroups * kPlanBytes);
    for (const auto& [address, host] : large.fleet.hosts)
        CHECK(LargePlanFleet::planOf(*host) == 2);
}

TEST_CASE("Changes of a large plan reach all hosts although messages are lost", "[gateway][news]")
{
    LargePlanFleet large;
    large.fleet.messageLoss = 0.3;
    CHECK(large.playChanges() <= kPlanDeadline);
}

// Guards against hosts that wait for a watcher whose own answer does not arrive.
TEST_CASE("A change of a large plan passes on from another group while a watcher gets no answer", "[gateway][news]")
{
    LargePlanFleet large;
    for (const auto* watcher : large.fleet.watchers()) {
        if (watcher->settings.domain == "knox")
            large.fleet.platform.silentHosts.insert(watcher->settings.host);
    }
    CHECK(large.playChanges() <= kPlanDeadline);
}

TEST_CASE(
    "A host that restarts between changes of a large plan follows the differences after its list", "[gateway][news]")
{
    LargePlanFleet large;
    large.putPlan();
    large.fleet.advance(Duration { 400 });
    large.fleet.restart(*large.fleet.hosts.begin()->second);
    large.fleet.advance(kPlanDeadline);
    CHECK(large.playChanges() <= kPlanDeadline);
}
