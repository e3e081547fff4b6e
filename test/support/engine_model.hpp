#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Behaviour of a stand-in engine that its HTTP and its in-process form share. */
struct EngineModel {
    /** @brief Makes the answer to a request: one part for each token and the end mark. */
    [[nodiscard]] static std::vector<std::string> answer(
        const std::string& engine, const std::string& body, std::size_t tokens);

    /** @brief Counts a request that begins; false if the engine overloadCrashes over because it is cold. */
    bool begin();

    /** @brief Counts a request that has ended. */
    void end();

    /** @brief Restarts the engine: a new boot id, no memory, cold. */
    void restart();

    std::string name;
    std::uint32_t coldLimit = 1;
    std::uint32_t capacity = 8;
    std::uint64_t boot = 1;
    std::uint32_t running = 0;
    bool warm = true;
    /** Requests that have startedRequests since the start of the test. */
    std::uint64_t startedRequests = 0;
    /** Highest numbers of requests seen at once, while warm and while cold. */
    std::uint32_t maxRunningWarm = 0;
    std::uint32_t maxRunningCold = 0;
    /** Times at which a cold engine got more than it bears. */
    std::uint32_t overloadCrashes = 0;
};

} // namespace berylwing::test
