#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/gateway.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Scope in which a request is in the list of open requests. */
class OpenRequest {
public:
    explicit OpenRequest(GatewayRequest& listedRequest)
        : request { listedRequest }
    {
    }

    ~OpenRequest()
    {
        this->request.unlink();
        this->request.abortCall = nullptr;
    }

    OpenRequest(const OpenRequest&) = delete;
    OpenRequest& operator=(const OpenRequest&) = delete;

private:
    GatewayRequest& request;
};

} // namespace

bool Gateway::canEndBeforeExit(const GatewayRequest& request, const Route* route) const
{
    if (route == nullptr)
        return true;
    const auto timeout = std::min(request.metadata.timeout.value_or(route->timeout), route->timeout);
    return this->stop.canEnd(
        this->clock.now(), std::min(timeout, this->answerTimes.longest(route->name).value_or(timeout)));
}

void Gateway::endRequests()
{
    for (auto& request : this->openRequests) {
        request.isEndedByHost = true;
        if (request.abortCall)
            request.abortCall();
    }
}

Task<Outcome> Gateway::handle(GatewayRequest& request, const ResponseWriter& sink)
{
    this->hostMetrics.addRequest();
    co_await this->startHold.wait();
    if (request.isCallerGone)
        throw CallerGoneError {};
    Outcome outcome;
    std::string error;
    const auto takenBy = this->usablePlan();
    const auto* route = takenBy ? takenBy->findRoute(request.hostname, request.path()) : nullptr;
    if (this->isRefusingRequests() || !this->canEndBeforeExit(request, route)) {
        outcome = NotRun { Refusal::HostLeaving, retryAfterOf(hashText(request.metadata.attemptId)) };
    } else {
        this->openRequests.push_back(request);
        const OpenRequest open { request };
        try {
            outcome = co_await this->forwarder.forward(request, sink);
        } catch (const CallerGoneError&) {
            throw;
        } catch (const std::exception& exception) {
            // The endpoint may have the request: the exception can have come after it was sent.
            outcome = OutcomeUnknown { Refusal::InternalError };
            error = exception.what();
        }
    }
    const auto took = this->clock.now() - request.arrivedAt;
    if (route != nullptr && outcome.execution != Execution::NotRun)
        this->answerTimes.record(route->name, took);
    if (outcome.isComplete()) {
        LogLine line { LogEvent::RequestAnswered };
        const auto firstByte = request.firstByteAt.value_or(this->clock.now()) - request.arrivedAt;
        this->hostMetrics.observeResponse(firstByte, took);
        line.add("first_byte_ms", firstByte);
        this->log.write(request.metadata.attemptId, std::move(line.add("took_ms", took)));
        co_return outcome;
    }
    this->hostMetrics.add(*outcome.reason);
    LogLine line { LogEvent::RequestRefused };
    line.add("reason", kRefusalNames[*outcome.reason]).add("execution", kExecutionNames[outcome.execution]);
    line.add("took_ms", took).add("plan_age_ms", this->lease.age()).add("retry_after_ms", outcome.retryAfter);
    if (const auto& figures = request.admissionFigures) {
        line.add("room", figures->room).add("demand", figures->demand).add("admitted_percent", 100 * figures->part);
        line.add("wait_ms", figures->wait).add("view_age_ms", figures->viewAge).add("hosts", figures->hosts);
    }
    if (!error.empty())
        line.add("error", error);
    this->log.write(
        request.metadata.attemptId, std::move(line.add("hostname", request.hostname).add("target", request.target)));
    co_return outcome;
}

void Gateway::recordRefusal(std::string_view attemptId, Refusal reason, std::string_view error)
{
    this->hostMetrics.add(reason);
    LogLine line { LogEvent::RequestRefused };
    line.add("reason", kRefusalNames[reason]).add("error", error);
    if (attemptId.empty())
        this->log.write(line);
    else
        this->log.write(attemptId, std::move(line));
}

} // namespace berylwing
