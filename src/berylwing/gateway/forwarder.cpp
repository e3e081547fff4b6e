#include "berylwing/gateway/forwarder.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/event_splitter.hpp"
#include "berylwing/relay/response_sink.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

constexpr unsigned kMisdirected = 421;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kFirstSuccess = 200;
constexpr unsigned kFirstRedirect = 300;
constexpr std::string_view kEventStream = "text/event-stream";
/** Sends of one request; each but the first draws on the fleet's allowance. */
constexpr unsigned kMostSends = 4;
/** Answers up to this size are collected before their first byte goes out, so that a broken one can be repeated. */
constexpr std::size_t kMostCollectedBytes = 64 * 1024;
/** Time beyond the deadline for the endpoint's own answer that the deadline has passed. */
constexpr Duration kDeadlineSlack { 40 };
/** Wait that a caller is told when no endpoint may take its request; an ejection or a cold second then ends. */
constexpr Duration kShortRetryAfter { 300 };
/** Spread of the waits, so that refused callers do not come back together. */
constexpr std::uint64_t kRetrySpreadMs = 300;

/** Finds the part of a prompt that comes back: the last one is the request's own, if there are several. */
const PromptPart* sharedPart(const std::vector<PromptPart>& parts)
{
    if (parts.empty())
        return nullptr;
    return parts.size() > 1 ? &parts[parts.size() - 2] : &parts.back();
}

std::uint32_t sharedTokensOf(const std::vector<PromptPart>& parts)
{
    std::uint32_t tokens = 0;
    for (std::size_t place = 0; place + 1 < parts.size(); ++place)
        tokens += parts[place].tokens;
    return tokens;
}

Duration retryAfterOf(std::uint64_t requestHash)
{
    return kShortRetryAfter + Duration { static_cast<Duration::rep>(requestHash % kRetrySpreadMs) };
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find('?')); }

bool isSuccess(unsigned status) { return status >= kFirstSuccess && status < kFirstRedirect; }

/** Counts a request at its endpoint while it is there. */
class InFlight {
public:
    explicit InFlight(GatewayEndpointPtr servingEndpoint)
        : endpoint { std::move(servingEndpoint) }
    {
        ++this->endpoint->inFlight;
    }

    ~InFlight() { --this->endpoint->inFlight; }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

private:
    GatewayEndpointPtr endpoint;
};

/** Counts a prompt among what its endpoint has still to read, until the endpoint begins to answer. */
class PromptReading {
public:
    PromptReading(GatewayEndpointPtr readingEndpoint, std::uint32_t promptTokens)
        : endpoint { std::move(readingEndpoint) }
        , tokens { promptTokens }
    {
        this->endpoint->unreadTokens += this->tokens;
    }

    ~PromptReading() { this->finish(); }
    PromptReading(const PromptReading&) = delete;
    PromptReading& operator=(const PromptReading&) = delete;

    void finish() { this->endpoint->unreadTokens -= std::exchange(this->tokens, 0); }

private:
    GatewayEndpointPtr endpoint;
    std::uint32_t tokens;
};

} // namespace

/** What is known of a request on its way. */
struct Forwarder::Journey {
    GatewayRequest& request;
    const AnswerSink& sink;
    std::shared_ptr<const RoutingPlan> plan;
    const Route* route = nullptr;
    const KeyHolder* holder = nullptr;
    std::string service {};
    ServiceTraits traits {};
    std::uint64_t requestHash = 0;
    /** Part of the prompt by which the request is placed; none if it shares nothing. */
    const PromptPart* shared = nullptr;
    /** Hash of that part. */
    std::uint64_t promptKey = 0;
    std::uint32_t sharedTokens = 0;
    TimePoint deadline {};
    std::vector<GatewayEndpointPtr> tried {};
    unsigned sends = 0;
    /** Endpoints that may have run the request. */
    unsigned runs = 0;
    bool isHeadWritten = false;
    /** Whether this host itself has ended the call at the endpoint, which says nothing about the request. */
    bool isMovedAway = false;
    EventSplitter events {};
    Refusal lastFailure = Refusal::NoEndpoint;
};

Forwarder::Forwarder(ForwarderParts hostParts)
    : parts { std::move(hostParts) }
{
}

bool Forwarder::isTrusted(const Journey& journey) const
{
    return journey.holder == nullptr || this->parts.lease.isValid();
}

std::optional<NotRun> Forwarder::prepare(Journey& journey) const
{
    const auto& facts = journey.request.facts;
    journey.requestHash = hashText(facts.attemptId);
    const auto retryAfter = retryAfterOf(journey.requestHash);
    if (!journey.plan)
        return NotRun { Refusal::ConfigurationUnknown, retryAfter };
    if (facts.attemptId.empty())
        return NotRun { Refusal::BadRequest };
    journey.route = journey.plan->match(journey.request.hostname, pathOf(journey.request.target));
    // A plan that may be old does not prove that a route or a key does not exist.
    if (journey.route == nullptr)
        return this->parts.lease.isValid() ? NotRun { Refusal::UnknownRoute }
                                           : NotRun { Refusal::ConfigurationStale, retryAfter };
    if (!journey.route->isPublic && journey.plan->hasWorkspaces()) {
        if (!this->parts.lease.isValid())
            return NotRun { Refusal::ConfigurationStale, retryAfter };
        journey.holder = journey.plan->holderOf(facts.key);
        if (journey.holder == nullptr)
            return NotRun { Refusal::UnknownWorkspace };
    }
    journey.service = journey.route->serviceFor(journey.requestHash);
    if (const auto* traits = journey.plan->service(journey.service))
        journey.traits = *traits;
    const auto patience = std::min(facts.patience.value_or(journey.route->timeout), journey.route->timeout);
    journey.deadline = journey.request.arrivedAt + patience;
    journey.events.resumeAfter(facts.lastEventId);
    if (journey.route->isSticky)
        journey.shared = sharedPart(facts.promptParts);
    if (journey.shared != nullptr) {
        journey.promptKey = hashText(journey.shared->id);
        journey.sharedTokens = sharedTokensOf(facts.promptParts);
    }
    return std::nullopt;
}

std::uint64_t Forwarder::fingerprintOf(const Journey& journey)
{
    const auto workspace = journey.holder == nullptr ? std::string_view {} : journey.holder->workspace;
    return CrashNotes::fingerprintOf(workspace, journey.request.target, journey.request.body);
}

PlacementRequest Forwarder::placementOf(const Journey& journey)
{
    const bool isSticky = journey.shared != nullptr;
    const auto key = isSticky ? journey.promptKey : journey.requestHash;
    return { journey.service, key, journey.sharedTokens, isSticky, journey.tried };
}

Outcome Forwarder::giveUp(const Journey& journey, Refusal reason) const
{
    if (journey.runs > 0)
        return OutcomeUnknown { reason };
    return NotRun { reason, retryAfterOf(journey.requestHash) };
}

std::optional<Outcome> Forwarder::endBefore(Journey& journey, GatewayEndpointPtr& endpoint)
{
    if (journey.request.isCallerGone)
        throw CallerGoneError {};
    if (this->parts.clock.now() >= journey.deadline)
        return this->giveUp(journey, Refusal::DeadlinePassed);
    if (!this->isTrusted(journey))
        return this->giveUp(journey, Refusal::ConfigurationStale);
    // Without a note there is no need to hash bodies.
    if (!this->parts.crashes.isEmpty() && this->parts.crashes.isQuarantined(fingerprintOf(journey)))
        return this->giveUp(journey, Refusal::Quarantined);
    endpoint = this->parts.placement.choose(placementOf(journey), journey.traits);
    if (!endpoint)
        return this->giveUp(journey, journey.lastFailure);
    if (journey.sends > 0 && !this->parts.retries.take(journey.service))
        return this->giveUp(journey, Refusal::RetryBudgetSpent);
    return std::nullopt;
}

bool Forwarder::mayTryAgain(Journey& journey, AttemptEnd end)
{
    if (journey.sends >= kMostSends)
        return false;
    if (end == AttemptEnd::NotRun)
        return true;
    const bool mayContinue = !journey.isHeadWritten || journey.route->isResumable;
    return end == AttemptEnd::MayHaveRun && mayContinue && journey.route->mayRunAgain()
        && journey.runs < journey.route->mostAttempts;
}

Task<Outcome> Forwarder::forward(GatewayRequest& request, const AnswerSink& sink)
{
    Journey journey { request, sink, this->parts.plan() };
    if (const auto refusal = this->prepare(journey))
        co_return *refusal;
    this->parts.retries.recordRequest(journey.service);
    while (true) {
        GatewayEndpointPtr endpoint;
        if (const auto outcome = this->endBefore(journey, endpoint))
            co_return *outcome;
        const auto end = co_await this->attempt(journey, endpoint);
        request.abortCall = nullptr;
        if (end == AttemptEnd::Whole)
            co_return Outcome {};
        if (request.isCallerGone)
            throw CallerGoneError {};
        if (end == AttemptEnd::TimedOut)
            co_return this->giveUp(journey, Refusal::DeadlinePassed);
        if (!this->mayTryAgain(journey, end))
            co_return this->giveUp(journey, journey.lastFailure);
        this->parts.metrics.add(journey.isHeadWritten ? Retry::ResumeAtOffset : Retry::NextCandidate);
        LogLine line { journey.isHeadWritten ? LogEvent::RequestResumed : LogEvent::RequestRetried };
        line.add("after", endpoint->record.id).add("reason", kRefusalNames[journey.lastFailure]);
        line.add("runs", std::int64_t { journey.runs }).add("after_event", journey.events.lastEventId());
        this->parts.log.write(request.facts.attemptId, std::move(line));
    }
}

EndpointRequest Forwarder::toEndpointRequest(
    const Journey& journey, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& source) const
{
    EndpointRequestFacts facts;
    facts.endpointId = endpoint.record.id;
    if (journey.holder != nullptr)
        facts.workspace = journey.holder->workspace;
    facts.patience = std::max(journey.deadline - this->parts.clock.now(), Duration { 1 });
    const auto ownPriority = journey.holder == nullptr ? std::nullopt : journey.holder->priority;
    facts.priority = ownPriority.value_or(journey.route->priority);
    if (journey.isHeadWritten)
        facts.resumeAfter = journey.events.lastEventId();
    if (source)
        facts.copyFrom = source->record.address;
    auto fields = journey.request.fields;
    this->parts.protocol.prepareForEndpoint(fields, facts);
    return { journey.request.method, journey.request.target, std::move(fields), journey.request.body,
        journey.request.facts.attemptId };
}

void Forwarder::record(GatewayEndpoint& endpoint, EndpointVerdict verdict)
{
    const auto now = this->parts.clock.now();
    const bool wasEjected = endpoint.health.isEjected(now);
    endpoint.health.record(verdict, now);
    if (wasEjected || !endpoint.health.isEjected(now) || verdict == EndpointVerdict::Shed)
        return;
    LogLine line { LogEvent::EndpointEjected };
    line.add("endpoint", endpoint.record.id).add("service", endpoint.record.service);
    line.add("unreachable", std::int64_t { verdict == EndpointVerdict::Unreachable });
    this->parts.log.write(line);
}

void Forwarder::recordFault(GatewayEndpoint& endpoint, const EndpointError& error, EndpointVerdict verdict)
{
    const bool isSilent = error.fault() == EndpointFault::Silent;
    this->record(endpoint, isSilent ? EndpointVerdict::Unreachable : verdict);
    if (isSilent)
        this->parts.noteSilence(endpoint);
}

Task<Forwarder::AttemptEnd> Forwarder::attempt(Journey& journey, GatewayEndpointPtr endpoint)
{
    const InFlight place { endpoint };
    journey.tried.push_back(endpoint);
    ++journey.sends;
    if (endpoint->isCold(this->parts.clock.now()))
        endpoint->lastColdSend = this->parts.clock.now();
    std::shared_ptr<EndpointSession> session;
    try {
        const auto use = journey.route->mayRunAgain() ? ConnectionUse::AnyIdle : ConnectionUse::SurelyOpen;
        session = co_await this->parts.open(*endpoint, use);
    } catch (const EndpointError& error) {
        this->recordFault(*endpoint, error, EndpointVerdict::Unreachable);
        journey.lastFailure = Refusal::EndpointUnreachable;
        co_return AttemptEnd::NotRun;
    }
    // Connecting takes time, in which the endpoint may have left and keys may have been taken away.
    if (!this->parts.directory.isOpen(*endpoint) || !this->isTrusted(journey)) {
        journey.lastFailure = Refusal::EndpointLeaving;
        co_return AttemptEnd::NotRun;
    }
    journey.request.abortCall = session->abort;
    try {
        co_return co_await this->exchange(journey, *endpoint, *session);
    } catch (const EndpointError& error) {
        journey.events.dropRest();
        if (journey.request.isCallerGone)
            co_return AttemptEnd::MayHaveRun;
        ++journey.runs;
        if (this->parts.clock.now() >= journey.deadline)
            co_return AttemptEnd::TimedOut;
        this->recordFault(*endpoint, error, EndpointVerdict::Failed);
        if (error.fault() == EndpointFault::Broken && !std::exchange(journey.isMovedAway, false))
            this->parts.crashes.record(fingerprintOf(journey), endpoint->hash);
        journey.lastFailure = journey.isHeadWritten ? Refusal::StreamIncomplete : Refusal::EndpointBroken;
        LogLine line { LogEvent::RequestBroken };
        line.add("endpoint", endpoint->record.id).add("error", error.what());
        line.add("target", journey.request.target).add("runs", std::int64_t { journey.runs });
        this->parts.log.write(journey.request.facts.attemptId, std::move(line));
        co_return AttemptEnd::MayHaveRun;
    }
}

std::uint32_t Forwarder::recordPrompt(
    const Journey& journey, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& source, LogLine& line)
{
    const auto& parts = journey.request.facts.promptParts;
    const auto ownTokens = parts.empty() ? 0 : parts.back().tokens;
    if (journey.shared == nullptr)
        return ownTokens;
    line.add("prompt", journey.shared->id).add("prompt_tokens", std::int64_t { journey.shared->tokens });
    if (source)
        line.add("copied_from", source->record.id);
    const bool isCached = source || this->parts.holders.holds(journey.promptKey, endpoint.hash);
    this->parts.holders.recordUse({ journey.promptKey, endpoint.hash });
    return isCached ? ownTokens : ownTokens + journey.sharedTokens;
}

Task<Forwarder::AttemptEnd> Forwarder::exchange(Journey& journey, GatewayEndpoint& endpoint, EndpointSession& session)
{
    const auto source = this->parts.placement.sourceFor(placementOf(journey), endpoint);
    const auto outgoing = this->toEndpointRequest(journey, endpoint, source);
    LogLine line { LogEvent::RequestSent };
    line.add("route", journey.route->name).add("plan", static_cast<std::int64_t>(journey.plan->version()));
    line.add("plan_age_ms", this->parts.lease.age()).add("endpoint", endpoint.record.id);
    line.add("in_flight", std::int64_t { endpoint.inFlight }).add("send", std::int64_t { journey.sends });
    line.add("waited_ms", this->parts.clock.now() - journey.request.arrivedAt);
    const auto unread = this->recordPrompt(journey, endpoint, source, line);
    this->parts.log.write(journey.request.facts.attemptId, std::move(line));
    PromptReading reading { &endpoint, unread };
    RepeatableCall call;
    call.lastSignAt = this->parts.clock.now();
    call.abort = [&journey, &session] {
        journey.isMovedAway = true;
        session.abort();
    };
    if (journey.route->mayRunAgain())
        endpoint.repeatableCalls.push_back(call);
    co_await session.send(outgoing);
    const auto head = co_await session.readHead(journey.deadline + kDeadlineSlack);
    reading.finish();
    if (head.facts.isNotRun || head.status == kMisdirected) {
        // Another process has the address, so the entry is out of date until the store says otherwise.
        const bool isOther = head.status == kMisdirected;
        this->record(endpoint, isOther ? EndpointVerdict::Unreachable : EndpointVerdict::Shed);
        journey.lastFailure = isOther ? Refusal::EndpointUnreachable : Refusal::EndpointAtBound;
        while (co_await session.readBody(journey.deadline)) { }
        co_return AttemptEnd::NotRun;
    }
    if (isSuccess(head.status) && (!head.facts.isSigned || head.facts.isEncoded))
        throw EndpointError { EndpointFault::Broken, "the answer is not the endpoint's own" };
    if (journey.isHeadWritten && !isSuccess(head.status))
        throw EndpointError { EndpointFault::Broken, "the endpoint does not go on with the stream" };
    const auto end = co_await this->deliver(journey, head, session, call);
    if (end != AttemptEnd::Whole) {
        ++journey.runs;
        journey.lastFailure = Refusal::EndpointBroken;
    } else if (!this->parts.crashes.isEmpty()) {
        this->parts.crashes.clear(fingerprintOf(journey));
    }
    this->record(endpoint, head.status >= kFirstServerError ? EndpointVerdict::Failed : EndpointVerdict::Sound);
    co_return end;
}

Task<void> Forwarder::writeHead(Journey& journey, const AnswerHead& head)
{
    if (std::exchange(journey.isHeadWritten, true))
        co_return;
    journey.request.firstByteAt = this->parts.clock.now();
    co_await journey.sink.head(head);
}

Task<Forwarder::AttemptEnd> Forwarder::deliver(
    Journey& journey, const AnswerHead& head, EndpointSession& session, RepeatableCall& call)
{
    const auto type = head.fields["Content-Type"];
    const bool isEvents
        = isSuccess(head.status) && std::string_view { type.data(), type.size() }.starts_with(kEventStream);
    const auto deadline = journey.deadline + kDeadlineSlack;
    std::string collected;
    while (const auto bytes = co_await session.readBody(deadline)) {
        call.lastSignAt = this->parts.clock.now();
        if (isEvents) {
            const auto whole = journey.events.take(*bytes);
            if (whole.empty())
                continue;
            co_await this->writeHead(journey, head);
            co_await journey.sink.body(whole);
            continue;
        }
        collected += *bytes;
        if (collected.size() < kMostCollectedBytes)
            continue;
        co_await this->writeHead(journey, head);
        co_await journey.sink.body(collected);
        collected.clear();
    }
    if (!journey.events.rest().empty())
        throw EndpointError { EndpointFault::Broken, "the stream ended inside an event" };
    // An endpoint's own failure is passed on only if no other endpoint may still answer.
    if (head.status >= kFirstServerError && !journey.isHeadWritten && journey.route->mayRunAgain()
        && journey.runs + 1 < journey.route->mostAttempts)
        co_return AttemptEnd::MayHaveRun;
    co_await this->writeHead(journey, head);
    if (!collected.empty())
        co_await journey.sink.body(collected);
    co_return AttemptEnd::Whole;
}

} // namespace berylwing
