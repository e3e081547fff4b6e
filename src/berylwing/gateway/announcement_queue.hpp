#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace berylwing {

/** @brief Fact that hosts gossip about: an endpoint has a shared prompt in its cache. */
struct EndpointNote {
    /** Hash of the prompt's id. */
    std::uint64_t subject = 0;
    /** Hash of the endpoint's id. */
    std::uint32_t endpoint = 0;
};

/** @brief Parses the notes of a message. @param notes Field of the message. @return Notes in their order. */
[[nodiscard]] std::vector<EndpointNote> parseNotes(const wire::EndpointNotes& notes);

/**
 * @brief Queues notes for other hosts.
 *
 * Each note is repeated in all messages of a short period, since messages are datagrams and may be lost.
 */
class AnnouncementQueue {
    struct Announcement {
        EndpointNote note;
        TimePoint queuedAt {};
    };

public:
    /** @brief Creates an empty queue. @param hostClock Clock of the host. */
    explicit AnnouncementQueue(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Adds a note; drops it if the queue is full. @param note Note. */
    void push(const EndpointNote& note);

    /** @brief Adds notes; drops those that do not fit. @param notes Notes. */
    void push(const std::vector<EndpointNote>& notes);

    /** @brief Removes all notes. */
    void clear() noexcept { this->announcements.clear(); }

    /** @brief Removes expired notes and appends the others to a message. @param notes Field of the message. */
    void appendTo(wire::EndpointNotes& notes);

private:
    const Clock& clock;
    std::deque<Announcement> announcements;
};

} // namespace berylwing
