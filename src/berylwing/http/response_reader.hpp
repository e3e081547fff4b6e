#pragma once

#include "berylwing/core/endpoint_error.hpp"
#include "berylwing/http/connection_pool.hpp"
#include "berylwing/http/deadline_monitor.hpp"
#include <boost/beast/http.hpp>
#include <optional>
#include <string>

namespace berylwing {

/** @brief Reads one answer after another from a connection to an endpoint, piece by piece. */
class ResponseReader {
    [[nodiscard]] Task<void> readMore(TimePoint deadline);
    [[nodiscard]] bool isTimeout(const boost::system::error_code& error) const;
    [[noreturn]] void throwReadError(const boost::system::error_code& error) const;
    void parse();

public:
    /** @brief Parser of an answer whose body is handed on in pieces. */
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    /**
     * @brief Creates a reader without a connection.
     * @param hostClock Clock of the host.
     * @param deadlineMonitor Watches of all calls.
     * @param bodyScratch Room for the body of one read, which is copied before anything else runs.
     */
    ResponseReader(Clock& hostClock, DeadlineMonitor& deadlineMonitor, std::string& bodyScratch);

    /**
     * @brief Opens a new connection.
     * @param address Endpoint.
     * @param timeout Time for the endpoint's sign of life, in milliseconds.
     * @throws EndpointError With Silent if the endpoint gave none, else with NotSent.
     */
    [[nodiscard]] Task<void> connect(SocketAddress address, Duration timeout);

    /** @brief Reads the head of the next answer. @param deadline Deadline. @throws EndpointError If none comes. */
    [[nodiscard]] Task<void> readHead(TimePoint deadline);

    /**
     * @brief Reads the next bytes of the body.
     * @param deadline Deadline.
     * @return Bytes, or nothing after the whole body.
     * @throws EndpointError If the answer breaks off.
     */
    [[nodiscard]] Task<std::optional<std::string>> readBody(TimePoint deadline);

    /** @brief Prepares for the next answer. @param answersHead Whether it answers a request for a head alone. */
    void reset(bool answersHead);

    /** @brief Tells whether the connection can carry another call. @return True if nothing is outstanding on it. */
    [[nodiscard]] bool isReusable();

    /** @brief Sets the time until which the endpoint has to show a sign of life. @param deadline Deadline. */
    void setActivityDeadline(TimePoint deadline);

    /** @brief Closes the connection at once; a pending operation fails. */
    void abort();

    /** @brief Reads the parser of the current answer. @return Parser. */
    [[nodiscard]] Parser& parser() { return *this->currentParser; }

    PooledConnectionPtr connection;

private:
    Clock& clock;
    std::string& scratch;
    std::optional<Parser> currentParser;
    CallDeadline callDeadline;
    bool isExpired = false;
};

} // namespace berylwing
