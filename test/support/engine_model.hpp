#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief State and answers of a fake model engine, shared by the HTTP stand-in and the in-process fake. */
struct EngineModel {
    /**
     * @brief Creates the answer to a request, which depends on its body only.
     * @return One server-sent event for each token, then the "[DONE]" event.
     */
    [[nodiscard]] static std::vector<std::string> answer(
        const std::string& engine, const std::string& body, std::size_t tokens);

    /** @brief Counts a request that starts. @return False if the engine is cold and now exceeds its cold limit. */
    bool begin();

    /** @brief Counts a request that ends. */
    void end();

    /** @brief Restarts the engine with a new boot number, no running requests and a cold cache. */
    void restart();

    std::string name;
    /** Number of concurrent requests above which a cold engine crashes. */
    std::uint32_t coldLimit = 1;
    std::uint32_t capacity = 8;
    std::uint64_t boot = 1;
    std::uint32_t running = 0;
    bool warm = true;
    /** Number of requests started since the start of the test, over all restarts. */
    std::uint64_t startedRequests = 0;
    /** Highest numbers of concurrent requests while warm and while cold. */
    std::uint32_t maxRunningWarm = 0;
    std::uint32_t maxRunningCold = 0;
    /** Number of times that a cold engine received more concurrent requests than its cold limit. */
    std::uint32_t overloadCrashes = 0;
};

} // namespace berylwing::test
