#include "berylwing/http/gateway_connection.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/http/gateway_response.hpp"
#include "berylwing/http/http_text.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 16 * 1024;
/** Maximum bytes of pipelined requests that are buffered while a response is in progress. */
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
/** Time to receive the body after the headers, enough for the largest allowed body on a slow link. */
constexpr Duration kBodyTimeout { 15'000 };
/** Time for one write; a caller that does not read within it is disconnected. */
constexpr Duration kWriteTimeout { 30'000 };
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

GatewayConnection::GatewayConnection(
    Clock& hostClock, asio::ip::tcp::socket callerSocket, Gateway& hostGateway, DeadlineMonitor& deadlineMonitor)
    : clock { hostClock }
    , socket { std::move(callerSocket) }
    , gateway { hostGateway }
    , monitorStopped { hostClock }
{
    this->connectionDeadline.isExtendedByStalls = true;
    this->connectionDeadline.onExpire = [this] { this->expire(); };
    deadlineMonitor.add(this->connectionDeadline);
}

void GatewayConnection::setDeadline(TimePoint deadline)
{
    this->connectionDeadline.expiresAt = deadline;
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
    this->idleSince = this->clock.now();
    this->setDeadline(this->idleSince + this->gateway.callerBounds().idleTimeout);
    boost::system::error_code error;
    const auto size = co_await this->socket.async_read_some(
        this->buffer.prepare(kReadBytes), asio::redirect_error(asio::use_awaitable, error));
    this->buffer.commit(size);
    this->isAwaitingRequest = false;
    co_return !error;
}

Task<bool> GatewayConnection::readRequest(Parser& parser, const CallerBounds& bounds)
{
    boost::system::error_code error;
    this->setDeadline(this->clock.now() + bounds.headerTimeout);
    this->isReading = true;
    co_await http::async_read_header(
        this->socket, this->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    this->isReading = false;
    if (!error && http::token_list { parser.get()[http::field::expect] }.exists("100-continue") && !parser.is_done())
        co_await this->write("HTTP/1.1 100 Continue\r\n\r\n");
    this->setDeadline(this->clock.now() + kBodyTimeout);
    this->isReading = true;
    if (!error && !parser.is_done())
        co_await http::async_read(this->socket, this->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    this->isReading = false;
    if (!error)
        co_return true;
    const bool isOpen = this->socket.is_open();
    if (isOpen && this->isReadingEnded && error == asio::error::operation_aborted) {
        const NotRun refusal { Refusal::HostLeaving, retryAfterOf(hashText(this->attemptId)) };
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
    parser.header_limit(bounds.maxHeaderBytes);
    parser.body_limit(bounds.maxBodyBytes);
    try {
        if (!co_await this->readRequest(parser, bounds))
            co_return false;
        this->keepAlive = parser.get().keep_alive();
        co_await this->handleRequest(parser);
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
    // Closing a socket with unread bytes sends a reset, which can discard the refusal before the caller has read it.
    this->setDeadline(this->clock.now() + kLingerTimeout);
    std::string rest(kReadBytes, '\0');
    boost::system::error_code ended;
    while (!ended)
        co_await this->socket.async_read_some(asio::buffer(rest), asio::redirect_error(asio::use_awaitable, ended));
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
    while (!this->isMonitorStopping && this->buffer.size() < kMaxPipelinedBytes) {
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
    this->pendingHead = formatHead(head, this->isChunked, this->keepAlive);
    co_return;
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
