#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kPause { 600 };
constexpr Duration kSettleTime { 2000 };
constexpr int kChats = 12;

} // namespace

// Guards against work for requests that were given up while the owner of the endpoint was suspended.
TEST_CASE("A request that was cancelled before its owner could begin it is not sent", "[relay][once]")
{
    TestFleet fleet;
    startFleet(fleet, {});
    fleet.platform.store.write(ObjectKind::Contract, "hasty",
        { { "workspace", "hasty" }, { "key", "hasty-key" }, { "home", "knox" }, { "requests_per_second", 100000 },
            { "concurrency", 100000 }, { "deadline_ms", 400 } });
    fleet.advance(kSettleTime);
    const auto hosts = fleet.hosts();
    for (std::size_t index = 1; index < hosts.size(); ++index)
        fleet.pause(hosts[index]);
    std::map<std::string, std::shared_ptr<CallerAnswer>> answers;
    for (int chat = 0; chat < kChats; ++chat) {
        const auto id = "chat-" + std::to_string(chat);
        auto request = chatRequest(id, id);
        request.bearerToken = "hasty-key";
        answers[id] = fleet.request(hosts.front(), std::move(request));
    }
    fleet.advance(kPause);
    const auto runsBefore = fleet.endpoints.attemptsByRequest;
    for (std::size_t index = 1; index < hosts.size(); ++index)
        fleet.resume(hosts[index]);
    fleet.advance(kSettleTime);
    int abandoned = 0;
    for (const auto& [id, answer] : answers) {
        if (answer->isComplete())
            continue;
        ++abandoned;
        CAPTURE(id);
        CHECK(fleet.endpoints.attemptsByRequest.count(id) == runsBefore.count(id));
    }
    CHECK(abandoned > 0);
}
