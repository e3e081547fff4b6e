#include "berylwing/relay/dispatcher.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/relay/observed_loads.hpp"
#include "berylwing/relay/timing.hpp"
#include "berylwing/telemetry/log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

/** @brief Progress of one request over all its attempts. */
struct Dispatcher::RequestProgress {
    RequestProgress(
        const wire::Request& work, Repeatability repeatable, TimePoint until, const ResponseSink& destination)
        : request { work }
        , repeatability { repeatable }
        , deadline { until }
        , sink { destination }
    {
    }

    const wire::Request& request;
    Repeatability repeatability;
    TimePoint deadline;
    const ResponseSink& sink;

    /** Outcome of the last attempt; a refusal before the first one. */
    Outcome lastOutcome = NotRun { Refusal::NoEndpoint, kDefaultRetryDelay };
    /** Whether no further attempt may be made. */
    bool isFinished = false;
    /** Number of body bytes delivered to the caller. */
    std::uint64_t delivered = 0;
    bool isHeadDelivered = false;
    std::optional<wire::Head> head;
    /** Token and endpoint with which the response can be resumed. */
    std::string resumeToken;
    std::string resumeEndpoint;
    /** Endpoint to which the last refusal redirects the chat; empty if it does not. */
    std::string placedAt;
    /** Endpoint of the last attempt and its failure domain. */
    std::string currentEndpoint;
    std::string currentDomain;
    /** Engine loads learned in the previous and in the current round of candidates. */
    ObservedLoads previousLoads;
    ObservedLoads currentLoads;
    /** Number of attempts that followed one that may have run. */
    unsigned reruns = 0;
    /** Whether an attempt ended with an unknown outcome, so that the request may have run. */
    bool canHaveRun = false;
    /** Number of delivered bytes for which no credit has been granted yet. */
    std::uint64_t pendingCredit = 0;
};

Dispatcher::Dispatcher(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
    Metrics& hostMetrics, const Steps& pathSteps)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { failureDomain }
    , metrics { hostMetrics }
    , steps { pathSteps }
    , nextAttempt { hashText(hostLink.identity().host, hostLink.identity().incarnation) }
{
    this->link.handle(wire::Envelope::kHead,
        [this](wire::Envelope& envelope) { this->deliver(envelope.head().attempt(), envelope); });
    this->link.handle(wire::Envelope::kChunks, [this](wire::Envelope& envelope) { this->deliverChunks(envelope); });
    this->link.handle(
        wire::Envelope::kEnd, [this](wire::Envelope& envelope) { this->deliver(envelope.end().attempt(), envelope); });
    this->link.handle(wire::Envelope::kRefused,
        [this](wire::Envelope& envelope) { this->deliver(envelope.refused().attempt(), envelope); });
}

Task<Outcome> Dispatcher::run(
    const wire::Request& request, Repeatability repeatability, TimePoint deadline, const ResponseSink& sink)
{
    RequestProgress progress { request, repeatability, deadline, sink };
    bool isImmediateRetry = false;
    while (!progress.isFinished) {
        const auto order = this->rankCandidates(request);
        auto candidates = progress.canHaveRun ? this->filterReachable(order) : order;
        // The endpoint that has failed the request may fail it again, and there is only one more run.
        if (progress.canHaveRun)
            std::stable_partition(candidates.begin(), candidates.end(),
                [&progress](const std::string& name) { return name != progress.currentEndpoint; });
        if (progress.delivered > 0)
            co_await this->tryEndpoint(progress, progress.resumeEndpoint);
        else
            co_await this->tryCandidates(progress, candidates);
        if (progress.lastOutcome.isComplete())
            this->reportPlacement(progress, order);
        if (progress.isFinished || this->clock.now() + kCandidateRetryDelay >= deadline || order.empty())
            break;
        // One round may follow at once with the loads learned in the last one; the next one has to be delayed.
        isImmediateRetry = !isImmediateRetry && progress.currentLoads.total() > progress.previousLoads.total();
        if (!isImmediateRetry)
            co_await this->clock.sleepFor(kCandidateRetryDelay);
    }
    // An earlier attempt may have run, so the refusal of a later one must not be reported as not run.
    if (!progress.lastOutcome.isComplete() && progress.canHaveRun)
        co_return OutcomeUnknown { *progress.lastOutcome.reason };
    co_return progress.lastOutcome;
}

Task<void> Dispatcher::tryCandidates(RequestProgress& progress, const std::vector<std::string>& order)
{
    progress.previousLoads = std::exchange(progress.currentLoads, {});
    const bool couldHaveRun = progress.canHaveRun;
    for (std::size_t index = 0; index < std::min(order.size(), kMaxCandidates); ++index) {
        if (index > 0)
            this->metrics.add(Retry::NextCandidate);
        co_await this->tryEndpoint(progress, order[index]);
        if (!progress.isFinished && !progress.placedAt.empty())
            co_await this->tryEndpoint(progress, std::exchange(progress.placedAt, {}));
        // The candidates are computed again after an attempt that may have run, and while the same request still runs.
        const bool isStillRunning = progress.lastOutcome.reason == Refusal::SameRequestRunning;
        if (progress.isFinished || progress.delivered > 0 || progress.canHaveRun != couldHaveRun || isStillRunning)
            co_return;
    }
}

std::vector<std::string> Dispatcher::rankCandidates(const wire::Request& request) const
{
    std::vector<std::pair<double, std::string>> scores;
    const auto key = hashText(request.chat().empty() ? request.body() : request.chat());
    const auto kind = request.is_engine_call() ? EndpointKind::Engine : EndpointKind::Service;
    for (const auto& [name, endpoint] : this->catalog.endpoints()) {
        const bool isUsable = endpoint.kind == kind && endpoint.servedName == request.serves() && !endpoint.isLeaving
            && !this->catalog.isDomainOutOfService(endpoint.domain);
        if (isUsable)
            scores.emplace_back(rendezvousScore(key, name, endpoint.weight), name);
    }
    std::sort(scores.rbegin(), scores.rend());
    std::vector<std::string> order;
    order.reserve(scores.size());
    for (auto& [score, name] : scores)
        order.push_back(std::move(name));
    return order;
}

std::uint32_t Dispatcher::countEnginesLike(const EndpointObject& endpoint) const
{
    const auto& endpoints = this->catalog.endpoints();
    return static_cast<std::uint32_t>(std::count_if(endpoints.begin(), endpoints.end(), [&endpoint](const auto& entry) {
        const auto& other = entry.second;
        return other.kind == endpoint.kind && other.servedName == endpoint.servedName
            && other.domain == endpoint.domain;
    }));
}

std::vector<std::string> Dispatcher::filterReachable(const std::vector<std::string>& order) const
{
    std::vector<std::string> reachable;
    for (const auto& name : order) {
        const auto owners = this->findOwners(*this->catalog.endpoint(name));
        if (!owners.empty() && this->link.hasReceivedWithin(owners.front(), kOwnerHeardTimeout))
            reachable.push_back(name);
    }
    return reachable.empty() ? order : reachable;
}

std::vector<std::string> Dispatcher::findOwners(const EndpointObject& endpoint) const
{
    return this->domain.reachableOwners(this->catalog.roster(endpoint.domain), endpoint.name, kMaxOwners);
}

Task<void> Dispatcher::tryEndpoint(RequestProgress& progress, const std::string& name)
{
    const auto* configured = this->catalog.endpoint(name);
    if (configured == nullptr)
        co_return;
    const auto endpoint = *configured;
    for (const auto& owner : this->findOwners(endpoint)) {
        if (this->clock.now() >= progress.deadline) {
            if (progress.lastOutcome.execution == Execution::NotRun)
                progress.lastOutcome = NotRun { Refusal::DeadlinePassed };
            progress.isFinished = true;
            co_return;
        }
        co_await this->tryOwner(progress, endpoint, owner);
        const bool isOwnerUnavailable = progress.lastOutcome.reason == Refusal::NotOwner
            || progress.lastOutcome.reason == Refusal::OwnerInDoubt || progress.lastOutcome.reason == Refusal::LinkDown;
        if (progress.isFinished || !isOwnerUnavailable)
            co_return;
    }
}

Task<void> Dispatcher::tryOwner(RequestProgress& progress, const EndpointObject& endpoint, const std::string& owner)
{
    Inbox inbox { this->clock, this->nextAttempt++, owner };
    this->inboxes.insert(inbox);
    if (!this->link.send(owner, this->makeOpenMessage(progress, endpoint, inbox.attempt))) {
        progress.lastOutcome = NotRun { Refusal::LinkDown, kDefaultRetryDelay };
        co_return;
    }
    progress.currentEndpoint = endpoint.name;
    progress.currentDomain = endpoint.domain;
    try {
        co_await this->steps.reach(Step::EntryForwarded);
        co_await this->receiveResponse(progress, inbox);
    } catch (...) {
        // Whatever keeps the destination from taking the response, the endpoint need not go on with it.
        this->cancel(owner, inbox.attempt);
        throw;
    }
    if (!progress.lastOutcome.isComplete() && progress.lastOutcome.execution != Execution::NotRun)
        this->cancel(owner, inbox.attempt);
    this->concludeAttempt(progress);
}

wire::Envelope Dispatcher::makeOpenMessage(
    const RequestProgress& progress, const EndpointObject& endpoint, std::uint64_t attempt) const
{
    wire::Envelope envelope;
    auto& open = *envelope.mutable_open();
    open.set_attempt(attempt);
    open.set_endpoint(endpoint.name);
    *open.mutable_request() = progress.request;
    open.mutable_request()->set_remaining_ms((progress.deadline - this->clock.now()).count());
    open.set_window_bytes(kWindowBytes);
    open.set_follow_placement(!progress.request.chat().empty() && progress.reruns == 0);
    // The learned loads are a lower bound for the engines of the domain, and newer than the heartbeats of their owners.
    if (const auto observed = progress.previousLoads.totalIn(endpoint.domain); observed > 0) {
        open.set_observed_in_flight(observed);
        open.set_observed_engines(this->countEnginesLike(endpoint));
    }
    if (progress.delivered > 0) {
        open.set_resume_offset(progress.delivered);
        open.set_resume_token(progress.resumeToken);
        open.set_follow_placement(false);
    }
    return envelope;
}

Task<void> Dispatcher::receiveResponse(RequestProgress& progress, Inbox& inbox)
{
    while (true) {
        const auto silenceDeadline = std::min(progress.deadline, this->clock.now() + kAttemptSilenceTimeout);
        while (inbox.messages.empty() && this->clock.now() < silenceDeadline)
            co_await inbox.arrived.waitUntil(silenceDeadline);
        if (inbox.messages.empty()) {
            const bool isPastDeadline = this->clock.now() >= progress.deadline;
            progress.lastOutcome = OutcomeUnknown { isPastDeadline ? Refusal::DeadlinePassed : Refusal::LinkSilent };
            co_return;
        }
        const auto envelope = std::move(inbox.messages.front());
        inbox.messages.pop_front();
        if (envelope.has_refused())
            co_return this->handleRefusal(progress, envelope.refused());
        if (envelope.has_head()) {
            progress.resumeToken = envelope.head().resume_token();
            progress.resumeEndpoint = progress.currentEndpoint;
            progress.head = envelope.head();
        } else if (envelope.has_chunk()) {
            // A gap means that a message was lost; later chunks cannot be delivered.
            if (envelope.chunk().offset() > progress.delivered) {
                progress.lastOutcome = OutcomeUnknown { Refusal::StreamIncomplete };
                co_return;
            }
            co_await this->handleChunk(progress, inbox, envelope.chunk());
        } else if (envelope.has_end()) {
            if (envelope.end().length() != progress.delivered) {
                progress.lastOutcome = OutcomeUnknown { Refusal::StreamIncomplete };
                co_return;
            }
            if (!progress.isHeadDelivered && progress.head)
                co_await progress.sink.head(progress.head->status(), progress.head->content_type());
            progress.lastOutcome = Outcome {};
            co_return;
        }
    }
}

Task<void> Dispatcher::handleChunk(RequestProgress& progress, Inbox& inbox, const wire::Chunk& chunk)
{
    if (chunk.data().empty() || !progress.head)
        co_return;
    if (chunk.offset() != progress.delivered) {
        this->metrics.add(Incident::DuplicateChunkDropped);
        co_return;
    }
    if (!progress.isHeadDelivered) {
        progress.isHeadDelivered = true;
        co_await progress.sink.head(progress.head->status(), progress.head->content_type());
    }
    co_await progress.sink.body(chunk.data());
    progress.delivered += chunk.data().size();
    progress.pendingCredit += chunk.data().size();
    if (progress.pendingCredit < kCreditThresholdBytes)
        co_return;
    wire::Envelope envelope;
    envelope.mutable_credit()->set_attempt(inbox.attempt);
    envelope.mutable_credit()->set_bytes(std::exchange(progress.pendingCredit, 0));
    this->link.send(inbox.owner, std::move(envelope));
}

void Dispatcher::handleRefusal(RequestProgress& progress, const wire::Refused& refused)
{
    const auto reason = static_cast<Refusal>(std::min<std::size_t>(refused.reason(), kRefusalNames.size() - 1));
    if (refused.execution() != wire::NOT_RUN) {
        progress.lastOutcome = OutcomeUnknown { reason };
        return;
    }
    progress.lastOutcome = NotRun { reason, Duration { refused.retry_after_ms() } };
    progress.placedAt = refused.placed_at();
    if (reason == Refusal::EndpointAtBound)
        progress.currentLoads.record({ progress.currentEndpoint, progress.currentDomain, refused.in_flight() });
}

void Dispatcher::concludeAttempt(RequestProgress& progress)
{
    progress.pendingCredit = 0;
    if (progress.lastOutcome.isComplete()) {
        this->endpointRetries.recordSuccess();
        this->linkRetries.recordSuccess();
        progress.isFinished = true;
        return;
    }
    if (progress.lastOutcome.execution == Execution::NotRun) {
        progress.isFinished = progress.lastOutcome.reason == Refusal::Quarantined;
        return;
    }
    progress.canHaveRun = true;
    const bool isResumable = progress.delivered == 0 || !progress.resumeToken.empty();
    if (progress.repeatability == Repeatability::OnceOnly || progress.reruns > 0 || !isResumable) {
        progress.isFinished = true;
        return;
    }
    auto& budget = progress.lastOutcome.reason == Refusal::LinkSilent ? this->linkRetries : this->endpointRetries;
    if (!budget.tryConsume()) {
        this->metrics.add(Refusal::RetryBudgetSpent);
        progress.isFinished = true;
        return;
    }
    ++progress.reruns;
    this->metrics.add(progress.delivered == 0 ? Retry::RunAgainElsewhere : Retry::ResumeAtOffset);
    if (progress.delivered == 0)
        progress.head.reset();
}

void Dispatcher::deliverChunks(wire::Envelope& envelope)
{
    for (auto& chunk : *envelope.mutable_chunks()->mutable_chunks()) {
        const auto attempt = chunk.attempt();
        wire::Envelope part;
        part.set_from(envelope.from());
        *part.mutable_chunk() = std::move(chunk);
        this->deliver(attempt, part);
    }
}

void Dispatcher::deliver(std::uint64_t attempt, wire::Envelope& envelope)
{
    const auto found = this->inboxes.find(attempt, CompareByAttempt {});
    // The attempt has ended on this side; the serving host has to stop as well.
    if (found == this->inboxes.end() || found->owner != envelope.from()) {
        this->metrics.add(Incident::StaleAttemptDropped);
        if (!envelope.has_refused() && !envelope.has_end())
            this->cancel(envelope.from(), attempt);
        return;
    }
    found->messages.push_back(std::move(envelope));
    found->arrived.notifyAll();
}

void Dispatcher::cancel(const std::string& owner, std::uint64_t attempt)
{
    wire::Envelope envelope;
    envelope.mutable_cancel()->set_attempt(attempt);
    this->link.send(owner, std::move(envelope));
}

void Dispatcher::reportPlacement(const RequestProgress& progress, const std::vector<std::string>& order)
{
    if (progress.request.chat().empty() || order.empty() || !progress.request.is_engine_call())
        return;
    const auto* first = this->catalog.endpoint(order.front());
    if (first == nullptr || progress.currentEndpoint == order.front())
        return;
    const auto owners = this->findOwners(*first);
    if (owners.empty())
        return;
    wire::Envelope envelope;
    envelope.mutable_placed()->set_chat(progress.request.chat());
    envelope.mutable_placed()->set_first_endpoint(order.front());
    envelope.mutable_placed()->set_endpoint(progress.currentEndpoint);
    this->link.send(owners.front(), std::move(envelope));
}

} // namespace berylwing
