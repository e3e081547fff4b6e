#include "support/chat_load.hpp"
#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <iostream>
#include <set>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kWarmUpDelay { 4000 };
constexpr Duration kPropagationDelay { 2000 };
constexpr Duration kDrainLimit { 20'000 };

std::uint64_t countStartedRequests(TestFleet& fleet, const std::string& domain)
{
    std::uint64_t begun = 0;
    for (const auto* kind : { "-engine-0", "-engine-1", "-orders-0" })
        begun += fleet.endpoints.at(domain + kind).model.startedRequests;
    return begun;
}

void setDomainWithdrawn(TestFleet& fleet, const std::string& domain, bool out)
{
    fleet.platform.store.write(ObjectKind::FailureDomain, domain, { { "name", domain }, { "out", out } });
}

std::size_t countFailed(const ChatLoad& load)
{
    std::size_t failed = 0;
    for (const auto& chat : load.endedChats)
        failed += chat.answer->isFinished && !chat.answer->isComplete() ? 1 : 0;
    return failed;
}

/** Stops a host gracefully; like a daemon, it runs on until the stop has completed. Returns whether it has. */
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

TEST_CASE("A withdrawn failure domain receives no new requests after two seconds", "[host][out]")
{
    for (const auto failureMode : { PlatformFailureMode::None, PlatformFailureMode::Slow }) {
        INFO("trouble " << static_cast<int>(failureMode));
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 6, 1 };
        load.run(kWarmUpDelay);
        fleet.platform.failureMode = failureMode;
        setDomainWithdrawn(fleet, "knox", true);
        load.run(kPropagationDelay);
        const auto startedBefore = countStartedRequests(fleet, "knox");
        const auto key = fleet.newKey();
        const auto order = fleet.request("chatt-0", orderRequest(key));
        load.run(Duration { 6000 });
        CHECK(countStartedRequests(fleet, "knox") == startedBefore);
        CHECK(order->isComplete());
        CHECK(countFailed(load) == 0);
        setDomainWithdrawn(fleet, "knox", false);
        load.run(Duration { 4000 });
        CHECK(countStartedRequests(fleet, "knox") > startedBefore);
        CHECK(countFailed(load) == 0);
        const auto again = fleet.request("knox-0", orderRequest(key));
        load.run(Duration { 4000 });
        CHECK(again->isComplete());
        CHECK(fleet.endpoints.countRuns(key) == 1);
    }
}

TEST_CASE("A leaving endpoint receives no new requests after two seconds, and its streams finish", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad load { fleet, 8, 1 };
    load.run(kWarmUpDelay);
    auto value = nlohmann::json::parse(fleet.platform.store.body(ObjectKind::Endpoint, "knox-engine-0"));
    value["leaving"] = true;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    load.run(kPropagationDelay);
    const auto begun = fleet.endpoints.at("knox-engine-0").model.startedRequests;
    load.run(Duration { 4000 });
    CHECK(fleet.endpoints.at("knox-engine-0").model.startedRequests == begun);
    value["leaving"] = false;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    load.run(Duration { 6000 });
    CHECK(fleet.endpoints.at("knox-engine-0").model.startedRequests > begun);
    CHECK(countFailed(load) == 0);
}

TEST_CASE("A withdrawn host owns no endpoints after two seconds, and no request fails", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad load { fleet, 8, 1 };
    load.run(kWarmUpDelay);
    const auto owner = fleet.ownerOf("knox-engine-0");
    fleet.platform.store.write(ObjectKind::Host, owner, { { "name", owner }, { "out", true } });
    load.run(kPropagationDelay);
    CHECK_FALSE(fleet.host(owner).isReady());
    CHECK(fleet.host(owner).registry().hasHandedOffAll());
    CHECK(fleet.ownerOf("knox-engine-0") != owner);
    fleet.platform.store.write(ObjectKind::Host, owner, { { "name", owner }, { "out", false } });
    load.run(Duration { 4000 });
    CHECK(fleet.host(owner).isReady());
    CHECK(fleet.ownerOf("knox-engine-0") == owner);
    CHECK(countFailed(load) == 0);
}

TEST_CASE("A graceful stop completes the responses of all callers", "[host][stop]")
{
    for (const auto failureMode : { PlatformFailureMode::None, PlatformFailureMode::Slow, PlatformFailureMode::Down }) {
        INFO("trouble " << static_cast<int>(failureMode));
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 8, 1 };
        load.run(kWarmUpDelay);
        const auto owner = fleet.ownerOf("knox-engine-0");
        fleet.platform.failureMode = failureMode;
        // The load balancer sends no callers to the stopping host, so this request is sent to it directly, before the
        // stop.
        const auto direct = fleet.request(owner, chatRequest("direct", "direct"));
        fleet.advance(Duration { 10 });
        CHECK(stopHost(fleet, load, owner));
        CHECK(direct->isComplete());
        const auto begun = fleet.endpoints.at("knox-engine-0").model.startedRequests;
        load.run(Duration { 3000 });
        CHECK(fleet.endpoints.at("knox-engine-0").model.startedRequests > begun);
        std::size_t failed = 0;
        for (const auto& chat : load.endedChats) {
            const bool wasSentToStopping = chat.host == owner && chat.answer->outcome.reason == Refusal::HostLeaving;
            failed += chat.answer->isFinished && !chat.answer->isComplete() && !wasSentToStopping ? 1 : 0;
        }
        CHECK(failed == 0);
    }
}

TEST_CASE("A partitioned failure domain continues to serve its own callers", "[host][cut]")
{
    for (const bool silent : { true, false }) {
        INFO("silent " << silent);
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad load { fleet, 6, 1 };
        load.run(kWarmUpDelay);
        for (const auto& left : { "knox-0", "knox-1", "knox-2" }) {
            fleet.platform.unreachableHosts.insert(left);
            for (const auto& right : { "chatt-0", "chatt-1", "chatt-2" })
                fleet.cut(left, right, silent);
        }
        load.run(Duration { 30'000 });
        std::size_t failed = 0;
        std::size_t interruptedStreams = 0;
        for (const auto& chat : load.endedChats) {
            const bool isBroken = chat.answer->isFinished && !chat.answer->isComplete();
            // A stream that runs in the other domain cannot be resumed across the partition, so it ends with an error.
            (chat.answer->body.empty() ? failed : interruptedStreams) += isBroken ? 1 : 0;
        }
        INFO("failed " << failed << " of " << load.endedChats.size());
        CHECK(failed == 0);
        CHECK(interruptedStreams <= 6);
        // A request that runs at most once needs a record on the platform. While the platform is unreachable, it is
        // refused as not run.
        const auto order = fleet.request("knox-0", orderRequest(fleet.newKey()));
        load.run(Duration { 5000 });
        CHECK(order->isNotRun());
        fleet.healAll();
        fleet.platform.unreachableHosts.clear();
        load.run(Duration { 5000 });
        const auto after = fleet.request("knox-0", orderRequest(fleet.newKey()));
        load.run(Duration { 5000 });
        CHECK(after->isComplete());
    }
}

TEST_CASE("Chats move once when their endpoint leaves and move back once when it returns", "[host][out]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    ChatLoad warmUp { fleet, 6, 1 };
    warmUp.run(kWarmUpDelay);
    fleet.advance(kWarmUpDelay);
    const auto findEndpointOf = [&fleet](const std::string& chat) {
        std::map<std::string, std::uint64_t> before;
        for (const auto& domain : { "knox", "chatt" }) {
            for (const auto* kind : { "-engine-0", "-engine-1" })
                before[std::string { domain } + kind]
                    = fleet.endpoints.at(std::string { domain } + kind).model.startedRequests;
        }
        const auto answer = fleet.request("chatt-1", chatRequest(chat, chat));
        static_cast<void>(fleet.advanceUntil([&answer] { return answer->isFinished; }, Duration { 5000 }));
        CHECK(answer->isComplete());
        for (const auto& [name, begun] : before) {
            if (fleet.endpoints.at(name).model.startedRequests > begun)
                return name;
        }
        return std::string {};
    };
    std::map<std::string, std::vector<std::string>> placements;
    const auto recordPlacements = [&] {
        for (int chat = 0; chat < 12; ++chat)
            placements["c" + std::to_string(chat)].push_back(findEndpointOf("c" + std::to_string(chat)));
    };
    recordPlacements();
    recordPlacements();
    auto value = nlohmann::json::parse(fleet.platform.store.body(ObjectKind::Endpoint, "knox-engine-0"));
    value["leaving"] = true;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    fleet.advance(kPropagationDelay);
    recordPlacements();
    recordPlacements();
    value["leaving"] = false;
    fleet.platform.store.write(ObjectKind::Endpoint, "knox-engine-0", value);
    fleet.advance(Duration { 6000 });
    recordPlacements();
    recordPlacements();
    for (const auto& [chat, endpoints] : placements) {
        INFO(chat << ": " << endpoints[0] << " " << endpoints[2] << " " << endpoints[4]);
        CHECK(endpoints[0] == endpoints[1]);
        CHECK(endpoints[2] == endpoints[3]);
        CHECK(endpoints[4] == endpoints[5]);
        CHECK(endpoints[4] == endpoints[0]);
        const bool wasOnLeavingEndpoint = endpoints[0] == "knox-engine-0";
        CHECK((endpoints[2] == endpoints[0]) != wasOnLeavingEndpoint);
    }
}
