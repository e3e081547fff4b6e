#include "berylwing/http/gateway_connection.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/relay_fields.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/http/gateway_response.hpp"
#include "berylwing/http/http_text.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = kCallerReadBytes;
/** Bytes that each connection needs for its input, whatever the caller sends. */
constexpr std::size_t kConnectionBytes = kCallerReadBytes;
/** Bytes that a request needs beside the copy of its body: a piece of the answer on its way. */
constexpr std::size_t kAnswerBytes = 16 * 1024;
/** Maximum bytes of pipelined requests that are buffered while a response is in progress. */
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/** Time to receive the body after the headers, enough for the largest allowed body on a slow link. */
constexpr Duration kBodyTimeout { 15'000 };
/** Time for one write of a piece of an answer; a caller that does not read within it is disconnected. */
constexpr Duration kWriteTimeout { 10'000 };
/** Time for which input is drained after a refusal, so that a caller that is still sending can read it. */
constexpr Duration kLingerTimeout { 500 };

/** Checks if the caller sent an invalid request. A connection that was closed or failed gets no response. */
bool isInvalidInput(const boost::system::error_code& error)
{
    return error.category() != asio::error::get_system_category() && error != http::error::end_of_stream
        && error != http::error::partial_message;
}

/** Returns the Host header without its port. */
std::string getHostname(const HeaderFields& fields)
{
    const auto text = toString(fields[http::field::host]);
    return text.substr(0, text.find(':'));
}

} // namespace

GatewayConnection::GatewayConnection(Clock& hostClock, asio::ip::tcp::socket callerSocket, Gateway& hostGateway,
    DeadlineMonitor& deadlineMonitor, std::shared_ptr<HostMemory> memory)
    : clock { hostClock }
    , socket { std::move(callerSocket) }
    , gateway { hostGateway }
    , hold { std::move(memory) }
    , reader { this->buffer, this->hold, this->makeReaderHooks() }
    , monitorStopped { hostClock }
{
    this->hold.connection.isQuiet = [this] { return this->isIdle(); };
    this->hold.connection.close = [this] { this->close(); };
    this->hold.connection.refuseBody = [this] {
        boost::system::error_code ignored;
        this->socket.cancel(ignored);
    };
    this->connectionDeadline.isExtendedByStalls = true;
    this->connectionDeadline.onExpire = [this] { this->expire(); };
    deadlineMonitor.add(this->connectionDeadline);
}

void GatewayConnection::setDeadline(TimePoint deadline)
{
    this->connectionDeadline.expiresAt = deadline;
    this->setDeadlineAt = deadline;
    this->isDeadlinePassed = false;
}

void GatewayConnection::expire()
{
    if (this->isAwaitingRequest && this->clock.now() < this->idleSince + this->gateway.callerBounds().idleTimeout)
        return;
    boost::system::error_code ignored;
    const bool isReceiving = this->isReading || this->isAwaitingRequest;
    if (isReceiving && this->socket.available(ignored) > 0)
        return;
    // Input that was already read may wait for its turn in the queue of the event loop.
    if (!std::exchange(this->isDeadlinePassed, true))
        return;
    this->close();
}

void GatewayConnection::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

bool GatewayConnection::isIdle() const
{
    boost::system::error_code ignored;
    // Closing a socket with unread bytes would reset the connection of a caller that has sent its request.
    return this->isAwaitingRequest && this->socket.available(ignored) == 0;
}

bool GatewayConnection::isClosedByCaller()
{
    char byte = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error && error != asio::error::would_block;
}

void GatewayConnection::endReading()
{
    if (!this->isReading)
        return;
    this->isReadingEnded = true;
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
}

bool GatewayConnection::isKeptAlive() const
{
    // Pipelined requests that were read are answered as well.
    return this->keepAlive && (!this->gateway.isStopping() || this->buffer.size() > 0);
}

Task<void> GatewayConnection::run()
{
    const auto self = this->shared_from_this();
    while (this->keepAlive && this->socket.is_open())
        this->keepAlive = co_await this->serveRequest();
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    this->close();
}

Task<bool> GatewayConnection::waitForFirstByte()
{
    if (this->buffer.size() > 0)
        co_return true;
    this->isAwaitingRequest = true;
    this->hold.connection.enter(CallerState::Idle);
    this->idleSince = this->clock.now();
    this->setDeadline(this->idleSince + this->gateway.callerBounds().idleTimeout);
    boost::system::error_code error;
    const auto size = co_await this->socket.async_read_some(
        this->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    this->buffer.commit(size);
    this->hold.connection.recordMoved(size);
    this->isAwaitingRequest = false;
    co_return !error && this->socket.is_open();
}

RequestReaderHooks GatewayConnection::makeReaderHooks()
{
    RequestReaderHooks hooks;
    hooks.readSome = [this](asio::mutable_buffer target, boost::system::error_code& error) {
        return this->socket.async_read_some(target, asio::redirect_error(asio::use_awaitable, error));
    };
    hooks.onProgress = [this] {
        // The time for which this host stood still was added to the deadline.
        if (this->connectionDeadline.expiresAt > this->setDeadlineAt)
            this->bodyDueAt += this->connectionDeadline.expiresAt - this->setDeadlineAt;
        const auto windowEnd = this->clock.now() + this->hold.host->capacity.bodyProgressWindow;
        this->setDeadline(std::min(this->bodyDueAt, windowEnd));
    };
    return hooks;
}

Task<boost::system::error_code> GatewayConnection::readBody(Parser& parser)
{
    if (!this->reader.admitsBody(parser))
        co_return asio::error::no_memory;
    if (http::token_list { parser.get()[http::field::expect] }.exists("100-continue"))
        co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
    this->bodyDueAt = this->clock.now() + kBodyTimeout;
    this->hold.connection.enter(CallerState::ReadingBody);
    this->isReading = true;
    const auto error = co_await this->reader.readBody(parser);
    this->isReading = false;
    co_return error;
}

Task<bool> GatewayConnection::readRequest(Parser& parser, const CallerBounds& bounds)
{
    this->setDeadline(this->clock.now() + bounds.headerTimeout);
    this->hold.connection.enter(CallerState::ReadingHead);
    this->isReading = true;
    auto error = co_await this->reader.readHead(parser);
    this->isReading = false;
    if (!error && !parser.is_done())
        error = co_await this->readBody(parser);
    // It may have been closed to make room while what was read waited for its turn.
    if (!error && !this->socket.is_open())
        co_return false;
    if (!error) {
        this->hold.connection.enter(CallerState::Answering);
        co_return true;
    }
    const bool isOutOfRoom = error == asio::error::no_memory || this->hold.connection.isEnding;
    if (parser.is_header_done())
        this->attemptId = this->gateway.platformProtocol().readRequest(parser.get()).attemptId;
    // What was read of the body is given back before the refusal is written, which may take the caller a while to read.
    std::string {}.swap(parser.get().body());
    this->hold.bodyBytes.shrink(0);
    this->hold.connection.enter(CallerState::Leaving);
    const bool isOpen = this->socket.is_open();
    const auto retryAfter = retryAfterOf(hashText(this->attemptId));
    if (isOpen && isOutOfRoom) {
        const NotRun refusal { Refusal::HostAtBound, retryAfter };
        co_await this->refuseInput(refusal, "no memory for the body");
    } else if (isOpen && this->isReadingEnded && error == asio::error::operation_aborted) {
        const NotRun refusal { Refusal::HostLeaving, retryAfter };
        co_await this->refuseInput(refusal, "the host stops");
    } else if (isOpen && isInvalidInput(error)) {
        const NotRun refusal { toRefusal(error) };
        co_await this->refuseInput(refusal, error.message());
    }
    co_return false;
}

Task<bool> GatewayConnection::serveRequest()
{
    const bool hasInput = co_await this->waitForFirstByte();
    if (!hasInput)
        co_return false;
    // A newer plan may have come while the connection was idle.
    const auto bounds = this->gateway.callerBounds();
    this->isAwaitingRequest = false;
    this->attemptId.clear();
    this->sends = 0;
    this->isAnswerBegun = false;
    this->pendingHead.clear();
    std::string error;
    Parser parser;
    this->reader.begin(parser, bounds.maxHeaderBytes, bounds.maxBodyBytes);
    try {
        const bool hasRequest = co_await this->readRequest(parser, bounds);
        if (!hasRequest)
            co_return false;
        this->keepAlive = parser.get().keep_alive();
        co_await this->handleRequest(parser);
        this->releaseRequest();
        co_return this->keepAlive;
    } catch (const CallerGoneError&) {
        this->logCallerGone();
        co_return false;
    } catch (const std::exception& exception) {
        error = exception.what();
    }
    try {
        co_await this->refuseFailed(error);
    } catch (const CallerGoneError&) {
        this->logCallerGone();
    }
    co_return false;
}

void GatewayConnection::logCallerGone()
{
    LogLine line { LogEvent::CallerLeft };
    line.add("sends", std::int64_t { this->sends });
    this->gateway.decisionLog().write(this->attemptId, std::move(line));
}

Task<void> GatewayConnection::refuseFailed(std::string_view error)
{
    this->gateway.recordRefusal(this->attemptId, Refusal::InternalError, error);
    this->keepAlive = false;
    const Outcome outcome { OutcomeUnknown { Refusal::InternalError } };
    co_await this->finish(outcome);
}

Task<void> GatewayConnection::refuseInput(const NotRun& refusal, std::string_view error)
{
    this->gateway.recordRefusal(this->attemptId, refusal.reason, error);
    this->keepAlive = false;
    const Outcome outcome { refusal };
    co_await this->writeRefusal(outcome);
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    co_await this->drainInput();
}

Task<void> GatewayConnection::drainInput()
{
    // Closing a socket with unread bytes sends a reset, which can discard the refusal before the caller has read it.
    this->hold.connection.enter(CallerState::Leaving);
    this->setDeadline(this->clock.now() + kLingerTimeout);
    this->buffer.clear();
    const auto maxBytes = this->gateway.callerBounds().maxBodyBytes;
    boost::system::error_code ended;
    for (std::uint64_t drained = 0; !ended && drained <= maxBytes;) {
        drained += co_await this->socket.async_read_some(
            this->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, ended));
    }
}

Task<bool> GatewayConnection::reserve() { return this->hold.grow(this->hold.connectionBytes, kConnectionBytes); }

Task<bool> GatewayConnection::reserveCopies(const GatewayRequest& request)
{
    // The head is copied for the send and for the connection to the endpoint.
    const auto copies = request.body.size() + 2 * this->hold.fieldBytes.size();
    return this->hold.grow(this->hold.endpointBytes, copies + kAnswerBytes);
}

bool GatewayConnection::reservePipelined()
{
    // What fits into one read is covered by what every connection holds.
    return this->hold.pipelinedBytes.tryGrow(this->buffer.size());
}

void GatewayConnection::releaseRequest()
{
    this->hold.fieldBytes.shrink(0);
    this->hold.bodyBytes.shrink(0);
    this->hold.endpointBytes.shrink(0);
    if (this->buffer.capacity() > kReadBytes)
        this->buffer.shrink_to_fit();
    this->hold.connectionBytes.shrink(kConnectionBytes);
    this->hold.pipelinedBytes.shrink(this->buffer.size() > kReadBytes ? this->buffer.size() - kReadBytes : 0);
}

bool GatewayConnection::readRelay(GatewayRequest& request) const
{
    const auto name = this->gateway.findHost(*this->hostAddress);
    request.relay = takeRelay(request.fields);
    if (!request.relay || name.empty())
        return false;
    request.relay->host = name;
    request.arrivedAt -= request.relay->elapsed;
    return true;
}

Task<void> GatewayConnection::handleRequest(Parser& parser)
{
    // Covers the writing of the response as well: a graceful stop waits until its last byte is written.
    const Gateway::RequestInProgress progress { this->gateway };
    auto message = parser.release();
    GatewayRequest request;
    request.arrivedAt = this->clock.now();
    request.method = toString(message.method_string());
    request.target = toString(message.target());
    request.hostname = getHostname(message);
    request.metadata = this->gateway.platformProtocol().readRequest(message);
    this->attemptId = request.metadata.attemptId;
    request.body = std::move(message.body());
    request.fields = std::move(message.base());
    removeConnectionFields(request.fields);
    request.isCallerClosed = [this] { return this->isClosedByCaller(); };
    this->setDeadline(TimePoint::max());
    if (this->hostAddress && !this->readRelay(request)) {
        const Outcome outcome { NotRun { Refusal::ConfigurationUnknown, retryAfterOf(hashText(this->attemptId)) } };
        this->gateway.recordRefusal(this->attemptId, Refusal::ConfigurationUnknown, "not from a known host");
        co_return co_await this->writeRefusal(outcome);
    }
    const bool hasRoom = co_await this->reserveCopies(request);
    if (!hasRoom) {
        const Outcome outcome { NotRun { Refusal::HostAtBound, retryAfterOf(hashText(this->attemptId)) } };
        this->gateway.recordRefusal(this->attemptId, Refusal::HostAtBound, "no memory for a copy of the request");
        co_return co_await this->writeRefusal(outcome);
    }
    // Set before the monitor is spawned, since handle() may finish before the monitor first runs.
    this->isMonitoring = true;
    this->isMonitorStopping = false;
    spawn(this->clock.executor(), "caller watch", this->monitorCaller(request));
    const ResponseWriter sink {
        [this](const ResponseHead& head) { return this->writeHead(head); },
        [this](std::string_view bytes) { return this->writeBody(bytes); },
    };
    std::exception_ptr failure;
    Outcome outcome;
    try {
        outcome = co_await this->gateway.handle(request, sink);
    } catch (...) {
        failure = std::current_exception();
    }
    this->sends = request.sends;
    co_await this->stopMonitoring();
    if (failure)
        std::rethrow_exception(failure);
    co_await this->finish(outcome);
}

Task<void> GatewayConnection::monitorCaller(GatewayRequest& request)
{
    const auto self = this->shared_from_this();
    while (!this->isMonitorStopping && this->buffer.size() < kMaxPipelinedBytes && this->reservePipelined()) {
        boost::system::error_code error;
        const auto size = co_await this->socket.async_read_some(
            this->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
        this->buffer.commit(size);
        if (!error)
            continue;
        if (!this->isMonitorStopping) {
            request.isCallerGone = true;
            if (request.abortCall)
                request.abortCall();
        }
        break;
    }
    this->isMonitoring = false;
    this->monitorStopped.notifyAll();
}

Task<void> GatewayConnection::stopMonitoring()
{
    this->isMonitorStopping = true;
    boost::system::error_code ignored;
    this->socket.cancel(ignored);
    while (this->isMonitoring)
        co_await this->monitorStopped.waitUntil(TimePoint::max());
}

Task<void> GatewayConnection::writeHead(const ResponseHead& head)
{
    this->keepAlive = this->isKeptAlive();
    this->isChunked = !head.hasNoBody && !head.length;
    if (!this->hostAddress) {
        this->pendingHead = formatHead(head, this->isChunked, this->keepAlive);
        co_return;
    }
    auto relayed = head;
    removeOutcome(relayed.fields);
    // The other host tells answers apart by their attempt, which an endpoint need not name.
    this->gateway.platformProtocol().markRefusal(relayed.fields, this->attemptId);
    this->pendingHead = formatHead(relayed, this->isChunked, this->keepAlive);
}

Task<void> GatewayConnection::writeBody(std::string_view bytes)
{
    this->isAnswerBegun = true;
    auto text = std::exchange(this->pendingHead, {});
    if (this->isChunked)
        appendChunk(text, bytes);
    else
        text += bytes;
    co_await this->write(text);
}

Task<void> GatewayConnection::finish(const Outcome& outcome)
{
    if (!outcome.isComplete() && !this->isAnswerBegun)
        co_return co_await this->writeRefusal(outcome);
    if (!outcome.isComplete()) {
        // Closing without the last chunk, or short of Content-Length, marks the response as incomplete.
        this->keepAlive = false;
        co_return;
    }
    this->isAnswerBegun = true;
    auto text = std::exchange(this->pendingHead, {});
    if (this->isChunked)
        appendLastChunk(text);
    if (!text.empty())
        co_await this->write(text);
}

Task<void> GatewayConnection::writeRefusal(const Outcome& outcome)
{
    this->keepAlive = this->isKeptAlive();
    HeaderFields fields;
    this->gateway.platformProtocol().markRefusal(fields, this->attemptId);
    if (this->hostAddress)
        writeOutcome(fields, outcome);
    const auto text = formatRefusal(outcome, std::move(fields), this->keepAlive);
    this->isAnswerBegun = true;
    co_await this->write(text);
}

Task<void> GatewayConnection::write(std::string_view bytes)
{
    boost::system::error_code error;
    this->setDeadline(this->clock.now() + kWriteTimeout);
    co_await asio::async_write(
        this->socket, asio::buffer(bytes.data(), bytes.size()), asio::redirect_error(asio::use_awaitable, error));
    this->setDeadline(TimePoint::max());
    if (error)
        throw CallerGoneError {};
}

} // namespace berylwing
