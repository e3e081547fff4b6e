#include "berylwing/http/endpoint_session.hpp"

#include "berylwing/http/connection_pool.hpp"
#include "berylwing/http/response_reader.hpp"
#include "berylwing/http/socket_options.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr std::size_t kReadBytes = 16 * 1024;
/**
 * A handshake takes one round trip of 1 ms (half a millisecond each way). A lost SYN is sent again only after a second,
 * so trying another endpoint is faster.
 */
constexpr Duration kConnectTimeout { 200 };
/**
 * Time without acknowledgement after which a request that can run elsewhere leaves its connection; TCP retransmits a
 * packet after 0.2 s and 0.6 s.
 */
constexpr Duration kRetryableUnackedTimeout { 700 };
/**
 * The same for all other requests. TCP retransmits after 0.2, 0.6, 1.4 and 3 s, so that a packet that is lost in a
 * pause of the endpoint may be acknowledged only after 3 s.
 */
constexpr Duration kUnackedTimeout { 4000 };
static_assert(kUnackedTimeout > 2 * kMaxEndpointPause);
/** Maximum idle time of a connection for non-repeatable requests: an endpoint does not close it this early. */
constexpr Duration kMaxSafeIdleTime { 700 };
/** Idle timeout of connections whose endpoint does not announce one in Keep-Alive. */
constexpr Duration kDefaultIdleTimeout { 2000 };
constexpr Duration kMaxIdleTimeout { 10'000 };
/** Margin by which a connection is dropped before the endpoint's own idle timeout. */
constexpr Duration kIdleTimeoutMargin { 700 };
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
/** Maximum number of late responses to earlier requests that are skipped on one connection. */
constexpr int kMaxStaleResponses = 2;

/** What the context with all endpoints share. */
struct SessionContext {
    SessionContext(Clock& hostClock, const GatewayProtocol& platformProtocol)
        : clock { hostClock }
        , protocol { platformProtocol }
        , pool { hostClock }
        , scratch(kReadBytes, '\0')
        , deadlineMonitor { std::make_shared<DeadlineMonitor>(hostClock) }
    {
    }

    Clock& clock;
    const GatewayProtocol& protocol;
    ConnectionPool pool;
    /** Buffer for the body of one read; its content is copied before another coroutine can run. */
    std::string scratch;
    std::shared_ptr<DeadlineMonitor> deadlineMonitor;
};

Duration chooseIdleTimeout(const ResponseMetadata& facts)
{
    if (!facts.idleTimeout)
        return kDefaultIdleTimeout;
    return std::clamp(*facts.idleTimeout - kIdleTimeoutMargin, Duration {}, kMaxIdleTimeout);
}

/** One request and its response on a connection. */
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<SessionContext> sessionContext, SocketAddress endpointAddress, std::string localAddress)
        : context { std::move(sessionContext) }
        , address { std::move(endpointAddress) }
        , ownAddress { std::move(localAddress) }
        , reader { this->context->clock, *this->context->deadlineMonitor, this->context->scratch }
    {
    }

    Task<void> connect(ConnectionReuse use)
    {
        const auto maxIdleTime = use == ConnectionReuse::AnyIdle ? Duration::max() : kMaxSafeIdleTime;
        if (use != ConnectionReuse::None)
            this->reader.connection = this->context->pool.acquire(this->address, maxIdleTime);
        this->isReused = this->reader.connection != nullptr;
        if (this->isReused)
            co_return;
        co_await this->reader.connect(this->address, kConnectTimeout, this->ownAddress);
        enableLostPeerDetection(this->reader.connection->socket, kUnackedTimeout);
        this->reader.connection->unackedTimeout = kUnackedTimeout;
    }

    Task<void> send(const EndpointRequest& request)
    {
        this->attemptId = request.attemptId;
        this->isHeadRequest = request.method == "HEAD";
        this->isResumable = request.isResumable;
        this->limitUnackedTime(request.isRetryable ? kRetryableUnackedTimeout : kUnackedTimeout);
        this->reader.reset(this->isHeadRequest);
        const auto outgoing = std::make_shared<OutgoingRequest>(http::verb::get, request.target, kHttpVersion);
        outgoing->method_string(request.method);
        for (const auto& field : request.fields)
            outgoing->insert(field.name(), field.name_string(), field.value());
        outgoing->body() = request.body;
        outgoing->prepare_payload();
        this->reader.setActivityDeadline(TimePoint::max());
        this->reader.setRequestWritten(false);
        // The endpoint may respond before it has read the whole body, so the request is written concurrently.
        spawn(this->context->clock.executor(), "request", write(this->shared_from_this(), outgoing));
        co_return;
    }

    Task<ResponseHead> readHead(TimePoint deadline)
    {
        int staleCount = 0;
        while (true) {
            co_await this->reader.readHead(deadline);
            auto& response = this->reader.parser().get();
            this->facts = this->context->protocol.readAnswer(response);
            const bool isStale = !this->facts.attemptId.empty() && this->facts.attemptId != this->attemptId;
            // It may be a copy of an earlier response on the connection, such as a rejection.
            if (this->facts.attemptId.empty() && this->isReused)
                this->reader.fail("a response on a reused connection names no request");
            if (!isStale)
                break;
            if (++staleCount > kMaxStaleResponses)
                this->reader.fail("too many responses to other requests on the connection");
            if (this->reader.parser().need_eof())
                this->reader.fail("a response to another request has no length, so the connection cannot be reused");
            const bool isSkipped = co_await this->reader.skipBody(deadline);
            if (!isSkipped)
                this->reader.fail("the response to another request does not end");
            this->reader.reset(this->isHeadRequest);
        }
        if (!this->isResumable)
            this->limitUnackedTime(kUnackedTimeout);
        co_return this->toHead();
    }

    Task<std::optional<std::string>> readBody(TimePoint deadline)
    {
        auto bytes = co_await this->reader.readBody(deadline);
        if (!bytes)
            this->release();
        co_return bytes;
    }

    void abort() { this->reader.abort(); }

    /** Checks if the connection was taken from the pool. */
    [[nodiscard]] bool hasReusedConnection() const noexcept { return this->isReused; }

private:
    void limitUnackedTime(Duration timeout)
    {
        if (std::exchange(this->reader.connection->unackedTimeout, timeout) != timeout)
            setUnackedTimeout(this->reader.connection->socket, timeout);
    }

    using OutgoingRequest = http::request<http::string_body>;

    static Task<void> write(std::shared_ptr<Session> session, std::shared_ptr<OutgoingRequest> outgoing)
    {
        // abort() closes the socket but does not destroy it, so it is valid as long as the session is.
        boost::system::error_code error;
        co_await http::async_write(
            session->reader.connection->socket, *outgoing, asio::redirect_error(asio::use_awaitable, error));
        session->reader.setRequestWritten(!error);
    }

    ResponseHead toHead()
    {
        auto& parser = this->reader.parser();
        auto& response = parser.get();
        ResponseHead head;
        head.status = response.result_int();
        head.reason = { response.reason().data(), response.reason().size() };
        if (const auto length = parser.content_length())
            head.length = *length;
        head.hasNoBody = this->isHeadRequest || head.status == kNoContent || head.status == kNotModified;
        head.metadata = this->facts;
        head.fields = response;
        return head;
    }

    /** Returns the connection to the pool if it can carry another request, otherwise closes it. */
    void release()
    {
        if (!this->reader.hasWrittenRequest() || this->facts.isConnectionClosing || !this->reader.isReusable()) {
            // Closing also ends a request body that is still being written.
            this->reader.abort();
            return;
        }
        this->reader.connection->idleTimeout = chooseIdleTimeout(this->facts);
        this->context->pool.release(this->address, std::move(this->reader.connection));
    }

    std::shared_ptr<SessionContext> context;
    SocketAddress address;
    /** Address that the connection comes from; empty if the system chooses it. */
    std::string ownAddress;
    ResponseReader reader;
    ResponseMetadata facts;
    std::string attemptId;
    bool isReused = false;
    bool isHeadRequest = false;
    bool isResumable = false;
};

Task<std::shared_ptr<EndpointSession>> openSession(
    std::shared_ptr<SessionContext> context, SocketAddress address, ConnectionReuse use, std::string ownAddress)
{
    const auto session = std::make_shared<Session>(std::move(context), std::move(address), std::move(ownAddress));
    co_await session->connect(use);
    auto functions = std::make_shared<EndpointSession>();
    functions->send = [session](const EndpointRequest& request) { return session->send(request); };
    functions->readHead = [session](TimePoint deadline) { return session->readHead(deadline); };
    functions->readBody = [session](TimePoint deadline) { return session->readBody(deadline); };
    functions->abort = [session] { session->abort(); };
    functions->isReused = session->hasReusedConnection();
    co_return functions;
}

} // namespace

SessionFactory makeSessionFactory(Clock& clock, const GatewayProtocol& protocol)
{
    const auto context = std::make_shared<SessionContext>(clock, protocol);
    return [context](const GatewayEndpoint& endpoint, ConnectionReuse use) {
        return openSession(context, endpoint.record.address, use, {});
    };
}

HostSessionFactory makeHostSessionFactory(Clock& clock, const GatewayProtocol& protocol, std::string ownAddress)
{
    const auto context = std::make_shared<SessionContext>(clock, protocol);
    return [context, ownAddress = std::move(ownAddress)](const SocketAddress& address) {
        return openSession(context, address, ConnectionReuse::RecentlyUsed, ownAddress);
    };
}

} // namespace berylwing
