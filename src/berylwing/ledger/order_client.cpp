#include "berylwing/ledger/order_client.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/ledger/limits.hpp"
#include "berylwing/ledger/shard_name.hpp"
#include "berylwing/relay/timing.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Redirects to the owner named by another host that are followed in one pass over the candidates. */
constexpr std::size_t kMaxRedirects = 2;

Outcome outcomeOf(const wire::OrderAnswer& answer)
{
    const auto reason = static_cast<Refusal>(std::min<std::size_t>(answer.reason(), kRefusalNames.size() - 1));
    switch (answer.execution()) {
    case wire::NOT_RUN:
        return NotRun { reason, Duration { answer.retry_after_ms() } };
    case wire::RAN:
        return RanWithoutAnswer { reason };
    default:
        return OutcomeUnknown { reason };
    }
}

} // namespace

OrderClient::OrderClient(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
    Metrics& hostMetrics, const Steps& pathSteps)
    : clock { hostClock }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { failureDomain }
    , metrics { hostMetrics }
    , steps { pathSteps }
    , nextAttemptId { hashText(hostLink.identity().host, hostLink.identity().incarnation) }
{
    this->link.handle(wire::Envelope::kOrderAnswer,
        [this](const wire::Envelope& envelope) { this->deliver(envelope.order_answer(), envelope.from()); });
}

Task<Outcome> OrderClient::run(
    const wire::Request& request, const std::string& home, TimePoint deadline, const ResponseSink& sink)
{
    const auto shard = makeShardName(home, request.workspace(), request.idempotency_key());
    Outcome last = NotRun { Refusal::LedgerUnavailable, kDefaultRetryDelay };
    bool mayHaveRun = false;
    while (this->clock.now() + kOrderRetryDelay < deadline) {
        auto candidates = this->findOwners(home, shard);
        std::size_t redirects = 0;
        for (std::size_t index = 0; index < candidates.size(); ++index) {
            if (index > 0)
                this->metrics.add(Retry::OtherLedgerOwner);
            const auto answer = co_await this->askOwner(request, candidates[index], deadline, mayHaveRun);
            if (!answer)
                continue;
            if (answer->answered()) {
                co_await sink.head(answer->status(), answer->content_type());
                co_await sink.body(answer->body());
                co_return Outcome {};
            }
            last = outcomeOf(*answer);
            if (last.reason == Refusal::LedgerMoved) {
                if (!answer->owner().empty() && redirects++ < kMaxRedirects)
                    candidates.insert(candidates.begin() + static_cast<std::ptrdiff_t>(index) + 1, answer->owner());
                continue;
            }
            if (mayHaveRun && last.execution == Execution::NotRun)
                co_return OutcomeUnknown { *last.reason };
            co_return last;
        }
        co_await this->clock.sleepFor(kOrderRetryDelay);
    }
    if (mayHaveRun)
        co_return OutcomeUnknown { Refusal::DeadlinePassed };
    co_return last;
}

std::vector<std::string> OrderClient::findOwners(const std::string& home, const std::string& shard) const
{
    return this->domain.reachableOwners(
        this->catalog.roster(findServingDomain(this->catalog, home)), shard, kMaxOwners);
}

Task<std::optional<wire::OrderAnswer>> OrderClient::askOwner(
    const wire::Request& request, const std::string& owner, TimePoint deadline, bool& mayHaveRun)
{
    PendingOrder pending { this->clock, this->nextAttemptId++, owner };
    this->pendingOrders.push_back(pending);
    wire::Envelope envelope;
    auto& order = *envelope.mutable_order();
    order.set_attempt(pending.attempt);
    *order.mutable_request() = request;
    order.mutable_request()->set_remaining_ms((deadline - this->clock.now()).count());
    if (!this->link.send(owner, std::move(envelope)))
        co_return std::nullopt;
    co_await this->steps.reach(Step::EntryForwarded);
    while (!pending.answer) {
        const auto timeoutAt = std::min(deadline, this->clock.now() + kOrderProgressTimeout);
        pending.hasProgress = false;
        while (!pending.answer && !pending.hasProgress && this->clock.now() < timeoutAt)
            co_await pending.replyArrived.waitUntil(timeoutAt);
        if (!pending.answer && !pending.hasProgress) {
            mayHaveRun = true;
            co_return std::nullopt;
        }
    }
    co_return pending.answer;
}

void OrderClient::deliver(const wire::OrderAnswer& answer, const std::string& from)
{
    for (auto& pending : this->pendingOrders) {
        if (pending.attempt != answer.attempt() || pending.owner != from)
            continue;
        pending.hasProgress = true;
        if (!answer.pending())
            pending.answer = answer;
        pending.replyArrived.notifyAll();
        return;
    }
    this->metrics.add(Incident::StaleAttemptDropped);
}

} // namespace berylwing
