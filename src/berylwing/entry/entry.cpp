#include "berylwing/entry/entry.hpp"

#include "berylwing/ledger/idempotency_key.hpp"
#include "berylwing/telemetry/log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace berylwing {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kEventDataPrefix = "data: ";
constexpr std::string_view kDoneMarker = "[DONE]";
constexpr std::string_view kServicePathPrefix = "/v1/services/";

/** Counts the tokens in a part of a streamed response. Each event holds one token, except the final `[DONE]`. */
std::size_t countTokens(std::string_view bytes)
{
    std::size_t count = 0;
    for (auto position = bytes.find(kEventDataPrefix); position != std::string_view::npos;
         position = bytes.find(kEventDataPrefix, position)) {
        position += kEventDataPrefix.size();
        count += bytes.substr(position).starts_with(kDoneMarker) ? 0 : 1;
    }
    return count;
}

bool isOnceOnly(const ServiceObject& service, std::string_view method, std::string_view path)
{
    return std::any_of(service.nonIdempotentCalls.begin(), service.nonIdempotentCalls.end(),
        [&](const NonIdempotentRule& rule) { return rule.method == method && path.starts_with(rule.prefix); });
}

} // namespace

Entry::Entry(Clock& hostClock, const Catalog& hostCatalog, ContractLimits& contractLimits,
    Dispatcher& requestDispatcher, OrderClient& orderClient, Metrics& hostMetrics, const Steps& pathSteps)
    : clock { hostClock }
    , catalog { hostCatalog }
    , limits { contractLimits }
    , dispatcher { requestDispatcher }
    , orders { orderClient }
    , metrics { hostMetrics }
    , steps { pathSteps }
{
}

Task<Outcome> Entry::handle(const CallerRequest& caller, const ResponseSink& sink)
{
    const ContractLimits::ConcurrencySlot slot { this->inFlight };
    this->metrics.addRequest();
    const auto outcome = co_await this->admitAndRun(caller, sink);
    co_await this->steps.reach(Step::EntryAnswered);
    if (outcome.isComplete()) {
        logRequest(LogLevel::Debug, caller.requestId, "response complete");
        co_return outcome;
    }
    this->metrics.add(*outcome.reason);
    logRequest(LogLevel::Info, caller.requestId,
        std::string { "refused: " } + std::string { kRefusalNames[*outcome.reason] } + ", "
            + std::string { kExecutionNames[outcome.execution] });
    co_return outcome;
}

Task<Outcome> Entry::admitAndRun(const CallerRequest& caller, const ResponseSink& sink)
{
    if (caller.bearerToken.empty())
        co_return NotRun { Refusal::MissingKey };
    const auto* known = this->catalog.findContractByKey(caller.bearerToken);
    if (known == nullptr)
        co_return NotRun { Refusal::UnknownWorkspace };
    const auto contract = *known;
    wire::Request request;
    request.set_request_id(caller.requestId);
    request.set_workspace(contract.workspace);
    request.set_chat(caller.chat.empty() ? std::string {} : contract.workspace + "/" + caller.chat);
    request.set_method(caller.method);
    request.set_content_type(caller.contentType);
    request.set_body(caller.body);
    request.set_priority(static_cast<std::int32_t>(contract.priority));
    request.set_weight(contract.weight);
    const bool isChat = caller.target == kChatPath;
    const auto route = isChat ? this->routeChat(caller, request) : this->routeService(caller, request);
    if (route.refusal)
        co_return NotRun { *route.refusal };
    if (auto refusal = this->limits.admit(contract))
        co_return *refusal;
    const auto slot = this->limits.acquireSlot(contract);
    const auto deadline = this->clock.now() + std::min(contract.deadline, route.deadline);
    co_await this->steps.reach(Step::EntryAccepted);
    if (route.isOnceOnly)
        co_return co_await this->orders.run(request, contract.homeDomain, deadline, sink);
    const ResponseSink countingSink { sink.head, [&](std::string_view bytes) {
                                         this->limits.spendTokens(contract, countTokens(bytes));
                                         return sink.body(bytes);
                                     } };
    co_return co_await this->dispatcher.run(request, Repeatability::Repeatable, deadline, isChat ? countingSink : sink);
}

Entry::Route Entry::routeChat(const CallerRequest& caller, wire::Request& request) const
{
    if (caller.method != "POST")
        return { Refusal::UnknownRoute };
    const auto document = nlohmann::json::parse(caller.body, nullptr, false);
    if (!document.is_object() || !document.contains("model") || !document.at("model").is_string())
        return { Refusal::BadRequest };
    request.set_is_engine_call(true);
    request.set_serves(document.at("model").get<std::string>());
    request.set_path(std::string { kChatPath });
    const bool isModelServed = std::any_of(
        this->catalog.endpoints().begin(), this->catalog.endpoints().end(), [&request](const auto& entry) {
            return entry.second.kind == EndpointKind::Engine && entry.second.servedName == request.serves();
        });
    if (!isModelServed)
        return { Refusal::UnknownModel };
    return { std::nullopt, false, Duration::max() };
}

Entry::Route Entry::routeService(const CallerRequest& caller, wire::Request& request) const
{
    if (!caller.target.starts_with(kServicePathPrefix))
        return { Refusal::UnknownRoute };
    const auto rest = caller.target.substr(kServicePathPrefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto* service = this->catalog.service(rest.substr(0, slash));
    if (service == nullptr)
        return { Refusal::UnknownService };
    request.set_serves(service->name);
    request.set_path(slash == rest.size() ? "/" : rest.substr(slash));
    if (!isOnceOnly(*service, caller.method, request.path()))
        return { std::nullopt, false, service->deadline };
    if (caller.idempotencyKey.empty())
        return { Refusal::MissingIdempotencyKey };
    const auto key = IdempotencyKey::parse(caller.idempotencyKey);
    if (!key)
        return { Refusal::BadIdempotencyKey };
    request.set_idempotency_key(key->text());
    return { std::nullopt, true, service->deadline };
}

} // namespace berylwing
