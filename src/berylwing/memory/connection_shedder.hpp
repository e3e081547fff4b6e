#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <boost/intrusive/list.hpp>
#include <cstdint>
#include <functional>

namespace berylwing {

/** @brief Lists what a caller's connection is doing. */
enum class CallerState {
    /** No request has begun to arrive. */
    Idle,
    ReadingHead,
    ReadingBody,
    /** A request is served; the connection is not closed for the sake of others. */
    Answering,
    /** The last answer was written, and what the caller still sends is dropped. */
    Leaving,
};

/** @brief Lists why a connection is closed for the sake of others. */
enum class ShedReason {
    Descriptors,
    Memory,
};

/** @brief Names of the reasons, as in metrics. */
inline constexpr EnumNames<ShedReason, 2> kShedReasonNames { { "descriptors", "memory" } };

class ConnectionShedder;

/** @brief Connection of a caller as the shedder sees it; it counts until it is destroyed. */
struct SheddableConnection
    : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    /** @brief Adds a connection without a request. @param connectionShedder Shedder, which may close it. */
    explicit SheddableConnection(ConnectionShedder& connectionShedder);
    ~SheddableConnection();
    SheddableConnection(const SheddableConnection&) = delete;
    SheddableConnection& operator=(const SheddableConnection&) = delete;

    /** @brief Changes the state. @param next State that begins now. */
    void enter(CallerState next);

    /** @brief Records bytes that the caller has sent. @param bytes Bytes. */
    void recordMoved(std::size_t bytes);

    ConnectionShedder& shedder;
    CallerState state = CallerState::Idle;
    TimePoint stateSince {};
    /** Time at which the caller sent bytes last. */
    TimePoint movedAt {};
    /** Bytes that the caller has sent in the current state, of which older ones count less and less. */
    double movedBytes = 0;
    /** Whether the connection was closed for the sake of others; it counts no longer. */
    bool isClosed = false;
    /** Whether the connection is about to give its memory back; it counts until it is closed. */
    bool isEnding = false;
    /** Returns the bytes that closing the connection gives back. */
    std::function<std::size_t()> heldBytes;
    /** Checks if nothing has arrived that was not read, so that closing an idle connection loses no request. */
    std::function<bool()> isQuiet;
    /** Closes the connection at once. */
    std::function<void()> close;
    /** Ends the reading of a body, which is given back before the caller gets its refusal. */
    std::function<void()> refuseBody;
};

/** @brief Lists what making room for a connection has come to. */
enum class ShedResult {
    /** Another connection ends, which gives its bytes back in its next turn of the event loop. */
    Other,
    /** The connection that asks is itself the one to end. */
    Self,
    /** No connection can be closed. */
    None,
};

/**
 * @brief Decides which callers' connections are closed when descriptors or memory run out.
 *
 * For a descriptor, connections go first that need none any more, then those that are idle for longest, then those
 * whose head or body stands still for longest. For memory, those go first that hold most and moved least. A request
 * that was read as a whole keeps its connection.
 */
class ConnectionShedder {
    friend struct SheddableConnection;

    using Connections = boost::intrusive::list<SheddableConnection, boost::intrusive::constant_time_size<false>>;

    [[nodiscard]] static bool canClose(const SheddableConnection& connection);
    [[nodiscard]] double weightOf(const SheddableConnection& connection) const;
    void shed(SheddableConnection& connection, ShedReason reason);

public:
    /** @brief Creates a shedder without connections. @param hostClock Clock. @param maxConnections Bound. */
    ConnectionShedder(const Clock& hostClock, std::size_t maxConnections)
        : clock { hostClock }
        , maxConnections { maxConnections }
    {
    }

    ConnectionShedder(const ConnectionShedder&) = delete;
    ConnectionShedder& operator=(const ConnectionShedder&) = delete;

    /** @brief Counts the connections that are open. @return Connections. */
    [[nodiscard]] std::size_t size() const noexcept { return this->count; }

    /** @brief Checks if no further connection has room. @return True if one has to go before the next. */
    [[nodiscard]] bool isFull() const noexcept { return this->count >= this->maxConnections; }

    /** @brief Checks if more connections are open than the bound allows. @return True if one has to go. */
    [[nodiscard]] bool isOverBound() const noexcept { return this->count > this->maxConnections; }

    /**
     * @brief Closes the connection that can best be spared for a descriptor.
     * @param newest Connection for which room is made; it stays.
     * @return False if none can be closed.
     */
    [[nodiscard]] bool shedForDescriptor(const SheddableConnection* newest);

    /**
     * @brief Chooses the connection that holds most and moved least, and closes it unless it is the one that asks.
     * @param asking Connection that needs memory; a null pointer if that is none of them.
     * @return What was done.
     */
    [[nodiscard]] ShedResult shedForMemory(const SheddableConnection* asking);

    /** Called for each connection that is closed for the sake of others. */
    std::function<void(ShedReason)> onShed;

private:
    const Clock& clock;
    std::size_t maxConnections;
    std::size_t count = 0;
    Connections connections;
};

} // namespace berylwing
