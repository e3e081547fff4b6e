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

/** @brief Identity and addresses of one daemon process. */
struct Identity {
    std::string host;
    std::string domain;
    /** Identifier of this process; tells it from earlier processes of the same host. */
    std::uint64_t incarnation = 0;
    std::string address;
    std::uint16_t linkPort = 0;
    std::uint16_t statusPort = 0;
};

/**
 * @brief Sends messages to hosts and dispatches received messages to their handlers.
 *
 * A message to this host itself is dispatched locally, so callers need not treat it differently.
 */
class Link {
    void flushChunks(const std::string& host);
    void flushAllChunks();
    void dispatch(wire::Envelope& envelope);

public:
    /** @brief Function that sends bytes to a host; returns false only if no byte has left this host. */
    using Transport = std::function<bool(const std::string& host, const std::string& bytes)>;

    /** @brief Function that handles a message of one kind; it may move from the message. */
    using Handler = std::function<void(wire::Envelope&)>;

    /** @brief Function that returns the roster version of this host's failure domain. */
    using RosterVersionReader = std::function<std::uint64_t()>;

    /**
     * @brief Creates a link without handlers.
     * @param hostClock Clock of the host.
     * @param self Identity of the host.
     * @param bytesTransport Function that sends bytes to another host.
     * @param hostMetrics Metrics of the host.
     */
    Link(Clock& hostClock, Identity self, Transport bytesTransport, Metrics& hostMetrics);

    /** @brief Returns the identity of the host. @return Identity. */
    [[nodiscard]] const Identity& identity() const noexcept { return this->self; }

    /**
     * @brief Checks if a host has left a message unanswered for longer than a live host takes to answer.
     * @param host Host.
     * @return True if the host is to be considered unreachable.
     */
    [[nodiscard]] bool isAnswerOverdue(std::string_view host) const;

    /**
     * @brief Checks if any message of a host arrived recently.
     * @param host Host; always true for this host.
     * @param length Maximum age of the last message.
     * @return True if a message arrived within that time.
     */
    [[nodiscard]] bool hasReceivedWithin(std::string_view host, Duration length) const;

    /** @brief Pings hosts with overdue answers for as long as the host runs. @return Awaitable that never completes. */
    [[nodiscard]] Task<void> run();

    /**
     * @brief Sends a message.
     * @param host Receiver.
     * @param envelope Message; the sender, its failure domain and the roster version are filled in.
     * @return False only if no byte of the message has left this host.
     */
    bool send(const std::string& host, wire::Envelope envelope);

    /**
     * @brief Sends a part of an answer, batched with others to the same host from this iteration of the event loop.
     * @param host Receiver.
     * @param chunk Part of an answer.
     */
    void sendChunk(const std::string& host, wire::Chunk chunk);

    /** @brief Parses and dispatches a message; drops malformed ones. @param bytes Bytes of one message. */
    void receive(std::string_view bytes);

    /** @brief Sets the handler of one kind of message. @param kind Kind of message. @param handler Handler. */
    void handle(wire::Envelope::MessageCase kind, Handler handler);

    /** @brief Sets the function that returns the roster version. @param reader Function. */
    void setRosterVersionReader(RosterVersionReader reader);

private:
    Clock& clock;
    Identity self;
    Transport transport;
    Metrics& metrics;
    RosterVersionReader readRosterVersion;
    std::map<wire::Envelope::MessageCase, Handler> handlers;
    /** Parts of answers to send at the end of this iteration of the event loop, by receiver. */
    std::map<std::string, wire::Envelope, std::less<>> pendingChunks;
    bool isFlushDue = false;
    /** Time of the oldest message to each host that expects an answer, with nothing received since. */
    std::map<std::string, TimePoint, std::less<>> unansweredSince;
    /** Time of the last message received from each host. */
    std::map<std::string, TimePoint, std::less<>> lastReceivedAt;
};

} // namespace berylwing
