#include "berylwing/admission/admission_control.hpp"
#include "berylwing/gateway/brittle_endpoints.hpp"
#include "berylwing/gateway/endpoint_reach.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <utility>

namespace berylwing {

namespace {

constexpr unsigned kServiceUnavailable = 503;

} // namespace

void Forwarder::recordResult(GatewayEndpoint& endpoint, EndpointResult result)
{
    const auto now = this->dependencies.clock.now();
    const bool wasEjected = endpoint.health.isEjected(now);
    endpoint.health.record(result, now);
    if (result == EndpointResult::Shed)
        this->dependencies.admission.recordRejection(endpoint.record.service);
    if (wasEjected || !endpoint.health.isEjected(now) || result == EndpointResult::Shed)
        return;
    LogLine line { LogEvent::EndpointEjected };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service);
    line.add("unreachable", std::int64_t { result == EndpointResult::Unreachable });
    this->dependencies.log.write(line);
}

void Forwarder::recordUnreachable(GatewayEndpoint& endpoint, const EndpointError& error)
{
    this->recordFault(endpoint, error, EndpointResult::Unreachable);
    this->dependencies.reach.recordConnection(endpoint, false);
}

void Forwarder::recordConnected(const GatewayEndpoint& endpoint, const EndpointSession& session)
{
    if (!session.isReused)
        this->dependencies.reach.recordConnection(endpoint, true);
}

void Forwarder::recordFault(GatewayEndpoint& endpoint, const EndpointError& error, EndpointResult result)
{
    const bool isSilent = error.fault() == EndpointFault::Silent;
    this->recordResult(endpoint, isSilent ? EndpointResult::Unreachable : result);
    if (isSilent)
        this->dependencies.reportSilence(endpoint);
}

void Forwarder::recordUnprovenRejection(RequestContext& context, GatewayEndpoint& endpoint, unsigned status)
{
    this->finishObservation(context, true);
    ++context.executions;
    context.failureReason = context.isHeadWritten ? Refusal::StreamIncomplete : Refusal::EndpointBroken;
    this->recordResult(endpoint, EndpointResult::Failed);
    LogLine line { LogEvent::RequestBroken };
    line.add("endpoint", endpoint.record.id);
    line.add("error", "the rejection does not state that the request did not run");
    line.add("status", std::int64_t { status }).add("runs", std::int64_t { context.executions });
    this->dependencies.log.write(context.request.metadata.attemptId, std::move(line));
}

void Forwarder::recordAnnouncements(GatewayEndpoint& endpoint, const ResponseHead& head)
{
    const auto& metadata = head.metadata;
    // A rejection that names no limit does not prove that there is none.
    if (metadata.requestLimit || !metadata.isNotRun)
        this->dependencies.rateLimits.recordAnswer(endpoint, metadata.requestLimit);
    if (metadata.retryAfter && head.status == kServiceUnavailable)
        this->dependencies.rateLimits.recordPause(endpoint, *metadata.retryAfter);
    if (metadata.load && metadata.load->slowness)
        endpoint.pace.recordTold(*metadata.load->slowness, this->dependencies.clock.now());
    if (metadata.isLoadInvalid)
        this->dependencies.metrics.add(Incident::LoadFigureIgnored);
    this->dependencies.brittleEndpoints.recordAnswer(endpoint, metadata.brittleLimit);
    if (metadata.isNotRun)
        this->dependencies.brittleEndpoints.recordRejection(endpoint);
    if (metadata.isLeaving)
        this->dependencies.announcedStops.recordAnswer(endpoint);
}

} // namespace berylwing
