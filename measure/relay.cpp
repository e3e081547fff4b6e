#include "scenarios.hpp"

#include "support/test_fleet.hpp"
#include <algorithm>

namespace berylwing::measure {

namespace {

using namespace berylwing::test;

constexpr double kMaxMicrosecondsPerChunk = 10;

/** Returns the CPU seconds of a number of chats through two hosts, without the start of the fleet. */
double measureSeconds(int chats, std::size_t tokens)
{
    TestFleet fleet;
    FleetPlan plan;
    plan.domains = { "knox" };
    plan.hostsPerDomain = 2;
    plan.enginesPerDomain = 1;
    plan.servicesPerDomain = 0;
    plan.capacity = 1000;
    plan.coldCapacity = 1000;
    startFleet(fleet, plan);
    fleet.endpoints.tokens = tokens;
    fleet.endpoints.tokenTime = Duration { 0 };
    const std::string entry = fleet.ownerOf("knox-engine-0") == "knox-0" ? "knox-1" : "knox-0";
    const auto before = readProcessorSeconds();
    std::vector<std::shared_ptr<CallerAnswer>> answers;
    for (int chat = 0; chat < chats; ++chat) {
        const auto id = "chat-" + std::to_string(chat);
        answers.push_back(fleet.request(entry, chatRequest(id, id)));
    }
    const auto isDone = [&answers] {
        return std::all_of(answers.begin(), answers.end(), [](const auto& answer) { return answer->isFinished; });
    };
    static_cast<void>(fleet.advanceUntil(isDone, Duration { 60'000 }));
    return readProcessorSeconds() - before;
}

} // namespace

void measureRelay(Report& report)
{
    constexpr int kChats = 40;
    constexpr double kMicro = 1e6;
    double previous = measureSeconds(kChats, 100);
    std::size_t previousTokens = 100;
    // The difference between two runs is the cost of the additional chunks, without that of the requests.
    for (const std::size_t tokens : { 500, 1000, 2000 }) {
        const auto seconds = measureSeconds(kChats, tokens);
        const auto chunks = static_cast<double>(kChats) * static_cast<double>(tokens - previousTokens);
        report.add({ "relay.chunk." + std::to_string(tokens) + "_tokens", (seconds - previous) / chunks * kMicro,
            "us of CPU a chunk, both hosts, stand-in included, no sockets", kMaxMicrosecondsPerChunk });
        previous = seconds;
        previousTokens = tokens;
    }
}

} // namespace berylwing::measure
