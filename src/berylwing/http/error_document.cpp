#include "berylwing/http/error_document.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace berylwing {

namespace {

constexpr std::int64_t kMillisecondsPerSecond = 1000;

} // namespace

unsigned toHttpStatus(const Outcome& outcome)
{
    if (outcome.execution == Execution::Unknown)
        return 502;
    if (outcome.execution == Execution::Ran)
        return 409;
    switch (*outcome.reason) {
    case Refusal::MissingKey:
    case Refusal::UnknownWorkspace:
        return 401;
    case Refusal::UnknownRoute:
    case Refusal::UnknownModel:
    case Refusal::UnknownService:
        return 404;
    case Refusal::BadRequest:
    case Refusal::MissingIdempotencyKey:
    case Refusal::BadIdempotencyKey:
        return 400;
    case Refusal::ExpiredIdempotencyKey:
        return 409;
    case Refusal::KeyReusedForOtherRequest:
    case Refusal::Quarantined:
        return 422;
    case Refusal::BodyTooLarge:
        return 413;
    case Refusal::TooManyHeaders:
        return 431;
    case Refusal::SlowSender:
        return 408;
    case Refusal::RateLimit:
    case Refusal::TokenLimit:
    case Refusal::ConcurrencyLimit:
    case Refusal::QueueFull:
        return 429;
    case Refusal::DeadlinePassed:
        return 504;
    default:
        return 503;
    }
}

std::int64_t toRetryAfterSeconds(const Outcome& outcome)
{
    return std::max<std::int64_t>(
        1, (outcome.retryAfter.count() + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond);
}

std::string formatErrorDocument(std::string_view requestId, const Outcome& outcome)
{
    nlohmann::json error { { "reason", kRefusalNames[*outcome.reason] },
        { "execution", kExecutionNames[outcome.execution] }, { "request_id", requestId } };
    if (outcome.retryAfter > Duration {})
        error["retry_after_ms"] = outcome.retryAfter.count();
    return nlohmann::json { { "error", error } }.dump() + "\n";
}

std::string formatErrorEvent(std::string_view requestId, const Outcome& outcome)
{
    return "event: error\ndata: " + formatErrorDocument(requestId, outcome) + "\n";
}

} // namespace berylwing
