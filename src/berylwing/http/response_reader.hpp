#pragma once

#include "berylwing/core/endpoint_error.hpp"
#include "berylwing/http/connection_pool.hpp"
#include "berylwing/http/deadline_monitor.hpp"
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

namespace berylwing {

/** @brief Reads successive HTTP responses from a connection to an endpoint, streaming their bodies. */
class ResponseReader {
    [[nodiscard]] Task<void> readMore(TimePoint deadline);
    [[nodiscard]] bool isTimeout(const boost::system::error_code& error) const;
    /** Closes the connection and throws. */
    [[noreturn]] void throwReadError(const boost::system::error_code& error);
    [[nodiscard]] Task<void> readNextHead(TimePoint deadline);
    /** Accepts the end of the connection as that of the response, or throws. */
    void parseEnd();
    void parse();

public:
    /** @brief Response parser whose body is passed on in pieces instead of being collected. */
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /**
     * @brief Creates a reader without a connection.
     * @param hostClock Clock of the host.
     * @param deadlineMonitor Monitor that enforces the read deadlines.
     * @param bodyScratch Buffer for the body of one read. The readers of a client share it, because its content is
     * copied before another coroutine can run.
     */
    ResponseReader(Clock& hostClock, DeadlineMonitor& deadlineMonitor, std::string& bodyScratch);

    /**
     * @brief Opens a new connection.
     * @param address Address of the endpoint.
     * @param timeout Time to establish the connection, in milliseconds.
     * @param localAddress Address that the connection comes from; empty if the system chooses it.
     * @throws EndpointError With Silent if the attempt timed out, otherwise with NotSent.
     */
    [[nodiscard]] Task<void> connect(SocketAddress address, Duration timeout, std::string localAddress = {});

    /**
     * @brief Records how far the request is written.
     *
     * A response that ends with its connection is complete only after a whole request: if the connection breaks during
     * the upload, the error may show at the write alone, and the next read finds an end in order.
     * @param isWritten Whether the whole request is written; false while it is being written, or after an error.
     */
    void setRequestWritten(bool isWritten) noexcept { this->isRequestWritten = isWritten; }

    /**
     * @brief Checks if the whole request is written.
     * @return False while it is being written, or after an error.
     */
    [[nodiscard]] bool hasWrittenRequest() const noexcept { return this->isRequestWritten; }

    /**
     * @brief Reads the status line and headers of the next response and skips interim responses before it.
     * @param deadline Time after which reading fails.
     * @throws EndpointError If the connection fails, the status is none of a response, or the deadline passes.
     */
    [[nodiscard]] Task<void> readHead(TimePoint deadline);

    /**
     * @brief Reads the next bytes of the body.
     * @param deadline Time after which reading fails.
     * @return Bytes, or nothing after the end of the body.
     * @throws EndpointError If the response is incomplete or invalid, or the deadline passes.
     */
    [[nodiscard]] Task<std::optional<std::string>> readBody(TimePoint deadline);

    /**
     * @brief Reads the rest of a body that is not needed, so that the connection can carry another request.
     * @param deadline Time after which reading fails.
     * @return False if the body is so long that the connection has to be closed.
     * @throws EndpointError As readBody().
     */
    [[nodiscard]] Task<bool> skipBody(TimePoint deadline);

    /**
     * @brief Replaces the parser, to read the next response on the connection.
     * @param answersHead Whether the response answers a HEAD request and so has no body.
     */
    void reset(bool answersHead);

    /**
     * @brief Checks if the connection can carry another request.
     * @return True if it is kept alive and no bytes are left in its buffer.
     */
    [[nodiscard]] bool isReusable();

    /**
     * @brief Sets the time by which the endpoint has to send its next bytes, at most 30 s from now.
     * @param deadline Time after which the connection is closed.
     */
    void setActivityDeadline(TimePoint deadline);

    /** @brief Closes the connection immediately; a pending operation fails. */
    void abort();

    /**
     * @brief Closes the connection, on which the endpoint may go on sending.
     * @param error Description.
     * @throws EndpointError With Broken.
     */
    [[noreturn]] void fail(const std::string& error);

    /** @brief Returns the parser of the current response. */
    [[nodiscard]] Parser& parser() { return *this->currentParser; }

    PooledConnectionPtr connection;

private:
    Clock& clock;
    std::string& scratch;
    std::optional<Parser> currentParser;
    CallDeadline callDeadline;
    bool isExpired = false;
    bool isHeadRequest = false;
    bool isRequestWritten = false;
};

} // namespace berylwing
