#include "berylwing/core/finding.hpp"
#include "berylwing/rollout/order.hpp"
#include "platform/daemon_harness.hpp"
#include "platform/rollout_objects.hpp"
#include <catch2/catch.hpp>

using namespace berylwing;
using namespace berylwing::test;
using nlohmann::json;

TEST_CASE("An order and its status become one document, and a status of another version counts as none", "[rollout]")
{
    const json spec { { "service", "engines" }, { "to", "v2" }, { "duration_s", 1.5 } };
    const auto read = [&spec](const json& status) {
        return readRolloutOrder("engines", 7, platform::readRolloutObject(spec, status, 5));
    };
    CHECK(read(nullptr).state == RolloutState::New);
    CHECK(read({ { "state", "in_progress" }, { "to", "v2" } }).state == RolloutState::Active);
    CHECK(read({ { "state", "reverted" }, { "to", "v2" } }).state == RolloutState::Reverted);
    CHECK(read({ { "state", "completed" }, { "to", "v1" } }).state == RolloutState::New);
    CHECK(read({ { "state", 7 }, { "to", "v2" } }).state == RolloutState::New);
    CHECK(read(nullptr).duration == Duration { 1500 });
    CHECK(platform::makeRolloutStatus({ { "state", "completed" }, { "version", "v2" } })
        == json { { "state", "completed" }, { "to", "v2" } });
}

TEST_CASE("An order that cannot be read is rejected", "[rollout]")
{
    const auto spec = GENERATE(json { { "service", "engines" } }, json { { "service", 1 }, { "to", "v2" } },
        json { { "service", "engines" }, { "to", "v2" }, { "duration_s", "soon" } }, json::array(), json("text"));
    CHECK_THROWS_AS(readRolloutOrder("engines", 7, platform::readRolloutObject(spec, nullptr, 5)), ConfigurationError);
}

TEST_CASE("A host process takes an order up in the store and carries it out", "[rollout]")
{
    DaemonHarness harness { nlohmann::json::object({ { "rollout_share", 0.1 } }) };
    const auto answer = [](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
        StandInResponse response;
        response.set("Attempt-Id", request["Attempt-Id"]);
        response.set("Server-Signature", "1");
        response.body() = "{}";
        co_await respond(stream, std::move(response));
        co_return true;
    };
    harness.listen(1, answer);
    harness.listen(2, answer);
    harness.putEndpoint("e1", "desk", 1, "v1");
    harness.start();
    harness.store.write("rollouts", "desk", { { "service", "desk" }, { "to", "v2" }, { "duration_s", 20 } });
    harness.putEndpoint("e2", "desk", 2, "v2");
    const auto hasState = [&harness](const std::string& state) {
        return harness.store.status("rollouts", "desk").value("state", std::string {}) == state;
    };
    CHECK(harness.runUntil([&hasState] { return hasState("in_progress"); }));
    const bool isCompleted = harness.runUntil([&hasState] { return hasState("completed"); });
    INFO(harness.log());
    CHECK(isCompleted);
    CHECK(harness.store.status("rollouts", "desk").at("to") == "v2");
}
