#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace berylwing {

/** @brief What was seen at an endpoint: a prompt that it has read, or a request that broke off there. */
struct EndpointNote {
    /** Hash of the prompt's id, or fingerprint of the request. */
    std::uint64_t subject = 0;
    /** Hash of the endpoint's id. */
    std::uint32_t endpoint = 0;
};

/** @brief Reads the notes of a message. @param notes Part of the message. @return Notes in their order. */
[[nodiscard]] std::vector<EndpointNote> readNotes(const wire::EndpointNotes& notes);

/** @brief Notes that are told to other hosts, each for some time, so that some messages may be lost. */
class NoteQueue {
    struct Announcement {
        EndpointNote note;
        TimePoint since {};
    };

public:
    /** @brief Creates an empty queue. @param hostClock Clock of the host. */
    explicit NoteQueue(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Adds a note, unless the queue is full. @param note Note. */
    void push(const EndpointNote& note);

    /** @brief Adds notes until the queue is full. @param notes Notes. */
    void push(const std::vector<EndpointNote>& notes);

    /** @brief Drops all notes. */
    void clear() noexcept { this->announcements.clear(); }

    /** @brief Adds the notes to a message. @param notes Part of the message. */
    void describe(wire::EndpointNotes& notes);

private:
    const Clock& clock;
    std::deque<Announcement> announcements;
};

} // namespace berylwing
