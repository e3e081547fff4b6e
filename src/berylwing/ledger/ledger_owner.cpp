#include "berylwing/ledger/ledger_owner.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/ledger/idempotency_key.hpp"
#include "berylwing/ledger/limits.hpp"
#include "berylwing/ledger/shard_name.hpp"
#include "berylwing/relay/timing.hpp"
#include "berylwing/telemetry/log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>
#include <stdexcept>
#include <string>
#include <utility>

namespace berylwing {

namespace {

/** Reports that the answer to an order is too large to be collected. */
class OversizedAnswerError : public std::runtime_error {
public:
    OversizedAnswerError()
        : std::runtime_error { "gave up an answer of more than " + std::to_string(kMaxOrderBodyBytes) + " bytes" }
    {
    }
};

std::uint64_t fingerprintOf(const wire::Request& request)
{
    return hashText(request.body(), hashText(request.serves() + " " + request.method() + " " + request.path()));
}

OrderResult makeRefusal(const Outcome& outcome)
{
    OrderResult result;
    result.outcome = outcome;
    return result;
}

} // namespace

LedgerOwner::LedgerOwner(Clock& hostClock, WallClock wall, Link& hostLink, Catalog& hostCatalog,
    FailureDomain& failureDomain, PlatformClient& platformClient, Dispatcher& requestDispatcher, Metrics& hostMetrics,
    const Steps& pathSteps)
    : clock { hostClock }
    , wallClock { std::move(wall) }
    , link { hostLink }
    , catalog { hostCatalog }
    , domain { failureDomain }
    , platform { platformClient }
    , dispatcher { requestDispatcher }
    , metrics { hostMetrics }
    , steps { pathSteps }
{
    this->link.handle(wire::Envelope::kOrder, [this](wire::Envelope& envelope) {
        spawn(this->clock.executor(), "order", this->handleOrder(std::move(envelope)));
    });
}

Task<void> LedgerOwner::run()
{
    while (true) {
        for (const auto& reply : this->pendingReplies)
            this->sendProgress(reply);
        co_await this->clock.sleepFor(kOrderProgressInterval);
    }
}

Task<void> LedgerOwner::relinquishAll(TimePoint deadline)
{
    this->isStopping = true;
    for (const auto& [name, shard] : this->shards) {
        if (shard->isOwned())
            co_await shard->relinquish(deadline);
    }
}

LedgerShard& LedgerOwner::findOrAddShard(const std::string& name)
{
    auto& shard = this->shards[name];
    if (!shard)
        shard = std::make_unique<LedgerShard>(
            name, this->clock, this->wallClock, this->link.identity(), this->platform, this->metrics);
    return *shard;
}

Task<void> LedgerOwner::handleOrder(wire::Envelope envelope)
{
    PendingReply reply;
    reply.host = envelope.from();
    reply.attempt = envelope.order().attempt();
    this->pendingReplies.push_back(reply);
    co_await this->steps.reach(Step::LedgerReceived);
    const auto& request = envelope.order().request();
    const auto deadline = this->clock.now() + Duration { request.remaining_ms() };
    const auto result = co_await this->runOrder(request, deadline);
    this->sendAnswer(reply, result);
}

Task<OrderResult> LedgerOwner::runOrder(const wire::Request& request, TimePoint deadline)
{
    if (const auto reason = this->validateKey(request))
        co_return makeRefusal(NotRun { *reason });
    const auto* contract = this->catalog.contract(request.workspace());
    if (contract == nullptr)
        co_return makeRefusal(NotRun { Refusal::UnknownWorkspace });
    auto& shard
        = this->findOrAddShard(makeShardName(contract->homeDomain, request.workspace(), request.idempotency_key()));
    if (findServingDomain(this->catalog, contract->homeDomain) != this->link.identity().domain)
        co_return co_await this->relinquishForeignShard(shard);
    if (auto refusal = co_await this->acquireShard(shard))
        co_return std::move(*refusal);
    const auto key = makeClaimKey(request.workspace(), request.idempotency_key());
    if (const auto running = this->activeOrders.find(key); running != this->activeOrders.end()) {
        const auto order = running->second;
        while (!order->isFinished && this->clock.now() < deadline)
            co_await order->finished.waitUntil(deadline);
        if (!order->isFinished)
            co_return makeRefusal(OutcomeUnknown { Refusal::DeadlinePassed });
    }
    if (const auto* claim = shard.findClaim(key))
        co_return this->resultFromClaim(*claim, fingerprintOf(request));
    if (!shard.isOwned() || this->activeOrders.contains(key))
        co_return makeRefusal(NotRun { Refusal::LedgerMoved, kDefaultRetryDelay });
    const ActiveOrderPtr order { new ActiveOrder { this->clock } };
    this->activeOrders.emplace(key, order);
    auto result = co_await this->claimAndRun(shard, request, deadline);
    this->activeOrders.erase(key);
    order->isFinished = true;
    order->finished.notifyAll();
    co_return result;
}

Task<OrderResult> LedgerOwner::relinquishForeignShard(LedgerShard& shard)
{
    if (shard.isOwned() && this->isIdle())
        co_await shard.relinquish(this->clock.now() + kClaimTimeout);
    co_return makeRefusal(NotRun { Refusal::LedgerMoved, kDefaultRetryDelay });
}

Task<std::optional<OrderResult>> LedgerOwner::acquireShard(LedgerShard& shard)
{
    if (shard.isOwned())
        co_return std::nullopt;
    OrderResult moved = makeRefusal(NotRun { Refusal::LedgerMoved, kDefaultRetryDelay });
    if (this->isStopping || !this->domain.isMember())
        co_return moved;
    const bool isFresh = this->clock.now() - shard.ownerReadAt() < kOwnerCacheTtl;
    if (isFresh && !shard.ownerHost().empty() && !this->domain.isSilent(shard.ownerHost())) {
        moved.redirectHost = shard.ownerHost();
        co_return moved;
    }
    try {
        const bool acquired = co_await shard.acquire([this](const std::string& host, std::uint64_t incarnation) {
            return this->isOtherLiveOwner(host, incarnation);
        });
        if (acquired)
            co_return std::nullopt;
    } catch (const PlatformError&) {
        co_return makeRefusal(NotRun { Refusal::LedgerUnavailable, kDefaultRetryDelay });
    }
    moved.redirectHost = shard.ownerHost();
    co_return moved;
}

Task<OrderResult> LedgerOwner::claimAndRun(LedgerShard& shard, const wire::Request& request, TimePoint deadline)
{
    const auto key = makeClaimKey(request.workspace(), request.idempotency_key());
    if (shard.claimCount() >= kMaxClaimsPerShard)
        co_return makeRefusal(NotRun { Refusal::QueueFull, kDefaultRetryDelay });
    co_await this->steps.reach(Step::LedgerClaiming);
    Claim claim;
    claim.fingerprint = fingerprintOf(request);
    claim.keyCreatedMs = IdempotencyKey::parse(request.idempotency_key())->timeMs();
    shard.setClaim(key, std::move(claim));
    const auto result = co_await shard.commit(std::min(deadline, this->clock.now() + kClaimTimeout));
    if (result == CommitResult::Lost)
        co_return makeRefusal(NotRun { Refusal::LedgerMoved, kDefaultRetryDelay });
    if (result == CommitResult::Unresolved) {
        // The order is not dispatched, now or later. The claim is removed as soon as the platform accepts a write.
        shard.removeClaim(key);
        this->metrics.add(Incident::ClaimAbandoned);
        co_return makeRefusal(NotRun { Refusal::LedgerUnavailable, kDefaultRetryDelay });
    }
    co_await this->steps.reach(Step::LedgerClaimed);
    co_return co_await this->dispatchAndRecord(shard, request, deadline);
}

Task<OrderResult> LedgerOwner::dispatchAndRecord(LedgerShard& shard, const wire::Request& request, TimePoint deadline)
{
    OrderResult result;
    const ResponseSink sink {
        [&result](unsigned status, const std::string& contentType) -> Task<void> {
            result.status = status;
            result.contentType = contentType;
            co_return;
        },
        [&result](std::string_view bytes) -> Task<void> {
            if (result.body.size() + bytes.size() > kMaxOrderBodyBytes)
                throw OversizedAnswerError {};
            result.body += bytes;
            co_return;
        },
    };
    co_await this->steps.reach(Step::LedgerDispatching);
    try {
        result.outcome = co_await this->dispatcher.run(request, Repeatability::OnceOnly, deadline, sink);
    } catch (const OversizedAnswerError& error) {
        logRequest(LogLevel::Warn, request.request_id(), error.what());
        result = makeRefusal(OutcomeUnknown { Refusal::EndpointBroken });
    }
    co_await this->steps.reach(Step::LedgerAnswered);
    const auto key = makeClaimKey(request.workspace(), request.idempotency_key());
    const auto* current = shard.isOwned() ? shard.findClaim(key) : nullptr;
    if (current == nullptr)
        co_return result;
    if (result.outcome.isComplete()) {
        Claim done = *current;
        done.state = ClaimState::Done;
        done.status = result.status;
        done.contentType = result.contentType;
        done.hasBody = result.body.size() <= kMaxStoredBodyBytes;
        if (done.hasBody)
            done.body = result.body;
        shard.setClaim(key, std::move(done));
    } else if (result.outcome.execution == Execution::NotRun) {
        shard.removeClaim(key);
        this->metrics.add(Incident::ClaimReleased);
    } else {
        co_return result;
    }
    // The answer is not delayed until the claim is written: a deadline of now starts the write without waiting for it.
    static_cast<void>(co_await shard.commit(this->clock.now()));
    co_await this->steps.reach(Step::LedgerRecorded);
    co_return result;
}

OrderResult LedgerOwner::resultFromClaim(const Claim& claim, std::uint64_t fingerprint) const
{
    if (claim.fingerprint != fingerprint)
        return makeRefusal(NotRun { Refusal::KeyReusedForOtherRequest });
    // Hosts of an earlier version stored answers with any status.
    if (claim.state == ClaimState::Claimed || promisesNotRun(claim.status))
        return makeRefusal(OutcomeUnknown { Refusal::MayHaveRan });
    if (!claim.hasBody)
        return makeRefusal(RanWithoutAnswer { Refusal::AlreadyRan });
    OrderResult result;
    result.status = claim.status;
    result.contentType = claim.contentType;
    result.body = claim.body;
    return result;
}

bool LedgerOwner::isOtherLiveOwner(const std::string& host, std::uint64_t incarnation) const
{
    if (host == this->link.identity().host)
        return false;
    const auto* member = this->domain.roster().find(host);
    return member != nullptr && member->incarnation == incarnation && !this->domain.isSilent(host);
}

std::optional<Refusal> LedgerOwner::validateKey(const wire::Request& request) const
{
    const auto key = IdempotencyKey::parse(request.idempotency_key());
    if (!key)
        return Refusal::BadIdempotencyKey;
    const auto age = Duration { this->wallClock() - key->timeMs() };
    if (age > kClaimTtl - kMaxClockSkew)
        return Refusal::ExpiredIdempotencyKey;
    return age < -kMaxClockSkew ? std::optional { Refusal::BadIdempotencyKey } : std::nullopt;
}

void LedgerOwner::sendAnswer(const PendingReply& reply, const OrderResult& result)
{
    wire::Envelope envelope;
    auto& message = *envelope.mutable_order_answer();
    message.set_attempt(reply.attempt);
    message.set_answered(result.outcome.isComplete());
    message.set_execution(static_cast<wire::Execution>(result.outcome.execution));
    message.set_owner(result.redirectHost);
    if (result.outcome.isComplete()) {
        message.set_status(result.status);
        message.set_content_type(result.contentType);
        message.set_body(result.body);
    } else {
        message.set_reason(static_cast<std::uint32_t>(*result.outcome.reason));
        message.set_retry_after_ms(result.outcome.retryAfter.count());
        this->metrics.add(*result.outcome.reason);
    }
    this->link.send(reply.host, std::move(envelope));
}

void LedgerOwner::sendProgress(const PendingReply& reply)
{
    wire::Envelope envelope;
    envelope.mutable_order_answer()->set_attempt(reply.attempt);
    envelope.mutable_order_answer()->set_pending(true);
    this->link.send(reply.host, std::move(envelope));
}

} // namespace berylwing
