#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/endpoint_reach.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include "berylwing/gateway/relay_fields.hpp"
#include "berylwing/gateway/relay_hosts.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/relay/response_sink.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <utility>

namespace berylwing {

namespace {

/** Hosts that are asked for one request; more would take longer than its caller can wait. */
constexpr std::size_t kMaxHosts = 3;

/** Checks if a refusal says something about the host alone, so that another one may serve the request. */
bool isHandedBack(const Outcome& outcome)
{
    if (outcome.execution != Execution::NotRun)
        return false;
    switch (*outcome.reason) {
    case Refusal::EndpointUnreachable:
    case Refusal::HostLeaving:
    case Refusal::HostAtBound:
    case Refusal::ConfigurationUnknown:
    case Refusal::ConfigurationStale:
    case Refusal::RetryBudgetSpent:
        return true;
    default:
        return false;
    }
}

} // namespace

bool Forwarder::mustRelay(const RequestContext& context) const
{
    // A request passes from one host to another only once, so that hosts that are cut off do not pass it in a circle.
    if (!this->dependencies.openHost || context.request.relay || context.isHeadWritten || context.isHandedBack)
        return false;
    // After a failed attempt another host is tried before more of the endpoints turn out to be unreachable.
    const auto& reach = this->dependencies.reach;
    return context.attempts == 0 ? reach.hasLost(context.service) : reach.isImpaired(context.service);
}

std::optional<Outcome> Forwarder::takeOver(RequestContext& context) const
{
    const auto& relay = context.request.relay;
    if (!relay)
        return std::nullopt;
    context.executions = relay->executions;
    context.attempts = relay->executions;
    if (this->dependencies.reach.hasLost(context.service))
        return this->failureOf(context, Refusal::EndpointUnreachable);
    LogLine line { LogEvent::RequestTakenOver };
    line.add("from", context.request.relay->host).add("elapsed_ms", relay->elapsed);
    this->dependencies.log.write(context.request.metadata.attemptId, std::move(line));
    return std::nullopt;
}

Task<std::optional<Outcome>> Forwarder::relay(RequestContext& context, bool isCounted)
{
    std::vector<std::string> tried;
    while (tried.size() < kMaxHosts) {
        if (const auto reason = this->endOf(context))
            co_return this->failureOf(context, *reason);
        const auto host = this->dependencies.relayHosts.choose(context.service, tried);
        if (!host)
            break;
        tried.push_back(host->name);
        const RelayHosts::Use use { this->dependencies.relayHosts, host->name };
        std::shared_ptr<EndpointSession> session;
        try {
            session = co_await this->dependencies.openHost(host->address);
        } catch (const EndpointError& error) {
            this->logRelay(context, *host, error.what());
            this->dependencies.relayHosts.avoid(host->name);
            continue;
        }
        if (context.request.hasCallerLeft())
            throw CallerGoneError {};
        context.request.abortCall = session->abort;
        auto outcome = co_await this->exchangeWithHost(context, *session, isCounted);
        context.request.abortCall = nullptr;
        this->logRelay(context, *host, outcome.isComplete() ? "" : kRefusalNames[*outcome.reason]);
        if (!isHandedBack(outcome))
            co_return outcome;
        this->dependencies.relayHosts.avoid(host->name);
    }
    context.isHandedBack = !tried.empty();
    co_return std::nullopt;
}

void Forwarder::logRelay(const RequestContext& context, const HostEntry& host, std::string_view error)
{
    this->dependencies.metrics.add(error.empty() ? Incident::RequestRelayed : Incident::RelayFailed);
    LogLine line { LogEvent::RequestRelayed };
    line.add("to", host.name).add("service", context.service).add("error", error);
    line.add("took_ms", this->dependencies.clock.now() - context.request.arrivedAt);
    this->dependencies.log.write(context.request.metadata.attemptId, std::move(line));
}

Task<Outcome> Forwarder::exchangeWithHost(RequestContext& context, EndpointSession& session, bool isCounted)
{
    auto& request = context.request;
    const auto elapsed = this->dependencies.clock.now() - request.arrivedAt;
    auto fields = request.fields;
    writeRelay(fields, { context.executions, elapsed, isCounted, {} });
    const EndpointRequest outgoing { request.method, request.target, std::move(fields), request.body,
        request.metadata.attemptId, false, false };
    try {
        ++request.sends;
        co_await session.send(outgoing);
        const auto head = co_await session.readHead(context.deadline + 2 * kDeadlineTolerance);
        if (const auto outcome = readOutcome(head.fields)) {
            co_await skipRejection(session, context.deadline + 2 * kDeadlineTolerance);
            co_return *outcome;
        }
        co_await this->relayHostAnswer(context, head, session);
        co_return Outcome {};
    } catch (const EndpointError& error) {
        session.abort();
        if (request.isCallerGone)
            throw CallerGoneError {};
        LogLine line { LogEvent::RequestBroken };
        line.add("error", error.what()).add("target", request.target);
        this->dependencies.log.write(request.metadata.attemptId, std::move(line));
    }
    // The other host may have sent the request to an endpoint.
    ++context.executions;
    const auto reason = context.isHeadWritten ? Refusal::StreamIncomplete : Refusal::EndpointBroken;
    co_return this->failureOf(context, this->endOf(context).value_or(reason));
}

Task<void> Forwarder::relayHostAnswer(RequestContext& context, const ResponseHead& head, EndpointSession& session)
{
    const bool isStream = isEventStream(head);
    const auto deadline = context.deadline + 2 * kDeadlineTolerance;
    std::string buffered;
    while (const auto bytes = co_await session.readBody(deadline)) {
        buffered += isStream ? context.events.append(*bytes) : *bytes;
        if (isStream && context.events.incompleteEvent().size() > kMaxEventBytes)
            throw EndpointError { EndpointFault::Broken, "an event of the stream does not end" };
        if (buffered.empty() || (!isStream && buffered.size() < kMaxBufferedBytes))
            continue;
        co_await this->writeHead(context, head);
        co_await context.writer.body(buffered);
        buffered.clear();
    }
    if (!context.events.incompleteEvent().empty())
        throw EndpointError { EndpointFault::Broken, "the stream ended inside an event" };
    co_await this->writeHead(context, head);
    if (!buffered.empty())
        co_await context.writer.body(buffered);
}

} // namespace berylwing
