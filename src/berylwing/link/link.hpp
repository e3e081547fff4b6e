#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/link/messages.pb.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace berylwing {

class Metrics;

/** @brief Name and place of one daemon process. */
struct Identity {
    std::string host;
    std::string domain;
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint16_t linkPort = 0;
    std::uint16_t statusPort = 0;
};

/**
 * @brief Sends messages to other hosts and hands received ones to their handlers.
 *
 * A message to the host itself takes the same way, so that no caller has to tell the two apart.
 */
class Link {
    void flushChunks(const std::string& host);
    void flushAllChunks();
    void dispatch(wire::Envelope& envelope);

public:
    /** @brief Function that sends bytes to a host; false if the bytes surely never left this host. */
    using Transport = std::function<bool(const std::string& host, const std::string& bytes)>;

    /** @brief Function that handles one kind of message, from which it may move. */
    using Handler = std::function<void(wire::Envelope&)>;

    /** @brief Function that reads the version of the roster of this host's failure domain. */
    using RosterVersionReader = std::function<std::uint64_t()>;

    /**
     * @brief Creates a link without handlers.
     * @param hostClock Clock of the host.
     * @param self Identity of the host.
     * @param bytesTransport Function that sends bytes.
     * @param hostMetrics Metrics of the host.
     */
    Link(Clock& hostClock, Identity self, Transport bytesTransport, Metrics& hostMetrics);

    /** @brief Reads the identity of the host. @return Identity. */
    [[nodiscard]] const Identity& identity() const noexcept { return this->self; }

    /**
     * @brief Tells whether a host owes an answer for longer than a living host takes.
     * @param host Host.
     * @return True if the connection is to be taken for silent.
     */
    [[nodiscard]] bool isAnswerOverdue(std::string_view host) const;

    /**
     * @brief Tells whether a message of a host came lately.
     * @param host Host; the host itself counts as heard.
     * @param length Time within which the message has to have come.
     * @return True if it did.
     */
    [[nodiscard]] bool hasReceivedWithin(std::string_view host, Duration length) const;

    /** @brief Pings hosts whose answer is overdue, for as long as the host runs. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /**
     * @brief Sends a message.
     * @param host Receiver.
     * @param envelope Message; sender and roster version are filled in.
     * @return False if the message surely never left this host.
     */
    bool send(const std::string& host, wire::Envelope envelope);

    /**
     * @brief Sends a part of an answer, together with the others to the same host that are ready in this turn.
     * @param host Receiver.
     * @param chunk Part of an answer.
     */
    void sendChunk(const std::string& host, wire::Chunk chunk);

    /** @brief Handles received bytes; anything that is not a message is dropped. @param bytes Bytes of one message. */
    void receive(std::string_view bytes);

    /** @brief Registers the handler of one kind of message. @param kind Kind. @param handler Handler. */
    void handle(wire::Envelope::MessageCase kind, Handler handler);

    /** @brief Sets the function that reads the roster version. @param reader Function. */
    void setRosterVersionReader(RosterVersionReader reader);

private:
    Clock& clock;
    Identity self;
    Transport transport;
    Metrics& metrics;
    RosterVersionReader readRosterVersion;
    std::map<wire::Envelope::MessageCase, Handler> handlers;
    /** Parts of answers that wait for the end of this turn, by receiver. */
    std::map<std::string, wire::Envelope, std::less<>> pendingChunks;
    bool isFlushDue = false;
    /** Time of the first message to each host that awaits an answer. */
    std::map<std::string, TimePoint, std::less<>> unansweredSince;
    std::map<std::string, TimePoint, std::less<>> lastReceivedAt;
};

} // namespace berylwing
