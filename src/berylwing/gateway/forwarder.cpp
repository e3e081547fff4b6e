#include "berylwing/gateway/forwarder.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/endpoint_load.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include "berylwing/gateway/prompt_segments.hpp"
#include "berylwing/gateway/retry_delay.hpp"
#include "berylwing/relay/response_sink.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <spdlog/spdlog.h>
#include <utility>

namespace berylwing {

namespace {

constexpr unsigned kMisdirectedRequest = 421;
constexpr unsigned kFirstServerError = 500;
/** Limit of the attempts for one request; each but the first takes a retry from the fleet's budget. */
constexpr unsigned kMaxAttempts = 4;
/** Time for reading the body of a rejection, so that its connection can be used again. */
constexpr Duration kRejectionTimeout { 200 };
/** Parts of an answer after which the request did not crash the endpoint; a crash may come with the first one. */
constexpr unsigned kClearingParts = 2;

} // namespace

Forwarder::Forwarder(ForwarderDependencies hostDependencies)
    : dependencies { std::move(hostDependencies) }
{
}

bool Forwarder::isAuthorized(const RequestContext& context) const
{
    return context.holder == nullptr || this->dependencies.lease.isValid();
}

std::optional<NotRun> Forwarder::prepare(RequestContext& context) const
{
    const auto& metadata = context.request.metadata;
    context.requestHash = hashText(metadata.attemptId);
    const auto retryAfter = retryAfterOf(context.requestHash);
    if (!context.plan)
        return NotRun { Refusal::ConfigurationUnknown, retryAfter };
    if (metadata.attemptId.empty())
        return NotRun { Refusal::BadRequest };
    context.route = context.plan->findRoute(context.request.hostname, context.request.path());
    // An outdated plan does not prove that a route or a key does not exist.
    if (context.route == nullptr)
        return this->dependencies.lease.isComplete() ? NotRun { Refusal::UnknownRoute }
                                                     : NotRun { Refusal::ConfigurationStale, retryAfter };
    if (!context.route->isPublic && context.plan->requiresKeys()) {
        if (!this->dependencies.lease.isValid())
            return NotRun { Refusal::ConfigurationStale, retryAfter };
        context.holder = context.plan->findKeyHolder(metadata.apiKey);
        if (context.holder == nullptr)
            return this->dependencies.lease.isComplete() ? NotRun { Refusal::UnknownWorkspace }
                                                         : NotRun { Refusal::ConfigurationStale, retryAfter };
    }
    chooseService(context);
    if (const auto* traits = context.plan->findService(context.service))
        context.traits = *traits;
    const auto timeout = std::min(metadata.timeout.value_or(context.route->timeout), context.route->timeout);
    context.deadline = context.request.arrivedAt + timeout;
    context.events.setLastEventId(metadata.lastEventId);
    if (context.route->isSticky)
        context.sharedSegment = findSharedSegment(metadata.promptSegments);
    if (context.sharedSegment != nullptr) {
        context.promptKey = hashText(context.sharedSegment->id);
        context.sharedTokens = sharedTokensOf(metadata.promptSegments);
    }
    return std::nullopt;
}

const std::vector<CrashSuspect>& Forwarder::suspectsOf(RequestContext& context)
{
    if (context.suspects.empty()) {
        const auto workspace = context.holder == nullptr ? std::string_view {} : context.holder->workspace;
        context.suspects = listSuspects(workspace, context.request);
    }
    return context.suspects;
}

PlacementRequest Forwarder::placementRequestOf(const RequestContext& context)
{
    const bool isSticky = context.sharedSegment != nullptr;
    const auto key = isSticky ? context.promptKey : context.requestHash;
    return { context.service, key, context.sharedTokens, isSticky, context.tried, context.requestHash, context.version,
        context.route->targetLatency, static_cast<double>(heldTokensOf(context)) };
}

Outcome Forwarder::failureOf(const RequestContext& context, Refusal reason, Duration delay) const
{
    if (context.executions > 0)
        return OutcomeUnknown { reason };
    return NotRun { reason, delay + retryAfterOf(context.requestHash) };
}

std::optional<Outcome> Forwarder::chooseEndpoint(RequestContext& context, GatewayEndpointPtr& endpoint)
{
    if (context.request.isCallerGone)
        throw CallerGoneError {};
    if (const auto reason = this->endOf(context))
        return this->failureOf(context, *reason);
    if (!this->isAuthorized(context))
        return this->failureOf(context, Refusal::ConfigurationStale);
    // Hashing bodies is avoided as long as no crash is recorded.
    if (!this->dependencies.crashQuarantine.isEmpty()) {
        if (const auto delay = this->dependencies.crashQuarantine.findRefusal(suspectsOf(context)))
            return this->failureOf(context, Refusal::Quarantined, *delay);
    }
    endpoint = this->placeRequest(context);
    if (!endpoint) {
        const auto delay = this->dependencies.rateLimits.delayOf(context.service);
        const bool isLimited = context.attempts == 0 && delay;
        const auto reason
            = isLimited ? Refusal::EndpointAtBound : this->findShortage(context).value_or(context.failureReason);
        return this->failureOf(context, reason, delay.value_or(Duration {}));
    }
    if (this->dependencies.log.isSampled(context.request.metadata.attemptId)) {
        context.load = this->dependencies.placement.describeLoad(*endpoint);
        context.loadAge = this->dependencies.loadAge();
    }
    const bool isReserved = std::exchange(context.isRetryReserved, false);
    if (!isReserved && !this->hasRoomForRetry(context))
        return this->failureOf(context, Refusal::NoRoom);
    if (context.attempts > 0 && !isReserved && !this->dependencies.retryBudget.tryAcquire(context.service))
        return this->failureOf(context, Refusal::RetryBudgetSpent);
    return std::nullopt;
}

std::optional<Refusal> Forwarder::endOf(const RequestContext& context) const
{
    if (context.request.isEndedByHost)
        return Refusal::HostLeaving;
    return this->dependencies.clock.now() >= context.deadline ? std::optional { Refusal::DeadlinePassed }
                                                              : std::nullopt;
}

bool Forwarder::canRunAgain(const RequestContext& context, unsigned executions)
{
    const bool canContinue = !context.isHeadWritten || (context.route->isResumable && context.isStreamBegun);
    return canContinue && context.attempts < kMaxAttempts && context.route->isRetryable()
        && executions < context.route->maxAttempts;
}

bool Forwarder::canRetry(const RequestContext& context, AttemptResult result)
{
    if (result == AttemptResult::NotRun)
        return context.attempts < kMaxAttempts;
    return result == AttemptResult::MayHaveRun && canRunAgain(context, context.executions);
}

bool Forwarder::reserveRetry(RequestContext& context)
{
    if (context.isRetryReserved || !canRunAgain(context, context.executions + 1) || !this->isAuthorized(context))
        return false;
    const auto& quarantine = this->dependencies.crashQuarantine;
    if (!quarantine.isEmpty() && quarantine.isAnyQuarantined(suspectsOf(context)))
        return false;
    auto placement = placementRequestOf(context);
    this->excludeTrials(context, placement);
    const auto next = this->dependencies.placement.choose(placement, context.traits);
    if (!next || next->health.isEjected(this->dependencies.clock.now()))
        return false;
    context.isRetryReserved = this->dependencies.retryBudget.tryAcquire(context.service);
    return context.isRetryReserved;
}

Task<Outcome> Forwarder::forward(GatewayRequest& request, const ResponseWriter& writer)
{
    RequestContext context { request, writer, this->dependencies.plan() };
    if (const auto refusal = this->prepare(context))
        co_return *refusal;
    if (const auto outcome = this->takeOver(context))
        co_return *outcome;
    if (this->mustRelay(context)) {
        const auto outcome = co_await this->relay(context, false);
        if (outcome)
            co_return *outcome;
    }
    if (!request.relay || !request.relay->isCounted)
        this->dependencies.retryBudget.recordRequest(context.service);
    this->dependencies.unseenRequests.recordRequest(context.service);
    if (context.isTakeUp) {
        const auto refusal = co_await this->resolveVersion(context);
        if (refusal)
            co_return *refusal;
    }
    this->estimateCost(context);
    if (const auto refusal = this->admit(context))
        co_return *refusal;
    while (true) {
        GatewayEndpointPtr endpoint;
        if (const auto outcome = this->chooseEndpoint(context, endpoint))
            co_return *outcome;
        const auto result = co_await this->attempt(context, endpoint);
        request.abortCall = nullptr;
        if (result == AttemptResult::Completed)
            co_return Outcome {};
        if (request.isCallerGone)
            throw CallerGoneError {};
        if (result == AttemptResult::TimedOut)
            co_return this->failureOf(context, this->endOf(context).value_or(Refusal::DeadlinePassed));
        if (!this->canRetry(context, result))
            co_return this->failureOf(context, context.failureReason);
        if (this->mustRelay(context)) {
            const auto outcome = co_await this->relay(context, true);
            if (outcome)
                co_return *outcome;
        }
        this->dependencies.metrics.add(context.isHeadWritten ? Retry::ResumeAtOffset : Retry::NextCandidate);
        LogLine line { context.isHeadWritten ? LogEvent::RequestResumed : LogEvent::RequestRetried };
        line.add("after", endpoint->record.id).add("reason", kRefusalNames[context.failureReason]);
        line.add("runs", std::int64_t { context.executions }).add("after_event", context.events.lastEventId());
        line.add("status", std::int64_t { std::exchange(context.rejectionStatus, 0) });
        this->dependencies.log.write(request.metadata.attemptId, std::move(line));
    }
}

EndpointRequest Forwarder::toEndpointRequest(
    const RequestContext& context, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& cacheSource) const
{
    EndpointRequestMetadata metadata;
    metadata.endpointId = endpoint.record.id;
    if (context.holder != nullptr)
        metadata.workspace = context.holder->workspace;
    metadata.timeout = std::max(context.deadline - this->dependencies.clock.now(), Duration { 1 });
    const auto workspacePriority = context.holder == nullptr ? std::nullopt : context.holder->priority;
    metadata.priority = workspacePriority.value_or(context.route->priority);
    if (context.isHeadWritten)
        metadata.lastEventId = context.events.lastEventId();
    if (cacheSource)
        metadata.cacheSource = cacheSource->record.address;
    auto fields = context.request.fields;
    this->dependencies.protocol.prepareForEndpoint(fields, metadata);
    const bool isRetryable = canRunAgain(context, context.executions + 1);
    return { context.request.method, context.request.target, std::move(fields), context.request.body,
        context.request.metadata.attemptId, isRetryable, isRetryable && context.route->isResumable };
}

ConnectionReuse Forwarder::chooseConnectionReuse(const RequestContext& context, const GatewayEndpoint& endpoint)
{
    // All sends of a request carry the same id, so a late copy of an earlier answer would pass for that of this send.
    const bool wasSentThere = std::any_of(context.tried.begin(), context.tried.end(),
        [&endpoint](const GatewayEndpointPtr& tried) { return tried->record.address == endpoint.record.address; });
    if (wasSentThere)
        return ConnectionReuse::None;
    return context.route->isRetryable() ? ConnectionReuse::AnyIdle : ConnectionReuse::RecentlyUsed;
}

Task<Forwarder::AttemptResult> Forwarder::attempt(RequestContext& context, GatewayEndpointPtr endpoint)
{
    const InFlightCounter inFlight { endpoint };
    const auto use = chooseConnectionReuse(context, *endpoint);
    context.tried.push_back(endpoint);
    ++context.attempts;
    context.relayedParts = 0;
    this->dependencies.rateLimits.recordSend(*endpoint);
    if (endpoint->isCold(this->dependencies.clock.now()))
        endpoint->lastColdSendAt = this->dependencies.clock.now();
    std::shared_ptr<EndpointSession> session;
    try {
        session = co_await this->dependencies.openSession(*endpoint, use);
    } catch (const EndpointError& error) {
        this->recordUnreachable(*endpoint, error);
        context.failureReason = Refusal::EndpointUnreachable;
        co_return AttemptResult::NotRun;
    }
    this->recordConnected(*endpoint, *session);
    // While the connection was established, the caller and the endpoint may have left, and the key may have been
    // revoked. If the process stood still, the request and its caller's end are read in the same turn.
    if (context.request.hasCallerLeft())
        throw CallerGoneError {};
    const bool isOtherVersion = context.version && endpoint->isVersionUncertain;
    if (isOtherVersion || this->isStopped(context, *endpoint) || !this->dependencies.directory.isAvailable(*endpoint)
        || this->dependencies.rateLimits.isPaused(*endpoint) || !this->isAuthorized(context) || this->endOf(context)) {
        context.failureReason = Refusal::EndpointLeaving;
        co_return AttemptResult::NotRun;
    }
    context.request.abortCall = session->abort;
    try {
        co_return co_await this->exchange(context, *endpoint, *session);
    } catch (const EndpointError& error) {
        // The endpoint may go on sending for as long as the connection is open.
        session->abort();
        context.events.discardIncompleteEvent();
        if (context.request.isCallerGone)
            co_return AttemptResult::MayHaveRun;
        this->finishObservation(context, !context.isAbortedByHost && !this->endOf(context));
        ++context.executions;
        if (this->endOf(context))
            co_return AttemptResult::TimedOut;
        this->recordFault(*endpoint, error, EndpointResult::Failed);
        // An answer past its beginning has cleared the request, which broke because another one crashed the endpoint.
        if (error.fault() == EndpointFault::Broken && !std::exchange(context.isAbortedByHost, false)
            && context.relayedParts < kClearingParts)
            this->dependencies.crashQuarantine.recordCrash(suspectsOf(context), endpoint->processHash);
        context.failureReason = context.isHeadWritten ? Refusal::StreamIncomplete : Refusal::EndpointBroken;
        LogLine line { LogEvent::RequestBroken };
        line.add("endpoint", endpoint->record.id).add("error", error.what());
        line.add("target", context.request.target).add("runs", std::int64_t { context.executions });
        line.add("segments", describeSegments(context.request.metadata.promptSegments));
        line.add("relayed_parts", std::int64_t { context.relayedParts });
        this->dependencies.log.write(context.request.metadata.attemptId, std::move(line));
        co_return AttemptResult::MayHaveRun;
    }
}

std::uint32_t Forwarder::recordPrompt(const RequestContext& context, const GatewayEndpoint& endpoint,
    const GatewayEndpointPtr& cacheSource, LogLine& line)
{
    const auto& segments = context.request.metadata.promptSegments;
    const auto ownTokens = segments.empty() ? 0 : segments.back().tokens;
    if (context.sharedSegment == nullptr)
        return ownTokens;
    line.add("prompt", context.sharedSegment->id).add("prompt_tokens", std::int64_t { context.sharedSegment->tokens });
    if (cacheSource)
        line.add("copied_from", cacheSource->record.id);
    const bool isCached = cacheSource || this->dependencies.promptCache.isCached(context.promptKey, endpoint.hash);
    this->dependencies.promptCache.recordUse({ context.promptKey, endpoint.hash });
    return isCached ? ownTokens : ownTokens + context.sharedTokens;
}

Task<Forwarder::AttemptResult> Forwarder::exchange(
    RequestContext& context, GatewayEndpoint& endpoint, EndpointSession& session)
{
    const auto cacheSource = this->dependencies.placement.findCacheSource(placementRequestOf(context), endpoint);
    const auto outgoing = this->toEndpointRequest(context, endpoint, cacheSource);
    LogLine line { LogEvent::RequestSent };
    line.add("route", context.route->name).add("plan", static_cast<std::int64_t>(context.plan->version()));
    line.add("plan_age_ms", this->dependencies.lease.age()).add("endpoint", endpoint.record.id);
    line.add("address", endpoint.record.address.toText()).add("reused", std::int64_t { session.isReused });
    line.add("service", context.service).add("version", endpoint.record.version);
    line.add("in_flight", std::int64_t { endpoint.inFlight }).add("send", std::int64_t { context.attempts });
    line.add("load_own", std::int64_t { context.load.own }).add("load_others", std::int64_t { context.load.others });
    line.add("load_mean", context.load.mean).add("load_limit", context.load.limit).add("load_age_ms", context.loadAge);
    line.add("load_unseen", context.load.unseen).add("pace_weight", context.load.paceWeight);
    if (endpoint.limit.perSecond) {
        line.add("limit_per_second", *endpoint.limit.perSecond);
        line.add("limit_age_ms", this->dependencies.clock.now() - endpoint.limit.toldAt);
    }
    line.add("waited_ms", this->dependencies.clock.now() - context.request.arrivedAt);
    const auto unreadTokens = this->recordPrompt(context, endpoint, cacheSource, line);
    this->dependencies.log.write(context.request.metadata.attemptId, std::move(line));
    this->beginTiming(context, endpoint, unreadTokens);
    WorkReservation work { &endpoint, heldTokensOf(context),
        static_cast<std::uint32_t>(context.cost.outputTokens.mean) };
    context.work = &work;
    BacklogReservation reservation { &endpoint, unreadTokens };
    RetryableCall call;
    call.lastActivityAt = this->dependencies.clock.now();
    call.abort = [this, &context, &session] {
        if (!this->reserveRetry(context))
            return;
        context.isAbortedByHost = true;
        session.abort();
    };
    if (context.route->isRetryable())
        endpoint.retryableCalls.push_back(call);
    ++context.request.sends;
    this->observeAnswer(context, endpoint, unreadTokens);
    co_await session.send(outgoing);
    const auto head = co_await session.readHead(context.deadline + kDeadlineTolerance);
    reservation.release();
    this->recordHeadTime(context);
    // Status 421 tells that another process has the address; the record is outdated until the store has a newer one.
    const bool isMisdirected = head.status == kMisdirectedRequest;
    if (!isMisdirected)
        this->recordAnnouncements(endpoint, head);
    const auto rejectionDeadline = std::min(context.deadline, this->dependencies.clock.now() + kRejectionTimeout);
    if (head.metadata.isNotRun || isMisdirected) {
        context.rejectionStatus = head.status;
        context.observation.unlink();
        this->recordResult(endpoint, isMisdirected ? EndpointResult::Unreachable : EndpointResult::Shed);
        context.failureReason = isMisdirected ? Refusal::EndpointUnreachable : Refusal::EndpointAtBound;
        co_await skipRejection(session, rejectionDeadline);
        co_return AttemptResult::NotRun;
    }
    // To the caller, such a status would be this host's promise, and the endpoint has not made it.
    if (promisesNotRun(head.status)) {
        this->recordUnprovenRejection(context, endpoint, head.status);
        co_await skipRejection(session, rejectionDeadline);
        co_return AttemptResult::MayHaveRun;
    }
    if (isSuccess(head.status) && (!head.metadata.isSigned || head.metadata.isEncoded))
        throw EndpointError { EndpointFault::Broken, "the answer is not the endpoint's own" };
    if (context.isHeadWritten && !isEventStream(head))
        throw EndpointError { EndpointFault::Broken, "the endpoint does not go on with the stream" };
    const auto result = co_await this->relayResponse(context, head, session, call);
    if (result != AttemptResult::Completed) {
        ++context.executions;
        context.failureReason = Refusal::EndpointBroken;
    } else if (context.relayedParts < kClearingParts) {
        this->recordAnswer(context, head);
    }
    this->finishObservation(context, head.status >= kFirstServerError);
    if (result == AttemptResult::Completed && isSuccess(head.status)) {
        this->recordWait(context);
        this->recordCost(context, endpoint, head);
    }
    this->recordResult(endpoint, head.status >= kFirstServerError ? EndpointResult::Failed : EndpointResult::Success);
    co_return result;
}

Task<void> Forwarder::skipRejection(EndpointSession& session, TimePoint deadline)
{
    try {
        std::size_t skipped = 0;
        while (const auto bytes = co_await session.readBody(deadline)) {
            skipped += bytes->size();
            if (skipped > kMaxBufferedBytes)
                throw EndpointError { EndpointFault::Broken, "the body of a rejection does not end" };
        }
    } catch (const EndpointError& error) {
        // The head has already told that the request did not run.
        spdlog::debug("closed the connection after a rejection: {}", error.what());
        session.abort();
    }
}

Task<void> Forwarder::writeHead(RequestContext& context, const ResponseHead& head)
{
    if (std::exchange(context.isHeadWritten, true))
        co_return;
    context.request.firstByteAt = this->dependencies.clock.now();
    context.isStreamBegun = isEventStream(head);
    auto written = head;
    // Another endpoint may continue the stream, so that its length is not known.
    if (context.isStreamBegun && context.route->isResumable)
        written.length.reset();
    co_await context.writer.head(written);
}

void Forwarder::recordAnswer(RequestContext& context, const ResponseHead& head)
{
    if (isSuccess(head.status) && !this->dependencies.crashQuarantine.isEmpty())
        this->dependencies.crashQuarantine.recordAnswer(suspectsOf(context));
}

Task<void> Forwarder::relayPart(RequestContext& context, const ResponseHead& head, std::string_view part)
{
    if (context.route->isResumable && isEventStream(head) && !this->recordStreamVersion(context)) {
        context.isAbortedByHost = true;
        throw EndpointError { EndpointFault::Broken, "the endpoint may run another version than the stream's" };
    }
    this->recordPartTime(context, isEventStream(head));
    co_await this->writeHead(context, head);
    co_await context.writer.body(part);
    if (++context.relayedParts == kClearingParts)
        this->recordAnswer(context, head);
}

Task<Forwarder::AttemptResult> Forwarder::relayResponse(
    RequestContext& context, const ResponseHead& head, EndpointSession& session, RetryableCall& call)
{
    const bool isStream = isEventStream(head);
    const auto deadline = context.deadline + kDeadlineTolerance;
    // A server error of the endpoint is passed on only if the request cannot be retried at another endpoint.
    const bool isRetriedFailure = head.status >= kFirstServerError && !context.isHeadWritten
        && context.route->isRetryable() && context.executions + 1 < context.route->maxAttempts;
    const bool isPassedOn = !isRetriedFailure && (isSuccess(head.status) || head.metadata.isSigned);
    std::string buffered;
    while (const auto bytes = co_await session.readBody(deadline)) {
        call.lastActivityAt = this->dependencies.clock.now();
        if (isStream) {
            const auto events = context.events.append(*bytes);
            if (context.events.incompleteEvent().size() > kMaxEventBytes)
                throw EndpointError { EndpointFault::Broken, "an event of the stream does not end" };
            if (events.empty())
                continue;
            co_await this->relayPart(context, head, events);
            continue;
        }
        buffered += *bytes;
        if (buffered.size() < kMaxBufferedBytes)
            continue;
        if (!isPassedOn)
            throw EndpointError { EndpointFault::Broken, "the body of a failure does not end" };
        co_await this->relayPart(context, head, buffered);
        buffered.clear();
    }
    if (!context.events.incompleteEvent().empty())
        throw EndpointError { EndpointFault::Broken, "the stream ended inside an event" };
    if (isRetriedFailure)
        co_return AttemptResult::MayHaveRun;
    co_await this->writeHead(context, head);
    if (!buffered.empty())
        co_await context.writer.body(buffered);
    co_return AttemptResult::Completed;
}

} // namespace berylwing
