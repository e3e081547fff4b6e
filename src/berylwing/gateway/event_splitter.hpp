#pragma once

#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/**
 * @brief Cuts a stream of server-sent events into whole events.
 *
 * An endpoint may break off inside an event; what it sent of that event must not reach the caller when another
 * endpoint goes on with the stream.
 */
class EventSplitter {
public:
    /**
     * @brief Takes the next bytes of the stream.
     * @param bytes Bytes.
     * @return All events that are whole by now.
     */
    [[nodiscard]] std::string take(std::string_view bytes);

    /** @brief Tells the id of the last whole event. @return Id, empty if no event had one. */
    [[nodiscard]] const std::string& lastEventId() const noexcept { return this->lastId; }

    /** @brief Takes note of an event that the caller already has. @param id Id of the event. */
    void resumeAfter(std::string id) { this->lastId = std::move(id); }

    /** @brief Reads what has come of an event that is not whole. @return Bytes. */
    [[nodiscard]] const std::string& rest() const noexcept { return this->pending; }

    /** @brief Drops what has come of an event that is not whole. */
    void dropRest() { this->pending.clear(); }

private:
    std::string pending;
    std::string lastId;
};

} // namespace berylwing
