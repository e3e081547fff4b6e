#include "berylwing/relay/attempt_server.hpp"

#include "berylwing/relay/timing.hpp"
#include "berylwing/telemetry/log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

constexpr unsigned kPartialContent = 206;
constexpr std::ptrdiff_t kMaxIdenticalRequests = 2;

Duration remaining(const wire::Request& request) { return Duration { request.remaining_ms() }; }

Outcome toOutcome(const EndpointError& error)
{
    if (error.fault() == EndpointFault::NotSent)
        return NotRun { Refusal::EndpointUnreachable };
    return OutcomeUnknown { Refusal::EndpointBroken };
}

} // namespace

AttemptServer::Attempt::Attempt(Clock& clock, const wire::Envelope& envelope)
    : from { envelope.from() }
    , open { envelope.open() }
    , deadline { clock.now() + remaining(envelope.open().request()) }
    , stateChanged { clock }
    , sendWindow { envelope.open().window_bytes() }
    , offset { envelope.open().resume_offset() }
    , lastSentAt { clock.now() }
    , fingerprint { CrashRegister::fingerprintOf(envelope.open().request()) }
{
}

AttemptServer::AttemptServer(Clock& hostClock, Link& hostLink, EndpointRegistry& endpointRegistry,
    CrashRegister& crashRegister, Metrics& hostMetrics, EndpointAccess endpointAccess, const Steps& pathSteps)
    : clock { hostClock }
    , link { hostLink }
    , registry { endpointRegistry }
    , crashes { crashRegister }
    , metrics { hostMetrics }
    , access { std::move(endpointAccess) }
    , steps { pathSteps }
{
    this->link.handle(wire::Envelope::kOpen, [this](wire::Envelope& envelope) {
        spawn(this->clock.executor(), "attempt", this->serve(std::move(envelope)));
    });
    this->link.handle(wire::Envelope::kCredit, [this](const wire::Envelope& envelope) {
        if (auto* attempt = this->find(envelope.credit().attempt())) {
            attempt->sendWindow += static_cast<std::int64_t>(envelope.credit().bytes());
            attempt->stateChanged.notifyAll();
        }
    });
    this->link.handle(wire::Envelope::kCancel, [this](const wire::Envelope& envelope) {
        if (auto* attempt = this->find(envelope.cancel().attempt())) {
            attempt->isCancelled = true;
            if (attempt->connection)
                attempt->connection->abort();
            attempt->stateChanged.notifyAll();
        }
    });
}

Task<void> AttemptServer::run()
{
    while (true) {
        for (auto& attempt : this->attempts) {
            if (this->clock.now() - attempt.lastSentAt >= kKeepAliveInterval)
                this->sendChunk(attempt, {});
        }
        co_await this->clock.sleepFor(kKeepAliveInterval / 2);
    }
}

AttemptServer::Attempt* AttemptServer::find(std::uint64_t id)
{
    const auto found = std::find_if(this->attempts.begin(), this->attempts.end(),
        [id](const Attempt& attempt) { return attempt.open.attempt() == id; });
    return found == this->attempts.end() ? nullptr : &*found;
}

bool AttemptServer::isDuplicate(std::uint64_t attempt, TimePoint deadline)
{
    const auto now = this->clock.now();
    while (!this->attemptIdsByAge.empty() && this->attemptIdsByAge.front().expiresAt < now) {
        this->attemptIds.erase(this->attemptIdsByAge.front().attempt);
        this->attemptIdsByAge.pop_front();
    }
    if (!this->attemptIds.insert(attempt).second)
        return true;
    this->attemptIdsByAge.push_back({ attempt, deadline + kDuplicateDetectionTtl });
    return false;
}

Task<void> AttemptServer::serve(wire::Envelope envelope)
{
    Attempt attempt { this->clock, envelope };
    if (this->isDuplicate(attempt.open.attempt(), attempt.deadline)) {
        this->metrics.add(Incident::DuplicateAttemptDropped);
        co_return;
    }
    this->attempts.push_back(attempt);
    co_await this->steps.reach(Step::OwnerReceived);
    const auto endpoint = this->registry.find(attempt.open.endpoint());
    if (!endpoint)
        co_return this->sendRefusal(attempt, NotRun { Refusal::NotOwner }, 0, {});
    if (attempt.open.follow_placement()) {
        const auto place = endpoint->placements.lookUp(attempt.open.request().chat(), this->clock.now());
        if (place && *place != attempt.open.endpoint())
            co_return this->sendRefusal(attempt, NotRun { Refusal::PlacedElsewhere }, endpoint->inFlight(), *place);
    }
    const auto outcome = co_await this->run(attempt, *endpoint);
    if (!outcome.isComplete())
        this->sendRefusal(attempt, outcome, endpoint->inFlight(), {});
    co_await this->steps.reach(Step::OwnerFinished);
}

Task<Outcome> AttemptServer::run(Attempt& attempt, RegisteredEndpoint& endpoint)
{
    if (const auto reason = co_await this->waitForSlot(attempt, endpoint))
        co_return NotRun { *reason };
    if (!attempt.open.request().chat().empty())
        endpoint.recentChats.insert({ attempt.open.request().chat(), attempt.open.endpoint() }, this->clock.now());
    const Admission admission { &endpoint, attempt.open.request().workspace(),
        this->crashes.isSuspect(attempt.fingerprint) };
    attempt.isAdmitted = true;
    co_await this->steps.reach(Step::OwnerAdmitted);
    try {
        attempt.connection = co_await this->access.connect(endpoint.configuration, attempt.deadline);
    } catch (const EndpointError& error) {
        this->registry.observeFailure(endpoint);
        co_return NotRun { Refusal::EndpointUnreachable };
    }
    co_await this->steps.reach(Step::OwnerSending);
    // The process may have been paused since the admission and may have lost ownership, so it is checked again.
    if (const auto reason = this->registry.checkSend(endpoint))
        co_return NotRun { *reason };
    if (attempt.isCancelled)
        co_return NotRun { Refusal::CallerGone };
    if (this->clock.now() >= attempt.deadline)
        co_return NotRun { Refusal::DeadlinePassed };
    co_return co_await this->relayResponse(attempt, endpoint);
}

Task<std::optional<Refusal>> AttemptServer::waitForSlot(Attempt& attempt, RegisteredEndpoint& endpoint)
{
    auto reason = this->checkAdmission(attempt, endpoint);
    // For a known chat, a short wait costs less than computing its prefix at another engine; a new one gains nothing.
    const bool isKnown = endpoint.recentChats.lookUp(attempt.open.request().chat(), this->clock.now()).has_value();
    if (reason != Refusal::EndpointAtBound || !isKnown || endpoint.waitingChats >= endpoint.lifecycle.limit())
        co_return reason;
    const auto until = std::min(attempt.deadline, this->clock.now() + kPreferredEngineTimeout);
    ++endpoint.waitingChats;
    while (reason == Refusal::EndpointAtBound && this->clock.now() < until && !attempt.isCancelled) {
        co_await endpoint.slotFreed.waitUntil(until);
        reason = this->checkAdmission(attempt, endpoint);
    }
    --endpoint.waitingChats;
    co_return reason;
}

std::optional<Refusal> AttemptServer::checkAdmission(const Attempt& attempt, RegisteredEndpoint& endpoint) const
{
    if (this->crashes.isQuarantined(attempt.fingerprint))
        return Refusal::Quarantined;
    // Only one suspect runs at an endpoint at a time, so that the next crash identifies the request that caused it.
    if (this->crashes.isSuspect(attempt.fingerprint) && endpoint.suspectsInFlight > 0)
        return Refusal::SuspectRunning;
    if (this->isAlreadyRunning(attempt))
        return Refusal::SameRequestRunning;
    const PoolLoad observed { attempt.open.observed_in_flight(), attempt.open.observed_engines() };
    return this->registry.checkAdmission(endpoint, attempt.open.request(), observed);
}

bool AttemptServer::isAlreadyRunning(const Attempt& attempt) const
{
    const auto& request = attempt.open.request();
    const auto same = std::count_if(this->attempts.begin(), this->attempts.end(), [&](const Attempt& other) {
        return other.isAdmitted && other.fingerprint == attempt.fingerprint
            && other.open.request().chat() == request.chat();
    });
    // Without a chat, two callers may send the same request by chance. Within a chat it is a resend.
    const auto allowed = request.chat().empty() ? kMaxIdenticalRequests : 1;
    return request.is_engine_call() && same >= allowed;
}

Task<Outcome> AttemptServer::relayResponse(Attempt& attempt, RegisteredEndpoint& endpoint)
{
    try {
        const auto outcome = co_await this->streamResponse(attempt, endpoint);
        if (outcome.isComplete()) {
            this->registry.observeSuccess(endpoint);
            this->crashes.recordSuccess(attempt.fingerprint);
        }
        co_return outcome;
    } catch (const EndpointError& error) {
        logRequest(LogLevel::Warn, attempt.open.request().request_id(), error.what());
        if (attempt.isCancelled)
            co_return OutcomeUnknown { Refusal::CallerGone };
        if (error.fault() == EndpointFault::Broken) {
            this->registry.observeFailure(endpoint);
            this->crashes.recordCrash(attempt.fingerprint);
        }
        co_return toOutcome(error);
    }
}

Task<Outcome> AttemptServer::streamResponse(Attempt& attempt, RegisteredEndpoint& endpoint)
{
    const auto connection = attempt.connection;
    EndpointCall call { attempt.open.request(), attempt.open.attempt(), attempt.open.resume_offset(),
        attempt.open.resume_token() };
    co_await connection->send(call);
    const auto head = co_await connection->readHead(attempt.deadline);
    this->registry.observeHead(endpoint, head);
    if (attempt.open.resume_offset() > 0 && head.status != kPartialContent)
        co_return OutcomeUnknown { Refusal::StreamIncomplete };
    // To the caller, such a status would be this fleet's promise, and the endpoint has not made it.
    if (promisesNotRun(head.status)) {
        logRequest(LogLevel::Warn, attempt.open.request().request_id(),
            "the endpoint rejected the request with status " + std::to_string(head.status)
                + " and does not tell that it did not run");
        co_return OutcomeUnknown { Refusal::EndpointBroken };
    }
    wire::Envelope headMessage;
    headMessage.mutable_head()->set_attempt(attempt.open.attempt());
    headMessage.mutable_head()->set_status(head.status);
    headMessage.mutable_head()->set_content_type(head.contentType);
    headMessage.mutable_head()->set_resume_token(head.resumeToken);
    this->link.send(attempt.from, std::move(headMessage));
    while (auto bytes = co_await connection->readBody(attempt.deadline)) {
        co_await this->steps.reach(Step::OwnerStreaming);
        co_await this->waitForSendWindow(attempt);
        if (attempt.isCancelled)
            co_return OutcomeUnknown { Refusal::CallerGone };
        if (this->clock.now() >= attempt.deadline)
            co_return OutcomeUnknown { Refusal::DeadlinePassed };
        this->sendChunk(attempt, std::move(*bytes));
    }
    wire::Envelope endMessage;
    endMessage.mutable_end()->set_attempt(attempt.open.attempt());
    endMessage.mutable_end()->set_length(attempt.offset);
    this->link.send(attempt.from, std::move(endMessage));
    co_return Outcome {};
}

Task<void> AttemptServer::waitForSendWindow(Attempt& attempt)
{
    while (attempt.sendWindow <= 0 && !attempt.isCancelled && this->clock.now() < attempt.deadline)
        co_await attempt.stateChanged.waitUntil(attempt.deadline);
}

void AttemptServer::sendRefusal(
    const Attempt& attempt, const Outcome& outcome, std::uint32_t inFlight, const std::string& placedAt)
{
    wire::Envelope envelope;
    auto& refused = *envelope.mutable_refused();
    refused.set_attempt(attempt.open.attempt());
    refused.set_reason(static_cast<std::uint32_t>(*outcome.reason));
    refused.set_execution(static_cast<wire::Execution>(outcome.execution));
    refused.set_retry_after_ms(outcome.retryAfter.count());
    refused.set_in_flight(inFlight);
    refused.set_placed_at(placedAt);
    this->metrics.add(*outcome.reason);
    this->link.send(attempt.from, std::move(envelope));
}

void AttemptServer::sendChunk(Attempt& attempt, std::string bytes)
{
    wire::Chunk chunk;
    chunk.set_attempt(attempt.open.attempt());
    chunk.set_offset(attempt.offset);
    attempt.offset += bytes.size();
    attempt.sendWindow -= static_cast<std::int64_t>(bytes.size());
    attempt.lastSentAt = this->clock.now();
    if (!bytes.empty())
        this->metrics.addRelayedChunk();
    chunk.set_data(std::move(bytes));
    this->link.sendChunk(attempt.from, std::move(chunk));
}

} // namespace berylwing
