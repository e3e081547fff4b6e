#include "berylwing/http/response_reader.hpp"

#include "berylwing/http/response_status.hpp"
#include "berylwing/http/socket_options.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16 * 1024;
constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;
/** Limit of the bytes that wait for the end of a head, chunk header or trailer. */
constexpr std::size_t kMaxUnparsedBytes = 64 * 1024;
/** Limit of the body of a response that nobody needs; reading it costs more than a new connection. */
constexpr std::size_t kMaxSkippedBytes = 64 * 1024;
/** Longest gap between two reads of a response; no engine pauses this long between two tokens. */
constexpr Duration kStreamIdleTimeout { 30'000 };

} // namespace

ResponseReader::ResponseReader(Clock& hostClock, DeadlineMonitor& deadlineMonitor, std::string& bodyScratch)
    : clock { hostClock }
    , scratch { bodyScratch }
{
    this->reset(false);
    this->callDeadline.onExpire = [this] {
        this->isExpired = true;
        this->abort();
    };
    deadlineMonitor.add(this->callDeadline);
}

void ResponseReader::reset(bool answersHead)
{
    this->isHeadRequest = answersHead;
    this->currentParser.emplace();
    this->currentParser->header_limit(kMaxHeadBytes);
    this->currentParser->body_limit(boost::none);
    this->currentParser->eager(true);
    this->currentParser->skip(answersHead);
}

bool ResponseReader::isTimeout(const boost::system::error_code& error) const
{
    return this->isExpired || error == asio::error::timed_out;
}

Task<void> ResponseReader::connect(SocketAddress address, Duration timeout, std::string localAddress)
{
    this->connection = std::make_unique<PooledConnection>(this->clock.executor());
    this->connection->openedAt = this->clock.now();
    this->setActivityDeadline(this->clock.now() + timeout);
    auto& socket = this->connection->socket;
    boost::system::error_code error;
    const asio::ip::tcp::endpoint target { asio::ip::make_address(address.address, error), address.port };
    if (error)
        throw EndpointError { EndpointFault::NotSent, address.address + " is not an IP address" };
    if (!localAddress.empty()) {
        socket.open(target.protocol(), error);
        if (!error)
            socket.bind({ asio::ip::make_address(localAddress, error), 0 }, error);
        if (error)
            throw EndpointError { EndpointFault::NotSent, "binding to the own address failed: " + error.message() };
    }
    co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        throw EndpointError { this->isTimeout(error) ? EndpointFault::Silent : EndpointFault::NotSent,
            error.message() };
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
    this->setActivityDeadline(TimePoint::max());
}

void ResponseReader::throwReadError(const boost::system::error_code& error)
{
    // The endpoint may go on sending for as long as the connection is open.
    this->abort();
    throw EndpointError { this->isTimeout(error) ? EndpointFault::Silent : EndpointFault::Broken, error.message() };
}

void ResponseReader::setActivityDeadline(TimePoint deadline)
{
    this->callDeadline.expiresAt = std::min(deadline, this->clock.now() + kStreamIdleTimeout);
}

Task<void> ResponseReader::readMore(TimePoint deadline)
{
    if (this->connection->buffer.size() > kMaxUnparsedBytes)
        this->throwReadError(http::make_error_code(http::error::buffer_overflow));
    boost::system::error_code error;
    this->setActivityDeadline(deadline);
    const auto size = co_await this->connection->socket.async_read_some(
        this->connection->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    this->connection->buffer.commit(size);
    if (error == asio::error::eof && this->currentParser->got_some())
        this->parseEnd();
    else if (error)
        this->throwReadError(error);
}

void ResponseReader::parseEnd()
{
    if (this->currentParser->need_eof() && (!this->isRequestWritten || hasUnackedBytes(this->connection->socket)))
        this->fail("the connection ended before the endpoint had received the request");
    boost::system::error_code error;
    this->currentParser->put_eof(error);
    if (error)
        this->throwReadError(error);
}

void ResponseReader::parse()
{
    boost::system::error_code error;
    const auto size = this->currentParser->put(this->connection->buffer.data(), error);
    this->connection->buffer.consume(size);
    if (error && error != http::error::need_buffer && error != http::error::need_more)
        this->throwReadError(error);
}

Task<void> ResponseReader::readHead(TimePoint deadline)
{
    for (int interimCount = 0; interimCount <= kMaxInterimResponses; ++interimCount) {
        co_await this->readNextHead(deadline);
        const auto status = this->currentParser->get().result_int();
        switch (classifyStatus(status)) {
        case StatusClass::Final:
            co_return;
        case StatusClass::Interim:
            this->reset(this->isHeadRequest);
            break;
        case StatusClass::Invalid:
            this->fail("the status " + std::to_string(status) + " is none of a response");
        }
    }
    this->fail("too many interim responses");
}

Task<void> ResponseReader::readNextHead(TimePoint deadline)
{
    this->currentParser->get().body() = { this->scratch.data(), 0, true };
    while (!this->currentParser->is_header_done()) {
        if (this->connection->buffer.size() > 0)
            this->parse();
        if (!this->currentParser->is_header_done())
            co_await this->readMore(deadline);
    }
}

Task<bool> ResponseReader::skipBody(TimePoint deadline)
{
    std::size_t skipped = 0;
    while (const auto bytes = co_await this->readBody(deadline)) {
        skipped += bytes->size();
        if (skipped > kMaxSkippedBytes)
            co_return false;
    }
    co_return true;
}

Task<std::optional<std::string>> ResponseReader::readBody(TimePoint deadline)
{
    while (!this->currentParser->is_done()) {
        auto& body = this->currentParser->get().body();
        body = { this->scratch.data(), this->scratch.size(), true };
        if (this->connection->buffer.size() > 0)
            this->parse();
        const auto size = this->scratch.size() - body.size;
        if (size > 0)
            co_return this->scratch.substr(0, size);
        if (!this->currentParser->is_done())
            co_await this->readMore(deadline);
    }
    this->callDeadline.expiresAt = TimePoint::max();
    co_return std::nullopt;
}

bool ResponseReader::isReusable()
{
    return this->connection && this->currentParser->keep_alive() && this->connection->buffer.size() == 0;
}

void ResponseReader::fail(const std::string& error)
{
    this->abort();
    throw EndpointError { EndpointFault::Broken, error };
}

void ResponseReader::abort()
{
    boost::system::error_code ignored;
    if (this->connection)
        this->connection->socket.close(ignored);
}

} // namespace berylwing
