#pragma once

#include "support/test_fleet.hpp"
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace berylwing::test {

/** @brief Keeps a number of chats running through all hosts of a fleet. */
class ChatLoad {
public:
    /** @brief Creates a load. @param concurrency Chats at once. @param seed Seed of the choice of hosts. */
    ChatLoad(TestFleet& testFleet, std::size_t concurrency, unsigned seed);

    /** @brief Starts new chats in place of those that have endedChats. */
    void refill();

    /** @brief Lets time pass while the load is kept up. */
    void run(Duration length);

    struct Chat {
        CallerRequest request;
        std::shared_ptr<CallerAnswer> answer;
        std::string host;
    };

    /** Chats that have endedChats. */
    std::vector<Chat> endedChats;

    [[nodiscard]] std::size_t countComplete() const;

private:
    TestFleet& fleet;
    std::size_t target;
    std::mt19937 random;
    std::vector<Chat> running;
    std::size_t next = 0;
};

} // namespace berylwing::test
