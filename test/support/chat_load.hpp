#pragma once

#include "support/test_fleet.hpp"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Keeps a constant number of concurrent chats open, each through a randomly chosen host of a fleet. */
class ChatLoad {
public:
    /**
     * @brief Creates a load generator without open chats.
     * @param testFleet Fleet under test.
     * @param concurrency Number of concurrent chats.
     * @param seed Seed of the choice of hosts.
     */
    ChatLoad(TestFleet& testFleet, std::size_t concurrency, unsigned seed);

    /** @brief Moves chats that have ended to `endedChats` and starts new ones in their place. */
    void refill();

    /** @brief Advances the clock of the fleet and refills the load at short intervals. */
    void run(Duration length);

    /** Chat with its request, its answer so far and the entry host that received it. */
    struct Chat {
        CallerRequest request;
        std::shared_ptr<CallerAnswer> answer;
        std::string host;
    };

    /** Chats that were answered or whose entry host was killed. */
    std::vector<Chat> endedChats;

    /** @brief Counts the ended chats with a complete answer. */
    [[nodiscard]] std::size_t countComplete() const;

private:
    TestFleet& fleet;
    std::size_t target;
    std::mt19937 random;
    std::vector<Chat> running;
    std::size_t next = 0;
};

} // namespace berylwing::test
