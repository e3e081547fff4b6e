#include "scenarios.hpp"

#include "support/chat_load.hpp"
#include "support/test_fleet.hpp"
#include <algorithm>
#include <functional>

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

constexpr Duration kWarmUp { 4000 };
constexpr Duration kAway { 8000 };
constexpr Duration kBack { 8000 };
constexpr std::size_t kCallers = 24;
constexpr double kLeastAnswered = 0.999;
constexpr double kMostRecoveryMs = 3000;
constexpr unsigned kSeed = 1;

FleetPlan fourDomains()
{
    FleetPlan plan;
    plan.domains = { "nabeul", "menzel", "kelibia", "grombalia" };
    plan.hostsPerDomain = 2;
    plan.enginesPerDomain = 5;
    return plan;
}

/** Chats answered whole, where a caller whose connection closed or who was told to do so tries once more. */
class Service {
public:
    explicit Service(TestFleet& testFleet)
        : fleet { testFleet }
        , load { testFleet, kCallers, kSeed }
    {
    }

    void run(Duration length) { this->load.run(length); }

    /** Lets all chats end and sends those that failed once more. */
    [[nodiscard]] double answeredShare()
    {
        this->load.run(Duration { 100 });
        this->fleet.advance(Duration { 25'000 });
        std::vector<std::shared_ptr<CallerAnswer>> again;
        std::size_t whole = 0;
        for (const auto& chat : this->load.ended) {
            if (chat.answer->isWhole()) {
                ++whole;
                continue;
            }
            const auto hosts = this->fleet.hosts();
            again.push_back(this->fleet.request(hosts[again.size() % hosts.size()], chat.request));
        }
        this->fleet.advance(Duration { 25'000 });
        this->firstTries = static_cast<double>(whole) / static_cast<double>(this->load.ended.size());
        whole += static_cast<std::size_t>(
            std::count_if(again.begin(), again.end(), [](const auto& answer) { return answer->isWhole(); }));
        return static_cast<double>(whole) / static_cast<double>(this->load.ended.size());
    }

    double firstTries = 0;

private:
    TestFleet& fleet;
    ChatLoad load;
};

void measureLeaving(Report& report, const std::string& name, double leastFirst, double leastSecond,
    const std::function<void(TestFleet&)>& leave, const std::function<void(TestFleet&)>& comeBack)
{
    TestFleet fleet;
    startFleet(fleet, fourDomains());
    Service service { fleet };
    service.run(kWarmUp);
    leave(fleet);
    service.run(kAway);
    comeBack(fleet);
    service.run(kBack);
    const auto share = service.answeredShare();
    report.add({ "recovery.answered_first_try." + name, service.firstTries, "share of chats", {}, leastFirst });
    report.add({ "recovery.answered_with_one_retry." + name, share, "share of chats", {}, leastSecond });
}

void cutDomain(TestFleet& fleet, bool fromPlatform)
{
    for (const auto& host : fleet.hosts()) {
        if (!host.starts_with("nabeul"))
            continue;
        if (fromPlatform)
            fleet.platform.cutOff.insert(host);
        for (const auto& other : fleet.hosts()) {
            if (!fromPlatform && !other.starts_with("nabeul"))
                fleet.cut(host, other);
        }
    }
}

void setOut(TestFleet& fleet, bool out)
{
    fleet.platform.store.write(ObjectKind::FailureDomain, "nabeul", { { "name", "nabeul" }, { "out", out } });
}

double ownerRecoveryMs()
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "nabeul" };
    plan.hostsPerDomain = 4;
    plan.enginesPerDomain = 1;
    startFleet(fleet, plan);
    ChatLoad load { fleet, 8, kSeed };
    load.run(kWarmUp);
    fleet.kill(fleet.ownerOf("nabeul-engine-0"));
    const auto killedAt = fleet.now();
    const auto begun = fleet.endpoints.at("nabeul-engine-0").model.begun;
    while (fleet.endpoints.at("nabeul-engine-0").model.begun == begun && fleet.now() - killedAt < kAway)
        load.run(Duration { 20 });
    return static_cast<double>((fleet.now() - killedAt).count());
}

} // namespace

void measureRecovery(Report& report)
{
    report.add({ "recovery.owner_killed", ownerRecoveryMs(), "ms until its engine serves again", kMostRecoveryMs });
    const auto healAll = [](TestFleet& fleet) {
        fleet.healAll();
        fleet.platform.cutOff.clear();
    };
    measureLeaving(
        report, "planned", 1, 1, [](TestFleet& fleet) { setOut(fleet, true); },
        [](TestFleet& fleet) { setOut(fleet, false); });
    measureLeaving(
        report, "domain_killed", 0, kLeastAnswered,
        [](TestFleet& fleet) {
            fleet.kill("nabeul-0");
            fleet.kill("nabeul-1");
        },
        [](TestFleet& fleet) {
            fleet.start("nabeul-0", "nabeul");
            fleet.start("nabeul-1", "nabeul");
        });
    measureLeaving(
        report, "cut_from_platform", 0, kLeastAnswered, [](TestFleet& fleet) { cutDomain(fleet, true); }, healAll);
    measureLeaving(
        report, "cut_from_domains", 0, kLeastAnswered, [](TestFleet& fleet) { cutDomain(fleet, false); }, healAll);
}

} // namespace berylwing::measure
