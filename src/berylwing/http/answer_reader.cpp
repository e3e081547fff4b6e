#include "berylwing/http/answer_reader.hpp"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16 * 1024;
/** Longest pause inside an answer; no engine pauses so long between two tokens. */
constexpr Duration kStreamSilence { 30'000 };

} // namespace

AnswerReader::AnswerReader(Clock& hostClock, CallWatches& watches, std::string& bodyScratch)
    : clock { hostClock }
    , scratch { bodyScratch }
{
    this->restart(false);
    this->watch.expire = [this] {
        this->isExpired = true;
        this->abort();
    };
    watches.add(this->watch);
}

void AnswerReader::restart(bool answersHead)
{
    this->current.emplace();
    this->current->body_limit(boost::none);
    this->current->eager(true);
    this->current->skip(answersHead);
}

bool AnswerReader::isSilence(const boost::system::error_code& error) const
{
    return this->isExpired || error == asio::error::timed_out;
}

Task<void> AnswerReader::connect(SocketAddress address, Duration timeout)
{
    this->connection = std::make_unique<PooledConnection>(this->clock.executor());
    this->connection->openedAt = this->clock.now();
    this->expectLifeUntil(this->clock.now() + timeout);
    auto& socket = this->connection->socket;
    const asio::ip::tcp::endpoint target { asio::ip::make_address(address.address), address.port };
    boost::system::error_code error;
    co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        throw EndpointError { this->isSilence(error) ? EndpointFault::Silent : EndpointFault::NotSent,
            error.message() };
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
    this->expectLifeUntil(TimePoint::max());
}

void AnswerReader::throwBroken(const boost::system::error_code& error) const
{
    throw EndpointError { this->isSilence(error) ? EndpointFault::Silent : EndpointFault::Broken, error.message() };
}

void AnswerReader::expectLifeUntil(TimePoint deadline)
{
    this->watch.silentAt = std::min(deadline, this->clock.now() + kStreamSilence);
}

Task<void> AnswerReader::readMore(TimePoint deadline)
{
    boost::system::error_code error;
    this->expectLifeUntil(deadline);
    const auto size = co_await this->connection->socket.async_read_some(
        this->connection->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    this->connection->buffer.commit(size);
    // An end before the first byte is no answer at all.
    if (error == asio::error::eof && this->current->got_some()) {
        error = {};
        this->current->put_eof(error);
    }
    if (error)
        this->throwBroken(error);
}

void AnswerReader::parse()
{
    boost::system::error_code error;
    const auto size = this->current->put(this->connection->buffer.data(), error);
    this->connection->buffer.consume(size);
    if (error && error != http::error::need_buffer && error != http::error::need_more)
        this->throwBroken(error);
}

Task<void> AnswerReader::readHead(TimePoint deadline)
{
    this->current->get().body() = { this->scratch.data(), 0, true };
    while (!this->current->is_header_done()) {
        if (this->connection->buffer.size() > 0)
            this->parse();
        if (!this->current->is_header_done())
            co_await this->readMore(deadline);
    }
}

Task<std::optional<std::string>> AnswerReader::readBody(TimePoint deadline)
{
    while (!this->current->is_done()) {
        auto& body = this->current->get().body();
        body = { this->scratch.data(), this->scratch.size(), true };
        if (this->connection->buffer.size() > 0)
            this->parse();
        const auto size = this->scratch.size() - body.size;
        if (size > 0)
            co_return this->scratch.substr(0, size);
        if (!this->current->is_done())
            co_await this->readMore(deadline);
    }
    this->watch.silentAt = TimePoint::max();
    co_return std::nullopt;
}

bool AnswerReader::isReusable()
{
    return this->connection && this->current->keep_alive() && this->connection->buffer.size() == 0;
}

void AnswerReader::abort()
{
    boost::system::error_code ignored;
    if (this->connection)
        this->connection->socket.close(ignored);
}

} // namespace berylwing
