#pragma once

#include "berylwing/core/event.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "berylwing/http/deadline_monitor.hpp"
#include "berylwing/http/request_reader.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace berylwing {

/** @brief Caller connection of a gateway and the response in progress on it. */
class GatewayConnection
    : public std::enable_shared_from_this<GatewayConnection>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    using Parser = RequestReader::Parser;

    [[nodiscard]] Task<bool> serveRequest();
    /** Refuses the current request after an exception, unless a part of its answer was written. */
    [[nodiscard]] Task<void> refuseFailed(std::string_view error);
    [[nodiscard]] Task<bool> waitForFirstByte();
    [[nodiscard]] RequestReaderHooks makeReaderHooks();
    [[nodiscard]] Task<bool> readRequest(Parser& parser, const CallerBounds& bounds);
    /** Reads the body after the head, unless the host has no room for it. */
    [[nodiscard]] Task<boost::system::error_code> readBody(Parser& parser);
    /** Drops what the caller still sends, up to a time and a size. */
    [[nodiscard]] Task<void> drainInput();
    /** Reserves memory for the request on its way to an endpoint. */
    [[nodiscard]] Task<bool> reserveCopies(const GatewayRequest& request);
    /** Gives back what the last request needed. */
    void releaseRequest();
    /** Reserves memory for one more read of requests that were sent ahead. */
    [[nodiscard]] bool reservePipelined();
    [[nodiscard]] Task<void> refuseInput(const NotRun& refusal, std::string_view error);
    /** Checks if the connection is kept open after the current response. */
    [[nodiscard]] bool isKeptAlive() const;
    [[nodiscard]] Task<void> handleRequest(Parser& parser);
    /** Reads who passes a request on. @return False if it is not known as a host of the fleet. */
    [[nodiscard]] bool readRelay(GatewayRequest& request) const;
    [[nodiscard]] Task<void> finish(const Outcome& outcome);
    [[nodiscard]] Task<void> writeHead(const ResponseHead& head);
    [[nodiscard]] Task<void> writeBody(std::string_view bytes);
    [[nodiscard]] Task<void> writeRefusal(const Outcome& outcome);
    [[nodiscard]] Task<void> write(std::string_view bytes);
    [[nodiscard]] Task<void> monitorCaller(GatewayRequest& request);
    [[nodiscard]] Task<void> stopMonitoring();
    [[nodiscard]] bool isClosedByCaller();
    void logCallerGone();
    void setDeadline(TimePoint deadline);
    /** Closes the connection, unless input is left to read or a newer plan allows it to be idle for longer. */
    void expire();

public:
    /**
     * @brief Serves another host, whose requests are those of its callers.
     * @param address Address of the other host.
     */
    void serveHost(std::string address) { this->hostAddress = std::move(address); }

    /**
     * @brief Creates a handler for an accepted connection.
     * @param hostClock Clock of the host.
     * @param callerSocket Accepted connection.
     * @param hostGateway Gateway that handles the requests.
     * @param deadlineMonitor Monitor that closes the connection when its deadline passes.
     * @param memory Memory of the host.
     */
    GatewayConnection(Clock& hostClock, boost::asio::ip::tcp::socket callerSocket, Gateway& hostGateway,
        DeadlineMonitor& deadlineMonitor, std::shared_ptr<HostMemory> memory);

    /** @brief Reserves what each connection needs, for which others are closed. @return False if there is no room. */
    [[nodiscard]] Task<bool> reserve();

    /** @brief Returns the connection as the shedder sees it. @return Connection. */
    [[nodiscard]] const SheddableConnection& sheddable() const noexcept { return this->hold.connection; }

    /** @brief Serves requests until the connection ends. @return Awaitable that completes at its end. */
    [[nodiscard]] Task<void> run();

    /** @brief Checks if no request has begun to arrive, so that the connection may be closed. */
    [[nodiscard]] bool isIdle() const;

    /** @brief Ends the reading of a request, which is refused as not run; does nothing while none is read. */
    void endReading();

    /** @brief Closes the connection immediately; a pending operation fails. */
    void close();

private:
    Clock& clock;
    boost::asio::ip::tcp::socket socket;
    Gateway& gateway;
    CallDeadline connectionDeadline;
    /** Whether a check has found the current deadline passed. */
    bool isDeadlinePassed = false;
    CallerHold hold;
    boost::beast::flat_buffer buffer;
    RequestReader reader;
    /** Time at which the body that is being read has to be complete. */
    TimePoint bodyDueAt {};
    /** Deadline as it was set, without the time for which this host stood still meanwhile. */
    TimePoint setDeadlineAt = TimePoint::max();
    /** Time of the end of the last answer. */
    TimePoint idleSince {};
    Event monitorStopped;
    /** Formatted response head, which is written together with the first bytes of the body. */
    std::string pendingHead;
    std::string attemptId;
    /** Address of the other host that has opened the connection; empty for a caller. */
    std::optional<std::string> hostAddress;
    /** Sends of the current request to endpoints. */
    unsigned sends = 0;
    bool isAwaitingRequest = true;
    /** Whether a request is being read. */
    bool isReading = false;
    bool isReadingEnded = false;
    bool keepAlive = true;
    /** Whether bytes of the answer may have been written. */
    bool isAnswerBegun = false;
    bool isChunked = false;
    bool isMonitoring = false;
    bool isMonitorStopping = false;
};

} // namespace berylwing
