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
/** Time beyond its patience after which a caller gives up a connection that has no end. */
constexpr Duration kAnswerSlack { 2000 };
constexpr Duration kPauseAfterFailure { 50 };
/** Longest pause between two requests on one connection. */
constexpr Duration kMostThinking { 400 };

std::string textOf(beast::string_view text) { return { text.data(), text.size() }; }

} // namespace

SoakCaller::SoakCaller(SoakCallerParts callerParts, unsigned callerNumber, unsigned seed)
    : parts { std::move(callerParts) }
    , number { callerNumber }
    , random { seed }
{
}

Task<void> SoakCaller::run()
{
    while (this->parts.goesOn()) {
        bool hasFailed = false;
        try {
            co_await this->useConnection();
        } catch (const HttpCallError&) {
            hasFailed = true;
        }
        if (hasFailed)
            co_await this->parts.clock.sleepFor(kPauseAfterFailure);
    }
    this->isDone = true;
}

Task<void> SoakCaller::useConnection()
{
    const auto entry = this->parts.chooseHost();
    beast::tcp_stream stream { this->parts.clock.executor() };
    stream.expires_after(kConnectTimeout);
    co_await connectHttp(stream, entry.address);
    std::uniform_int_distribution<Duration::rep> thinking { 0, kMostThinking.count() };
    while (this->parts.goesOn()) {
        if (!co_await this->ask(stream, entry.host))
            co_return;
        co_await this->parts.clock.sleepFor(Duration { thinking(this->random) });
    }
}

Task<bool> SoakCaller::ask(beast::tcp_stream& stream, const std::string& host)
{
    const auto errand = this->parts.chooseErrand();
    const auto id = "c" + std::to_string(this->number) + "-" + std::to_string(++this->sent);
    auto& attempt = this->parts.record.attempts.emplace_back();
    attempt.id = id;
    attempt.kind = errand.kind;
    attempt.host = host;
    attempt.key = errand.key;
    attempt.routeSince = errand.routeSince;
    attempt.patience = errand.patience;
    HttpRequest request { http::verb::post, errand.path + id, kHttpVersion };
    request.set(http::field::host, "soak.example");
    request.set(std::string { names::kAttemptId }, id);
    request.set(std::string { names::kDeadline }, std::to_string(errand.patience.count()));
    request.set(std::string { names::kAuthorization }, std::string { names::kBearer } + errand.key);
    // Chats begin with one of a few prompts and end with a part of their own.
    constexpr unsigned kPrompts = 12;
    request.set(
        std::string { names::kPromptParts }, "a" + std::to_string(this->random() % kPrompts) + ":600,b" + id + ":110");
    request.body() = id + " " + std::to_string(errand.events);
    request.prepare_payload();
    attempt.sentAt = this->parts.clock.now();
    boost::system::error_code error;
    stream.expires_after(errand.patience);
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    const bool goesOn = !error && co_await this->read(stream, attempt, errand);
    if (!attempt.leftAt)
        attempt.endedAt = this->parts.clock.now();
    co_return goesOn;
}

Task<bool> SoakCaller::read(beast::tcp_stream& stream, SoakAttempt& attempt, const SoakErrand& errand)
{
    const bool leaves = errand.leavesAfter > Duration {};
    stream.expires_after(leaves ? errand.leavesAfter : errand.patience + kAnswerSlack);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code error;
    while (!error && !parser.is_done())
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error == beast::error::timeout && leaves) {
        attempt.leftAt = this->parts.clock.now();
        stream.close();
        co_return false;
    }
    if (!parser.is_header_done())
        co_return false;
    const auto& answer = parser.get();
    attempt.status = answer.result_int();
    attempt.isWhole = parser.is_done();
    attempt.isSigned = answer.count(std::string { names::kSignature }) > 0;
    attempt.hasOwnId = textOf(answer[std::string { names::kAttemptId }]) == attempt.id;
    if (answer.result() == http::status::ok) {
        const auto expected = errand.events > 0 ? soakStream(attempt.id, errand.events) : soakRecordText(attempt.id);
        const auto& body = answer.body();
        attempt.isIntact = attempt.isWhole ? body == expected : expected.starts_with(body);
    }
    co_return attempt.isWhole && !error && answer.keep_alive();
}

} // namespace berylwing::test
