#pragma once

#include "berylwing/core/event.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "berylwing/http/call_watch.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <string>

namespace berylwing {

/** @brief One connection of a caller and the answer that is being written to it. */
class GatewayConnection
    : public std::enable_shared_from_this<GatewayConnection>,
      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    [[nodiscard]] Task<bool> serveOne();
    [[nodiscard]] Task<bool> waitForFirstByte(const CallerBounds& bounds);
    [[nodiscard]] Task<bool> readRequest(Parser& parser, const CallerBounds& bounds);
    [[nodiscard]] Task<void> refuseInput(const boost::system::error_code& error);
    [[nodiscard]] Task<void> answer(Parser& parser);
    [[nodiscard]] Task<void> finish(const Outcome& outcome);
    [[nodiscard]] Task<void> writeHead(const ResponseHead& head);
    [[nodiscard]] Task<void> writeBody(std::string_view bytes);
    [[nodiscard]] Task<void> writeRefusal(const Outcome& outcome);
    [[nodiscard]] Task<void> write(std::string_view bytes);
    [[nodiscard]] Task<void> watchCaller(GatewayRequest& request);
    [[nodiscard]] Task<void> endWatch();
    void expireAt(TimePoint deadline) { this->watch.silentAt = deadline; }

public:
    /**
     * @brief Takes over a connection.
     * @param hostClock Clock of the host.
     * @param callerSocket Connection.
     * @param hostGateway Gateway that answers.
     * @param watches Watches of all calls.
     */
    GatewayConnection(
        Clock& hostClock, boost::asio::ip::tcp::socket callerSocket, Gateway& hostGateway, CallWatches& watches);

    /** @brief Answers the caller's requests until the connection ends. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Tells whether no request has begun. @return True if the connection may be closed. */
    [[nodiscard]] bool isIdle() const noexcept { return this->idle; }

    /** @brief Closes the connection at once. */
    void close();

private:
    Clock& clock;
    boost::asio::ip::tcp::socket socket;
    Gateway& gateway;
    CallWatch watch;
    boost::beast::flat_buffer buffer;
    Event watchEnded;
    /** Head of the answer until it is written together with the first bytes of the body. */
    std::string unwritten;
    std::string attemptId;
    bool idle = true;
    bool keepAlive = true;
    bool isHeadWritten = false;
    bool isChunked = false;
    bool isWatching = false;
    bool isWatchStopping = false;
};

} // namespace berylwing
