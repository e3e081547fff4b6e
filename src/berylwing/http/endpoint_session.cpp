#include "berylwing/http/endpoint_session.hpp"

#include "berylwing/http/answer_reader.hpp"
#include "berylwing/http/endpoint_pool.hpp"
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
/** A handshake takes two ways of half a millisecond; a lost packet costs a second, which another endpoint beats. */
constexpr Duration kConnectTimeout { 200 };
/** Unacknowledged bytes for this long mean that the endpoint is dark; a lost packet is sent again after 0.2 and 0.6 s.
 */
constexpr Duration kUnackedLimit { 700 };
/** Idle time up to which an endpoint surely has not closed a connection under a request that may not be repeated. */
constexpr Duration kSurelyOpen { 700 };
/** Idle time of connections whose endpoint does not say how long it keeps them. */
constexpr Duration kDefaultIdle { 2000 };
constexpr Duration kMostIdle { 10'000 };
/** Time by which a connection is given up before its endpoint closes it. */
constexpr Duration kIdleMargin { 700 };
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kNoContent = 204;
constexpr unsigned kNotModified = 304;
/** Late answers to earlier requests that are read past on one connection. */
constexpr int kMostForeignAnswers = 2;

/** What the sessions with all endpoints share. */
struct Sessions {
    Sessions(Clock& hostClock, const GatewayProtocol& platformProtocol)
        : clock { hostClock }
        , protocol { platformProtocol }
        , pool { hostClock }
        , scratch(kReadBytes, '\0')
        , watches { std::make_shared<CallWatches>(hostClock) }
    {
    }

    Clock& clock;
    const GatewayProtocol& protocol;
    EndpointPool pool;
    /** Room for the body of one read, which is copied before anything else runs. */
    std::string scratch;
    std::shared_ptr<CallWatches> watches;
};

Duration idleLimitOf(const ResponseMetadata& facts)
{
    if (!facts.idleTimeout)
        return kDefaultIdle;
    return std::clamp(*facts.idleTimeout - kIdleMargin, Duration {}, kMostIdle);
}

/** Session on one connection. */
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<Sessions> allSessions, SocketAddress endpointAddress)
        : sessions { std::move(allSessions) }
        , address { std::move(endpointAddress) }
        , reader { this->sessions->clock, *this->sessions->watches, this->sessions->scratch }
    {
    }

    Task<void> connect(ConnectionReuse use)
    {
        const auto mostIdle = use == ConnectionReuse::AnyIdle ? Duration::max() : kSurelyOpen;
        if (use != ConnectionReuse::None)
            this->reader.connection = this->sessions->pool.take(this->address, mostIdle);
        if (this->reader.connection)
            co_return;
        co_await this->reader.connect(this->address, kConnectTimeout);
        detectLostPeer(this->reader.connection->socket, kUnackedLimit);
    }

    Task<void> send(const EndpointRequest& request)
    {
        this->attemptId = request.attemptId;
        this->isHead = request.method == "HEAD";
        this->reader.restart(this->isHead);
        const auto outgoing = std::make_shared<Outgoing>(http::verb::get, request.target, kHttpVersion);
        outgoing->method_string(request.method);
        for (const auto& field : request.fields)
            outgoing->insert(field.name(), field.name_string(), field.value());
        outgoing->body() = request.body;
        outgoing->prepare_payload();
        this->reader.expectLifeUntil(TimePoint::max());
        this->isWritten = false;
        // The endpoint may answer before it has read the whole body, so writing must not delay reading.
        spawn(this->sessions->clock.executor(), "request", write(this->shared_from_this(), outgoing));
        co_return;
    }

    Task<ResponseHead> readHead(TimePoint deadline)
    {
        int foreign = 0;
        while (true) {
            co_await this->reader.readHead(deadline);
            auto& response = this->reader.parser().get();
            const auto status = response.result_int();
            this->facts = this->sessions->protocol.readAnswer(response);
            const bool isForeign = !this->facts.attemptId.empty() && this->facts.attemptId != this->attemptId;
            if (status >= kFirstFinalStatus && !isForeign)
                break;
            if (isForeign && ++foreign > kMostForeignAnswers)
                throw EndpointError { EndpointFault::Broken, "the endpoint answers other requests" };
            if (isForeign && this->reader.parser().need_eof())
                throw EndpointError { EndpointFault::Broken, "the endpoint answers another request without an end" };
            while (co_await this->reader.readBody(deadline)) { }
            this->reader.restart(this->isHead);
        }
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

private:
    using Outgoing = http::request<http::string_body>;

    static Task<void> write(std::shared_ptr<Session> session, std::shared_ptr<Outgoing> outgoing)
    {
        // An aborted session has closed its socket, but the socket is there as long as the session is.
        boost::system::error_code error;
        co_await http::async_write(
            session->reader.connection->socket, *outgoing, asio::redirect_error(asio::use_awaitable, error));
        session->isWritten = !error;
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
        head.hasNoBody = this->isHead || head.status == kNoContent || head.status == kNotModified;
        head.metadata = this->facts;
        head.fields = response;
        return head;
    }

    /** Keeps the connection for the next call if nothing is outstanding on it. */
    void release()
    {
        if (!this->isWritten || this->facts.isConnectionClosing || !this->reader.isReusable()) {
            // A body that is still being written would keep the connection open for nothing.
            this->reader.abort();
            return;
        }
        this->reader.connection->idleLimit = idleLimitOf(this->facts);
        this->sessions->pool.give(this->address, std::move(this->reader.connection));
    }

    std::shared_ptr<Sessions> sessions;
    SocketAddress address;
    AnswerReader reader;
    ResponseMetadata facts;
    std::string attemptId;
    bool isHead = false;
    bool isWritten = false;
};

Task<std::shared_ptr<EndpointSession>> openSession(
    std::shared_ptr<Sessions> sessions, SocketAddress address, ConnectionReuse use)
{
    const auto session = std::make_shared<Session>(std::move(sessions), std::move(address));
    co_await session->connect(use);
    auto functions = std::make_shared<EndpointSession>();
    functions->send = [session](const EndpointRequest& request) { return session->send(request); };
    functions->readHead = [session](TimePoint deadline) { return session->readHead(deadline); };
    functions->readBody = [session](TimePoint deadline) { return session->readBody(deadline); };
    functions->abort = [session] { session->abort(); };
    co_return functions;
}

} // namespace

SessionFactory makeEndpointSessions(Clock& clock, const GatewayProtocol& protocol)
{
    const auto sessions = std::make_shared<Sessions>(clock, protocol);
    return [sessions](const GatewayEndpoint& endpoint, ConnectionReuse use) {
        return openSession(sessions, endpoint.record.address, use);
    };
}

} // namespace berylwing
