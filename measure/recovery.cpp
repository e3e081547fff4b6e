#include "scenarios.hpp"

#include "support/chat_load.hpp"
#include "support/test_fleet.hpp"
#include <algorithm>
#include <functional>

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

constexpr Duration kWarmUpDuration { 4000 };
constexpr Duration kOutageDuration { 8000 };
constexpr Duration kRecoveryDuration { 8000 };
constexpr std::size_t kCallers = 24;
constexpr double kMinAnswered = 0.999;
constexpr double kMaxRecoveryMs = 3000;
constexpr unsigned kSeed = 1;

FleetPlan fourDomains()
{
    FleetPlan plan;
    plan.domains = { "nabeul", "menzel", "kelibia", "grombalia" };
    plan.hostsPerDomain = 2;
    plan.enginesPerDomain = 5;
    return plan;
}

/** Load of chats in which each caller whose chat failed retries it once. */
class RetryingCallers {
public:
    explicit RetryingCallers(TestFleet& testFleet)
        : fleet { testFleet }
        , load { testFleet, kCallers, kSeed }
    {
    }

    void run(Duration length) { this->load.run(length); }

    /** Waits for all chats, retries the failed ones once and returns the share of chats answered completely. */
    [[nodiscard]] double measureAnsweredShare()
    {
        this->load.run(Duration { 100 });
        this->fleet.advance(Duration { 25'000 });
        std::vector<std::shared_ptr<CallerAnswer>> again;
        std::size_t whole = 0;
        for (const auto& chat : this->load.endedChats) {
            if (chat.answer->isComplete()) {
                ++whole;
                continue;
            }
            const auto hosts = this->fleet.hosts();
            again.push_back(this->fleet.request(hosts[again.size() % hosts.size()], chat.request));
        }
        this->fleet.advance(Duration { 25'000 });
        this->firstTryShare = static_cast<double>(whole) / static_cast<double>(this->load.endedChats.size());
        whole += static_cast<std::size_t>(
            std::count_if(again.begin(), again.end(), [](const auto& answer) { return answer->isComplete(); }));
        return static_cast<double>(whole) / static_cast<double>(this->load.endedChats.size());
    }

    /** Share of chats answered without a retry; set by measureAnsweredShare(). */
    double firstTryShare = 0;

private:
    TestFleet& fleet;
    ChatLoad load;
};

void measureOutage(Report& report, const std::string& name, double minFirstTry, double minWithRetry,
    const std::function<void(TestFleet&)>& leave, const std::function<void(TestFleet&)>& restore)
{
    TestFleet fleet;
    startFleet(fleet, fourDomains());
    RetryingCallers callers { fleet };
    callers.run(kWarmUpDuration);
    leave(fleet);
    callers.run(kOutageDuration);
    restore(fleet);
    callers.run(kRecoveryDuration);
    const auto share = callers.measureAnsweredShare();
    report.add({ "recovery.answered_first_try." + name, callers.firstTryShare, "share of chats", {}, minFirstTry });
    report.add({ "recovery.answered_with_one_retry." + name, share, "share of chats", {}, minWithRetry });
}

/** Cuts the hosts of one failure domain off from the platform or from the other domains. */
void disconnectDomain(TestFleet& fleet, bool fromPlatform)
{
    for (const auto& host : fleet.hosts()) {
        if (!host.starts_with("nabeul"))
            continue;
        if (fromPlatform)
            fleet.platform.unreachableHosts.insert(host);
        for (const auto& other : fleet.hosts()) {
            if (!fromPlatform && !other.starts_with("nabeul"))
                fleet.cut(host, other);
        }
    }
}

void setWithdrawn(TestFleet& fleet, bool out)
{
    fleet.platform.store.write(ObjectKind::FailureDomain, "nabeul", { { "name", "nabeul" }, { "out", out } });
}

/** Returns the time from the kill of the owner of an endpoint to the next request that starts there. */
double measureOwnerRecoveryMs()
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "nabeul" };
    plan.hostsPerDomain = 4;
    plan.enginesPerDomain = 1;
    startFleet(fleet, plan);
    ChatLoad load { fleet, 8, kSeed };
    load.run(kWarmUpDuration);
    fleet.kill(fleet.ownerOf("nabeul-engine-0"));
    const auto killedAt = fleet.now();
    const auto startedBefore = fleet.endpoints.at("nabeul-engine-0").model.startedRequests;
    while (fleet.endpoints.at("nabeul-engine-0").model.startedRequests == startedBefore
        && fleet.now() - killedAt < kOutageDuration)
        load.run(Duration { 20 });
    return static_cast<double>((fleet.now() - killedAt).count());
}

} // namespace

void measureRecovery(Report& report)
{
    report.add(
        { "recovery.owner_killed", measureOwnerRecoveryMs(), "ms until its engine serves again", kMaxRecoveryMs });
    const auto healAll = [](TestFleet& fleet) {
        fleet.healAll();
        fleet.platform.unreachableHosts.clear();
    };
    measureOutage(
        report, "planned", 1, 1, [](TestFleet& fleet) { setWithdrawn(fleet, true); },
        [](TestFleet& fleet) { setWithdrawn(fleet, false); });
    measureOutage(
        report, "domain_killed", 0, kMinAnswered,
        [](TestFleet& fleet) {
            fleet.kill("nabeul-0");
            fleet.kill("nabeul-1");
        },
        [](TestFleet& fleet) {
            fleet.start("nabeul-0", "nabeul");
            fleet.start("nabeul-1", "nabeul");
        });
    measureOutage(
        report, "cut_from_platform", 0, kMinAnswered, [](TestFleet& fleet) { disconnectDomain(fleet, true); }, healAll);
    measureOutage(
        report, "cut_from_domains", 0, kMinAnswered, [](TestFleet& fleet) { disconnectDomain(fleet, false); }, healAll);
}

} // namespace berylwing::measure
