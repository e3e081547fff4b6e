#include "support/chat_load.hpp"
#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kWarmUp { 4000 };
constexpr Duration kInForce { 2000 };
constexpr Duration kDrainLimit { 20'000 };

std::uint64_t begunIn(TestFleet& fleet, const std::string& domain)
{
    std::uint64_t begun = 0;
    for (const auto* kind : { "-engine-0", "-engine-1", "-orders-0" })
        begun += fleet.endpoints.at(domain + kind).model.begun;
    return begun;
}

void setDomainOut(TestFleet& fleet, const std::string& domain, bool out)
{
    fleet.platform.store.write(ObjectKind::FailureDomain, domain, { { "name", domain }, { "out", out } });
}

std::size_t failedCount(const ChatLoad& load)
{
    std::size_t failed = 0;
    for (const auto& chat : load.ended)
        failed += chat.answer->finished && !chat.answer->isWhole() ? 1 : 0;
    return failed;
}

/** Graceful stop that keeps the process running until it is over, as a daemon does. */
bool stopHost(TestFleet& fleet, ChatLoad& load, const std::string& host)
{
    const auto stopped = fleet.stop(host, kDrainLimit);
    const auto end = fleet.now() + kDrainLimit;
    while (!*stopped && fleet.now() < end)
        load.run(Duration { 100 });
    if (*stopped)
        fleet.kill(host);
    return *stopped;
}

} // namespace

TEST_CASE("A failure domain that is taken out gets no new work after two seconds", "[host][out]")
{
    for (const auto trouble : { PlatformTrouble::None, PlatformTrouble::Slow }) {
        INFO("trouble " << static_cast<int>(trouble));
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 6, 1 };
        load.run(kWarmUp);
        fleet.platform.trouble = trouble;
        setDomainOut(fleet, "knox", true);
        load.run(kInForce);
        const auto atOut = begunIn(fleet, "knox");
        const auto key = fleet.newKey();
        const auto order = fleet.request("chatt-0", orderRequest(key));
        load.run(Duration { 6000 });
        CHECK(begunIn(fleet, "knox") == atOut);
        CHECK(order->isWhole());
        CHECK(failedCount(load) == 0);
        setDomainOut(fleet, "knox", false);
        load.run(Duration { 4000 });
        CHECK(begunIn(fleet, "knox") > atOut);
        CHECK(failedCount(load) == 0);
        const auto again = fleet.request("knox-0", orderRequest(key));
        load.run(Duration { 4000 });
        CHECK(again->isWhole());
        CHECK(fleet.endpoints.runsOf(key) == 1);
    }
}

TEST_CASE("A leaving endpoint gets no new work after two seconds, and its streams finish", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad load { fleet, 8, 1 };
    load.run(kWarmUp);
    auto value = nlohmann::json::parse(fleet.platform.store.body(ObjectKind::Endpoint, "knox-engine-0"));
    value["leaving"] = true;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    load.run(kInForce);
    const auto begun = fleet.endpoints.at("knox-engine-0").model.begun;
    load.run(Duration { 4000 });
    CHECK(fleet.endpoints.at("knox-engine-0").model.begun == begun);
    value["leaving"] = false;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    load.run(Duration { 6000 });
    CHECK(fleet.endpoints.at("knox-engine-0").model.begun > begun);
    CHECK(failedCount(load) == 0);
}

TEST_CASE("A host that is taken out owns nothing after two seconds and no request fails", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad load { fleet, 8, 1 };
    load.run(kWarmUp);
    const auto owner = fleet.ownerOf("knox-engine-0");
    fleet.platform.store.write(ObjectKind::Host, owner, { { "name", owner }, { "out", true } });
    load.run(kInForce);
    CHECK_FALSE(fleet.host(owner).isReady());
    CHECK(fleet.host(owner).registry().hasHandedOffAll());
    CHECK(fleet.ownerOf("knox-engine-0") != owner);
    fleet.platform.store.write(ObjectKind::Host, owner, { { "name", owner }, { "out", false } });
    load.run(Duration { 4000 });
    CHECK(fleet.host(owner).isReady());
    CHECK(fleet.ownerOf("knox-engine-0") == owner);
    CHECK(failedCount(load) == 0);
}

TEST_CASE("A planned stop leaves no caller without its whole answer", "[host][stop]")
{
    for (const auto trouble : { PlatformTrouble::None, PlatformTrouble::Slow, PlatformTrouble::Down }) {
        INFO("trouble " << static_cast<int>(trouble));
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 8, 1 };
        load.run(kWarmUp);
        const auto owner = fleet.ownerOf("knox-engine-0");
        fleet.platform.trouble = trouble;
        // Callers go to hosts that are ready; the balancer keeps the stopping host out.
        const auto direct = fleet.request(owner, chatRequest("direct", "direct"));
        fleet.advance(Duration { 10 });
        CHECK(stopHost(fleet, load, owner));
        CHECK(direct->isWhole());
        const auto begun = fleet.endpoints.at("knox-engine-0").model.begun;
        load.run(Duration { 3000 });
        CHECK(fleet.endpoints.at("knox-engine-0").model.begun > begun);
        std::size_t failed = 0;
        for (const auto& chat : load.ended) {
            const bool wasSentToStopping = chat.host == owner && chat.answer->outcome.reason == Refusal::HostLeaving;
            failed += chat.answer->finished && !chat.answer->isWhole() && !wasSentToStopping ? 1 : 0;
        }
        CHECK(failed == 0);
    }
}

TEST_CASE("A cut-off failure domain goes on serving its own callers", "[host][cut]")
{
    for (const bool silent : { true, false }) {
        INFO("silent " << silent);
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 6, 1 };
        load.run(kWarmUp);
        for (const auto& left : { "knox-0", "knox-1", "knox-2" }) {
            fleet.platform.cutOff.insert(left);
            for (const auto& right : { "chatt-0", "chatt-1", "chatt-2" })
                fleet.cut(left, right, silent);
        }
        load.run(Duration { 30'000 });
        std::size_t failed = 0;
        std::size_t cutOffInTheMiddle = 0;
        for (const auto& chat : load.ended) {
            const bool isBroken = chat.answer->finished && !chat.answer->isWhole();
            // A stream that had begun on the other side cannot be resumed there, so it ends with an explicit error.
            (chat.answer->body.empty() ? failed : cutOffInTheMiddle) += isBroken ? 1 : 0;
        }
        INFO("failed " << failed << " of " << load.ended.size());
        CHECK(failed == 0);
        CHECK(cutOffInTheMiddle <= 6);
        // What the platform has to write down cannot be done while it cannot be reached, and is refused truthfully.
        const auto order = fleet.request("knox-0", orderRequest(fleet.newKey()));
        load.run(Duration { 5000 });
        CHECK(order->isNotRun());
        fleet.healAll();
        fleet.platform.cutOff.clear();
        load.run(Duration { 5000 });
        const auto after = fleet.request("knox-0", orderRequest(fleet.newKey()));
        load.run(Duration { 5000 });
        CHECK(after->isWhole());
    }
}

TEST_CASE("The chats of an endpoint move once when it leaves and come back once when it returns", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad warmUp { fleet, 6, 1 };
    warmUp.run(kWarmUp);
    fleet.advance(kWarmUp);
    const auto placeOf = [&fleet](const std::string& chat) {
        std::map<std::string, std::uint64_t> before;
        for (const auto& domain : { "knox", "chatt" }) {
            for (const auto* kind : { "-engine-0", "-engine-1" })
                before[std::string { domain } + kind] = fleet.endpoints.at(std::string { domain } + kind).model.begun;
        }
        const auto answer = fleet.request("chatt-1", chatRequest(chat, chat));
        static_cast<void>(fleet.advanceUntil([&answer] { return answer->finished; }, Duration { 5000 }));
        CHECK(answer->isWhole());
        for (const auto& [name, begun] : before) {
            if (fleet.endpoints.at(name).model.begun > begun)
                return name;
        }
        return std::string {};
    };
    std::map<std::string, std::vector<std::string>> places;
    const auto visit = [&] {
        for (int chat = 0; chat < 12; ++chat)
            places["c" + std::to_string(chat)].push_back(placeOf("c" + std::to_string(chat)));
    };
    visit();
    visit();
    auto value = nlohmann::json::parse(fleet.platform.store.body(ObjectKind::Endpoint, "knox-engine-0"));
    value["leaving"] = true;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    fleet.advance(kInForce);
    visit();
    visit();
    value["leaving"] = false;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    fleet.advance(Duration { 6000 });
    visit();
    visit();
    for (const auto& [chat, visited] : places) {
        INFO(chat << ": " << visited[0] << " " << visited[2] << " " << visited[4]);
        CHECK(visited[0] == visited[1]);
        CHECK(visited[2] == visited[3]);
        CHECK(visited[4] == visited[5]);
        CHECK(visited[4] == visited[0]);
        const bool wasThere = visited[0] == "knox-engine-0";
        CHECK((visited[2] == visited[0]) != wasThere);
    }
}
