#include "berylwing/relay/dispatcher.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/relay/seen_loads.hpp"
#include "berylwing/relay/timing.hpp"
#include "berylwing/telemetry/log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

/** @brief Progress of one request through its attempts. */
struct Dispatcher::Run {
    Run(const wire::Request& work, Repeatability repeatable, TimePoint until, const ResponseSink& destination)
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

    /** Outcome of the last attempt; a refusal until an attempt has succeeded. */
    Outcome last = NotRun { Refusal::NoEndpoint, kDefaultRetryAfter };
    /** Set when no further attempt may be made. */
    bool finished = false;
    /** Bytes of the body that the caller has. */
    std::uint64_t delivered = 0;
    bool headDelivered = false;
    std::optional<wire::Head> head;
    std::string resumeToken;
    std::string resumeEndpoint;
    std::string placedAt;
    std::string answeredBy;
    std::string answeredIn;
    /** What the last walk and this one have seen. */
    SeenLoads observed;
    SeenLoads seen;
    unsigned reruns = 0;
    /** Whether an attempt ended in a way that may have left a run behind. */
    bool mayHaveRun = false;
    std::uint64_t creditDue = 0;
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
    Run run { request, repeatability, deadline, sink };
    bool isFollowUp = false;
    while (!run.finished) {
        const auto order = this->candidates(request);
        const auto candidates = run.mayHaveRun ? this->reachable(order) : order;
        if (run.delivered > 0)
            co_await this->tryEndpoint(run, run.resumeEndpoint);
        else
            co_await this->walk(run, candidates);
        if (run.last.isComplete())
            this->tellPlacement(run, order);
        if (run.finished || this->clock.now() + kWalkPause >= deadline || order.empty())
            break;
        // One walk may follow at once with the load that the last one saw; then time has to pass.
        isFollowUp = !isFollowUp && run.seen.total() > run.observed.total();
        if (!isFollowUp)
            co_await this->clock.sleepFor(kWalkPause);
    }
    if (!run.last.isComplete() && run.mayHaveRun)
        co_return OutcomeUnknown { *run.last.reason };
    co_return run.last;
}

Task<void> Dispatcher::walk(Run& run, const std::vector<std::string>& order)
{
    run.observed = std::exchange(run.seen, {});
    const bool mayHaveRun = run.mayHaveRun;
    for (std::size_t index = 0; index < std::min(order.size(), kMostCandidates); ++index) {
        if (index > 0)
            this->metrics.add(Retry::NextCandidate);
        co_await this->tryEndpoint(run, order[index]);
        if (!run.finished && !run.placedAt.empty())
            co_await this->tryEndpoint(run, std::exchange(run.placedAt, {}));
        // After an attempt that may have run, the order is made anew.
        const bool isElsewhere = run.last.reason == Refusal::SameRequestRunning;
        if (run.finished || run.delivered > 0 || run.mayHaveRun != mayHaveRun || isElsewhere)
            co_return;
    }
}

std::vector<std::string> Dispatcher::candidates(const wire::Request& request) const
{
    std::vector<std::pair<double, std::string>> scores;
    const auto key = hashText(request.chat().empty() ? request.body() : request.chat());
    const auto kind = request.is_engine_call() ? EndpointKind::Engine : EndpointKind::Service;
    for (const auto& [name, endpoint] : this->catalog.endpoints()) {
        const bool isUsable = endpoint.kind == kind && endpoint.serves == request.serves() && !endpoint.leaving
            && !this->catalog.isDomainOut(endpoint.domain);
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

std::uint32_t Dispatcher::enginesLike(const EndpointObject& endpoint) const
{
    const auto& endpoints = this->catalog.endpoints();
    return static_cast<std::uint32_t>(std::count_if(endpoints.begin(), endpoints.end(), [&endpoint](const auto& entry) {
        const auto& other = entry.second;
        return other.kind == endpoint.kind && other.serves == endpoint.serves && other.domain == endpoint.domain;
    }));
}

std::vector<std::string> Dispatcher::reachable(const std::vector<std::string>& order) const
{
    std::vector<std::string> heard;
    for (const auto& name : order) {
        const auto owners = this->ownersOf(*this->catalog.endpoint(name));
        if (!owners.empty() && this->link.hasReceivedWithin(owners.front(), kRecentlyHeard))
            heard.push_back(name);
    }
    return heard.empty() ? order : heard;
}

std::vector<std::string> Dispatcher::ownersOf(const EndpointObject& endpoint) const
{
    return this->domain.reachableOwners(this->catalog.roster(endpoint.domain), endpoint.name, kMostOwners);
}

Task<void> Dispatcher::tryEndpoint(Run& run, const std::string& name)
{
    const auto* configured = this->catalog.endpoint(name);
    if (configured == nullptr)
        co_return;
    const auto endpoint = *configured;
    for (const auto& owner : this->ownersOf(endpoint)) {
        if (this->clock.now() >= run.deadline) {
            if (run.last.execution == Execution::NotRun)
                run.last = NotRun { Refusal::DeadlinePassed };
            run.finished = true;
            co_return;
        }
        co_await this->tryOwner(run, endpoint, owner);
        const bool isOwnerUnfit = run.last.reason == Refusal::NotOwner || run.last.reason == Refusal::OwnerInDoubt
            || run.last.reason == Refusal::LinkDown;
        if (run.finished || !isOwnerUnfit)
            co_return;
    }
}

Task<void> Dispatcher::tryOwner(Run& run, const EndpointObject& endpoint, const std::string& owner)
{
    Inbox inbox { this->clock, this->nextAttempt++, owner };
    this->inboxes.insert(inbox);
    if (!this->link.send(owner, this->openMessage(run, endpoint, inbox.attempt))) {
        run.last = NotRun { Refusal::LinkDown, kDefaultRetryAfter };
        co_return;
    }
    run.answeredBy = endpoint.name;
    run.answeredIn = endpoint.domain;
    try {
        co_await this->steps.reach(Step::EntryForwarded);
        co_await this->receive(run, inbox);
    } catch (const CallerGoneError&) {
        this->cancel(owner, inbox.attempt);
        throw;
    }
    if (!run.last.isComplete() && run.last.execution != Execution::NotRun)
        this->cancel(owner, inbox.attempt);
    this->finishAttempt(run);
}

wire::Envelope Dispatcher::openMessage(const Run& run, const EndpointObject& endpoint, std::uint64_t attempt) const
{
    wire::Envelope envelope;
    auto& open = *envelope.mutable_open();
    open.set_attempt(attempt);
    open.set_endpoint(endpoint.name);
    *open.mutable_request() = run.request;
    open.mutable_request()->set_remaining_ms((run.deadline - this->clock.now()).count());
    open.set_window_bytes(kWindowBytes);
    open.set_follow_placement(!run.request.chat().empty() && run.reruns == 0);
    // What was seen is a lower bound of the load of the domain's engines, and newer than their owner's digests.
    if (const auto seen = run.observed.totalOf(endpoint.domain); seen > 0) {
        open.set_observed_in_flight(seen);
        open.set_observed_engines(this->enginesLike(endpoint));
    }
    if (run.delivered > 0) {
        open.set_resume_offset(run.delivered);
        open.set_resume_token(run.resumeToken);
        open.set_follow_placement(false);
    }
    return envelope;
}

Task<void> Dispatcher::receive(Run& run, Inbox& inbox)
{
    while (true) {
        const auto silentAt = std::min(run.deadline, this->clock.now() + kAttemptSilence);
        while (inbox.messages.empty() && this->clock.now() < silentAt)
            co_await inbox.arrived.waitUntil(silentAt);
        if (inbox.messages.empty()) {
            const bool isOver = this->clock.now() >= run.deadline;
            run.last = OutcomeUnknown { isOver ? Refusal::DeadlinePassed : Refusal::LinkSilent };
            co_return;
        }
        const auto envelope = std::move(inbox.messages.front());
        inbox.messages.pop_front();
        if (envelope.has_refused())
            co_return this->takeRefusal(run, envelope.refused());
        if (envelope.has_head()) {
            run.resumeToken = envelope.head().resume_token();
            run.resumeEndpoint = run.answeredBy;
            run.head = envelope.head();
        } else if (envelope.has_chunk()) {
            // A gap means that a message was lost; what follows it is of no use.
            if (envelope.chunk().offset() > run.delivered) {
                run.last = OutcomeUnknown { Refusal::StreamIncomplete };
                co_return;
            }
            co_await this->takeChunk(run, inbox, envelope.chunk());
        } else if (envelope.has_end()) {
            if (envelope.end().length() != run.delivered) {
                run.last = OutcomeUnknown { Refusal::StreamIncomplete };
                co_return;
            }
            if (!run.headDelivered && run.head)
                co_await run.sink.head(run.head->status(), run.head->content_type());
            run.last = Outcome {};
            co_return;
        }
    }
}

Task<void> Dispatcher::takeChunk(Run& run, Inbox& inbox, const wire::Chunk& chunk)
{
    if (chunk.data().empty() || !run.head)
        co_return;
    if (chunk.offset() != run.delivered) {
        this->metrics.add(Incident::DuplicateChunkDropped);
        co_return;
    }
    if (!run.headDelivered) {
        run.headDelivered = true;
        co_await run.sink.head(run.head->status(), run.head->content_type());
    }
    co_await run.sink.body(chunk.data());
    run.delivered += chunk.data().size();
    run.creditDue += chunk.data().size();
    if (run.creditDue < kCreditBytes)
        co_return;
    wire::Envelope envelope;
    envelope.mutable_credit()->set_attempt(inbox.attempt);
    envelope.mutable_credit()->set_bytes(std::exchange(run.creditDue, 0));
    this->link.send(inbox.owner, std::move(envelope));
}

void Dispatcher::takeRefusal(Run& run, const wire::Refused& refused)
{
    const auto reason = static_cast<Refusal>(std::min<std::size_t>(refused.reason(), kRefusalNames.size() - 1));
    if (refused.execution() != wire::NOT_RUN) {
        run.last = OutcomeUnknown { reason };
        return;
    }
    run.last = NotRun { reason, Duration { refused.retry_after_ms() } };
    run.placedAt = refused.placed_at();
    if (reason == Refusal::EndpointAtBound)
        run.seen.note({ run.answeredBy, run.answeredIn, refused.in_flight() });
}

void Dispatcher::finishAttempt(Run& run)
{
    run.creditDue = 0;
    if (run.last.isComplete()) {
        this->endpointRetries.recordSuccess();
        this->linkRetries.recordSuccess();
        run.finished = true;
        return;
    }
    if (run.last.execution == Execution::NotRun) {
        run.finished = run.last.reason == Refusal::Quarantined;
        return;
    }
    run.mayHaveRun = true;
    const bool isResumable = run.delivered == 0 || !run.resumeToken.empty();
    if (run.repeatability == Repeatability::OnceOnly || run.reruns > 0 || !isResumable) {
        run.finished = true;
        return;
    }
    auto& budget = run.last.reason == Refusal::LinkSilent ? this->linkRetries : this->endpointRetries;
    if (!budget.take()) {
        this->metrics.add(Refusal::RetryBudgetSpent);
        run.finished = true;
        return;
    }
    ++run.reruns;
    this->metrics.add(run.delivered == 0 ? Retry::RunAgainElsewhere : Retry::ResumeAtOffset);
    if (run.delivered == 0)
        run.head.reset();
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
    const auto found = this->inboxes.find(attempt, OrderByAttempt {});
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

void Dispatcher::tellPlacement(const Run& run, const std::vector<std::string>& order)
{
    if (run.request.chat().empty() || order.empty() || !run.request.is_engine_call())
        return;
    const auto* first = this->catalog.endpoint(order.front());
    if (first == nullptr || run.answeredBy == order.front())
        return;
    const auto owners = this->ownersOf(*first);
    if (owners.empty())
        return;
    wire::Envelope envelope;
    envelope.mutable_placed()->set_chat(run.request.chat());
    envelope.mutable_placed()->set_first_endpoint(order.front());
    envelope.mutable_placed()->set_endpoint(run.answeredBy);
    this->link.send(owners.front(), std::move(envelope));
}

} // namespace berylwing
