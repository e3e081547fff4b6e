#include "berylwing/http/gateway_response.hpp"

#include "berylwing/http/error_document.hpp"
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>
#include <vector>

namespace berylwing {

namespace {

namespace http = boost::beast::http;

constexpr unsigned kHttpVersion = 11;
constexpr unsigned kServiceUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;
constexpr double kMillisecondsPerSecond = 1000;

/**
 * Returns the status of a failed request. Callers of a gateway take 503 as the guarantee that the request was not run,
 * so it also covers a passed deadline and a quarantine, which is temporary and no error in the request.
 */
unsigned toGatewayStatus(const Outcome& outcome)
{
    const bool isNotRun = outcome.execution == Execution::NotRun;
    if (outcome.reason == Refusal::DeadlinePassed)
        return isNotRun ? kServiceUnavailable : kGatewayTimeout;
    if (outcome.reason == Refusal::Quarantined && isNotRun)
        return kServiceUnavailable;
    return toHttpStatus(outcome);
}

} // namespace

void removeConnectionFields(HeaderFields& fields)
{
    std::vector<std::string> named;
    for (const auto& token : http::token_list { fields[http::field::connection] })
        named.emplace_back(token.data(), token.size());
    for (const auto& name : named)
        fields.erase(name);
    for (const auto field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection,
             http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te, http::field::trailer,
             http::field::transfer_encoding, http::field::upgrade, http::field::content_length, http::field::expect })
        fields.erase(field);
}

std::string formatHead(const ResponseHead& head, bool isChunked, bool keepAlive)
{
    http::response<http::empty_body> response { static_cast<http::status>(head.status), kHttpVersion };
    response.result(head.status);
    static_cast<HeaderFields&>(response.base()) = head.fields;
    removeConnectionFields(response.base());
    if (!head.reason.empty())
        response.reason(head.reason);
    if (isChunked)
        response.set(http::field::transfer_encoding, "chunked");
    else if (head.length)
        response.set(http::field::content_length, std::to_string(*head.length));
    if (!keepAlive)
        response.set(http::field::connection, "close");
    std::ostringstream text;
    text << response.base();
    return text.str();
}

void appendChunk(std::string& text, std::string_view bytes)
{
    // An empty chunk would end the body.
    if (bytes.empty())
        return;
    text += fmt::format("{:x}\r\n", bytes.size());
    text += bytes;
    text += "\r\n";
}

void appendLastChunk(std::string& text) { text += "0\r\n\r\n"; }

std::string formatRefusal(const Outcome& outcome, HeaderFields fields, bool keepAlive)
{
    http::response<http::string_body> response { http::status::ok, kHttpVersion };
    response.result(toGatewayStatus(outcome));
    static_cast<HeaderFields&>(response.base()) = std::move(fields);
    response.set(http::field::content_type, "application/json");
    if (outcome.retryAfter > Duration {})
        response.set(http::field::retry_after,
            fmt::format("{:.2f}", static_cast<double>(outcome.retryAfter.count()) / kMillisecondsPerSecond));
    if (!keepAlive)
        response.set(http::field::connection, "close");
    const nlohmann::json document { { "reason", kRefusalNames[*outcome.reason] },
        { "execution", kExecutionNames[outcome.execution] } };
    response.body() = document.dump();
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    return text.str();
}

} // namespace berylwing
