#include "soak/soak_caller.hpp"

#include "berylwing/http/http_call.hpp"
#include "platform/names.hpp"
#include "soak/soak_answer.hpp"
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace berylwing::test {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace names = platform::names;

constexpr unsigned kHttpVersion = 11;
constexpr Duration kConnectTimeout { 1000 };
/** Time past the request's timeout after which a caller gives up on an answer that does not end. */
constexpr Duration kAnswerTimeoutSlack { 2000 };
constexpr Duration kReconnectDelay { 50 };
/** Maximum pause between two requests on one connection. */
constexpr Duration kMaxThinkTime { 400 };

std::string textOf(beast::string_view text) { return { text.data(), text.size() }; }

} // namespace

SoakCaller::SoakCaller(SoakCallerContext callerContext, unsigned callerNumber, unsigned seed)
    : context { std::move(callerContext) }
    , number { callerNumber }
    , random { seed }
{
}

Task<void> SoakCaller::run()
{
    while (this->context.isSending()) {
        bool hasFailed = false;
        try {
            co_await this->sendOnConnection();
        } catch (const HttpCallError&) {
            hasFailed = true;
        }
        if (hasFailed)
            co_await this->context.clock.sleepFor(kReconnectDelay);
    }
    this->isDone = true;
}

Task<void> SoakCaller::sendOnConnection()
{
    const auto target = this->context.chooseHost();
    beast::tcp_stream stream { this->context.clock.executor() };
    stream.expires_after(kConnectTimeout);
    co_await connectHttp(stream, target.address);
    std::uniform_int_distribution<Duration::rep> thinkTime { 0, kMaxThinkTime.count() };
    while (this->context.isSending()) {
        if (!co_await this->sendRequest(stream, target.host))
            co_return;
        co_await this->context.clock.sleepFor(Duration { thinkTime(this->random) });
    }
}

Task<bool> SoakCaller::sendRequest(beast::tcp_stream& stream, const std::string& host)
{
    const auto options = this->context.chooseRequest();
    const auto id = "c" + std::to_string(this->number) + "-" + std::to_string(++this->sentCount);
    auto& attempt = this->context.record.attempts.emplace_back();
    attempt.id = id;
    attempt.kind = options.kind;
    attempt.host = host;
    attempt.key = options.key;
    attempt.routePlanVersion = options.routePlanVersion;
    attempt.timeout = options.timeout;
    HttpRequest request { http::verb::post, options.path + id, kHttpVersion };
    request.set(http::field::host, "soak.example");
    request.set(std::string { names::kAttemptId }, id);
    request.set(std::string { names::kDeadline }, std::to_string(options.timeout.count()));
    request.set(std::string { names::kAuthorization }, std::string { names::kBearer } + options.key);
    // Prompts share one of a few prefixes and end with a part that is unique to the request.
    constexpr unsigned kPrompts = 12;
    request.set(std::string { names::kPromptSegments },
        "a" + std::to_string(this->random() % kPrompts) + ":600,b" + id + ":110");
    request.body() = id + " " + std::to_string(options.events);
    request.prepare_payload();
    attempt.sentAt = this->context.clock.now();
    boost::system::error_code error;
    stream.expires_after(options.timeout);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    const bool canReuse = !error && co_await this->readAnswer(stream, attempt, options);
    if (!attempt.disconnectedAt)
        attempt.endedAt = this->context.clock.now();
    co_return canReuse;
}

Task<bool> SoakCaller::readAnswer(beast::tcp_stream& stream, SoakAttempt& attempt, const SoakRequestOptions& options)
{
    const bool canLeaveEarly = options.disconnectAfter > Duration {};
    stream.expires_after(canLeaveEarly ? options.disconnectAfter : options.timeout + kAnswerTimeoutSlack);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    while (!error && !parser.is_done())
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout && canLeaveEarly) {
        attempt.disconnectedAt = this->context.clock.now();
        stream.close();
        co_return false;
    }
    if (!parser.is_header_done())
        co_return false;
    const auto& answer = parser.get();
    attempt.status = answer.result_int();
    attempt.isComplete = parser.is_done();
    attempt.isSigned = answer.count(std::string { names::kSignature }) > 0;
    attempt.hasMatchingId = textOf(answer[std::string { names::kAttemptId }]) == attempt.id;
    if (answer.result() == http::status::ok) {
        const auto expected
            = options.events > 0 ? makeSoakStream(attempt.id, options.events) : makeSoakShortAnswer(attempt.id);
        const auto& body = answer.body();
        attempt.isIntact = attempt.isComplete ? body == expected : expected.starts_with(body);
    }
    co_return attempt.isComplete && !error && answer.keep_alive();
}

} // namespace berylwing::test
