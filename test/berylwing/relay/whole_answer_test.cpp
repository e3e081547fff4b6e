#include "support/chat_load.hpp"
#include "support/fault_matrix.hpp"
#include "support/test_fleet.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kWarmUp { 2000 };
constexpr Duration kFaultTime { 4000 };
constexpr Duration kAnswerLimit { 25'000 };

std::string expectedBody(const TestFleet& fleet, const CallerRequest& request)
{
    std::string body;
    for (const auto& part : EngineModel::answer("engine", request.body, fleet.endpoints.tokens))
        body += part;
    return body;
}

/** @brief Checks that a caller got its own complete response, or a prefix of it and an explicit error. */
void checkAnswer(const TestFleet& fleet, const CallerRequest& request, const CallerAnswer& answer)
{
    const auto expected = expectedBody(fleet, request);
    if (answer.isComplete())
        CHECK(answer.body == expected);
    else
        CHECK(expected.starts_with(answer.body));
    if (answer.isNotRun()) {
        CHECK(answer.body.empty());
        CHECK(fleet.endpoints.attemptsByRequest.count(request.requestId) == 0);
    }
}

struct Sent {
    CallerRequest request;
    std::shared_ptr<CallerAnswer> answer;
    std::string host;
};

std::vector<Sent> sendChats(TestFleet& fleet, int count)
{
    std::vector<Sent> chats;
    const auto hosts = fleet.hosts();
    for (int index = 0; index < count; ++index) {
        const auto id = "chat-" + std::to_string(index);
        const auto& host = hosts[static_cast<std::size_t>(index) % hosts.size()];
        auto request = chatRequest(id, id);
        auto answer = fleet.request(host, request);
        chats.push_back({ std::move(request), std::move(answer), host });
    }
    return chats;
}

} // namespace

TEST_CASE("Every caller gets a complete response or an explicit error with any fault at any step", "[relay][matrix]")
{
    int cells = 0;
    int whole = 0;
    int broken = 0;
    int refused = 0;
    forEachCell([&](Step step, Fault fault) {
        INFO("step " << kStepNames[step] << ", fault " << kFaultNames[fault]);
        TestFleet fleet;
        startFleet(fleet, {});
        ChatLoad warmUp { fleet, 6, 1 };
        warmUp.run(kWarmUp);
        fleet.advance(kWarmUp);
        FaultCell cell { fleet, step, fault, "knox-engine-0" };
        const auto chats = sendChats(fleet, 6);
        fleet.advance(kFaultTime);
        cell.end();
        fleet.advance(kAnswerLimit);
        for (const auto& chat : chats) {
            const bool isEntryKilled = !chat.answer->isFinished;
            if (isEntryKilled)
                CHECK_FALSE(chat.answer->isComplete());
            checkAnswer(fleet, chat.request, *chat.answer);
            whole += chat.answer->isComplete() ? 1 : 0;
            refused += chat.answer->isNotRun() ? 1 : 0;
            broken += !chat.answer->isComplete() && !chat.answer->isNotRun() ? 1 : 0;
        }
        const auto unanswered
            = std::count_if(chats.begin(), chats.end(), [](const Sent& chat) { return !chat.answer->isFinished; });
        // Only a caller of a killed entry host may be left without a response; its connection is closed.
        CHECK(unanswered <= 1);
        ++cells;
    });
    std::cout << "matrix whole answers: " << cells << " cells run, " << whole << " answers whole, " << broken
              << " ended with an error, " << refused << " not run\n";
}

TEST_CASE("A broken stream is resumed at its offset", "[relay]")
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.enginesPerDomain = 1;
    startFleet(fleet, plan);
    fleet.endpoints.at("knox-engine-0").breakAfter = 4;
    const auto request = chatRequest("c", "c");
    const auto answer = fleet.request("knox-0", request);
    fleet.advance(Duration { 5000 });
    REQUIRE(answer->isComplete());
    CHECK(answer->body == expectedBody(fleet, request));
    CHECK(fleet.host("knox-0").metrics().count(Retry::ResumeAtOffset) == 1);
}

TEST_CASE("A message lost between two hosts does not truncate the response", "[relay]")
{
    for (int lostAt = 0; lostAt < 40; ++lostAt) {
        INFO("lost after " << lostAt * 10 << " ms");
        TestFleet fleet;
        FleetPlan plan;
        plan.domains = { "knox" };
        plan.enginesPerDomain = 1;
        startFleet(fleet, plan);
        const auto owner = fleet.ownerOf("knox-engine-0");
        const std::string entry = owner == "knox-0" ? "knox-1" : "knox-0";
        const auto request = chatRequest("c", "c");
        const auto answer = fleet.request(entry, request);
        fleet.advance(Duration { 10 * lostAt });
        fleet.cut(entry, owner);
        fleet.advance(Duration { 30 });
        fleet.healAll();
        fleet.advance(Duration { 8000 });
        REQUIRE(answer->isFinished);
        checkAnswer(fleet, request, *answer);
        CHECK(answer->isComplete());
    }
}

TEST_CASE("The bytes of another request never reach a caller", "[relay]")
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    startFleet(fleet, plan);
    fleet.endpoints.at("knox-engine-0").isNextAnswerMisrouted = true;
    fleet.endpoints.at("knox-engine-1").isNextAnswerMisrouted = true;
    const auto request = chatRequest("c", "c");
    const auto answer = fleet.request("knox-0", request);
    fleet.advance(Duration { 5000 });
    REQUIRE(answer->isFinished);
    checkAnswer(fleet, request, *answer);
}

TEST_CASE("A frozen engine leads to an explicit error or a response from another engine", "[relay]")
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    startFleet(fleet, plan);
    fleet.endpoints.at("knox-engine-0").frozen = true;
    const auto chats = sendChats(fleet, 4);
    fleet.advance(kAnswerLimit);
    for (const auto& chat : chats) {
        CHECK(chat.answer->isFinished);
        checkAnswer(fleet, chat.request, *chat.answer);
    }
}

TEST_CASE("A slow caller delays only its own stream", "[relay]")
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.enginesPerDomain = 1;
    startFleet(fleet, plan);
    ChatLoad warmUp { fleet, 4, 1 };
    warmUp.run(kWarmUp);
    fleet.endpoints.tokens = 20'000;
    fleet.endpoints.tokenTime = Duration { 0 };
    const auto slow = fleet.requestSlowly("knox-0", chatRequest("slow", "slow"), Duration { 1000 });
    fleet.advance(Duration { 1000 });
    fleet.endpoints.tokens = 8;
    const auto quick = fleet.request("knox-0", chatRequest("quick", "quick"));
    fleet.advance(Duration { 3000 });
    CHECK(quick->isComplete());
    CHECK_FALSE(slow->isFinished);
}

TEST_CASE("A chat whose engine answers with a status of a rejection is answered by another engine", "[relay]")
{
    for (const unsigned status : { 408, 421, 429, 503 }) {
        CAPTURE(status);
        TestFleet fleet;
        FleetPlan plan;
        plan.domains = { "knox" };
        startFleet(fleet, plan);
        // Successful chats earn the retries that the others take.
        constexpr int kChatsBefore = 60;
        static_cast<void>(sendChats(fleet, kChatsBefore));
        fleet.advance(kAnswerLimit);
        fleet.endpoints.at("knox-engine-0").status = status;
        int rejections = 0;
        fleet.endpoints.onRequest = [&rejections](const std::string& endpoint, const wire::Request&) {
            rejections += endpoint == "knox-engine-0" ? 1 : 0;
        };
        for (const auto* host : { "knox-0", "knox-1", "knox-2" }) {
            CAPTURE(host);
            const auto request = chatRequest(host, host);
            const auto answer = fleet.request(host, request);
            fleet.advance(Duration { 2000 });
            REQUIRE(answer->isFinished);
            CHECK(answer->isComplete());
            CHECK(answer->status == 200);
            checkAnswer(fleet, request, *answer);
        }
        CHECK(rejections > 0);
    }
}
