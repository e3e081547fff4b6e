#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstddef>
#include <cstdint>
#include <deque>

namespace berylwing {

/** @brief Shared prompt that was sent to an endpoint. */
struct PromptUse {
    /** Hash of the prompt's id. */
    std::uint64_t prompt = 0;
    /** Hash of the endpoint's id. */
    std::uint32_t endpoint = 0;
};

/** @brief Uses that are told to other hosts, each for some time, so that some messages may be lost. */
class UseQueue {
    struct Announcement {
        PromptUse use;
        TimePoint since {};
    };

public:
    /** @brief Creates an empty queue. @param hostClock Clock of the host. */
    explicit UseQueue(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Adds a use, unless the queue is full. @param use Use. */
    void push(const PromptUse& use);

    /** @brief Drops all uses. */
    void clear() noexcept { this->announcements.clear(); }

    /** @brief Adds the uses to a message. @param uses Part of the message. */
    void describe(wire::PromptUses& uses);

private:
    const Clock& clock;
    std::deque<Announcement> announcements;
};

} // namespace berylwing
