#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/**
 * @brief Splits a stream of server-sent events into complete events.
 *
 * A connection may break inside an event. The incomplete event must not reach the caller, because another endpoint
 * resumes the stream by sending that event from its beginning.
 */
class EventSplitter {
public:
    /**
     * @brief Appends bytes of the stream and extracts the events that they complete.
     * @param bytes Next bytes of the stream.
     * @return Text of all complete events that were not returned before.
     */
    [[nodiscard]] std::string append(std::string_view bytes);

    /** @brief Returns the id of the last complete event that had one. @return Id, or an empty string. */
    [[nodiscard]] const std::string& lastEventId() const noexcept { return this->lastId; }

    /** @brief Returns the number of complete events so far. @return Events. */
    [[nodiscard]] std::uint32_t eventCount() const noexcept { return this->events; }

    /** @brief Sets the event after which the stream begins. @param id Id of the last event that the caller has. */
    void setLastEventId(std::string id) { this->lastId = std::move(id); }

    /** @brief Returns the bytes of the incomplete event at the end of the stream. @return Bytes. */
    [[nodiscard]] const std::string& incompleteEvent() const noexcept { return this->pending; }

    /** @brief Discards the bytes of an incomplete event. */
    void discardIncompleteEvent() { this->pending.clear(); }

private:
    std::string pending;
    std::string lastId;
    std::uint32_t events = 0;
};

} // namespace berylwing
