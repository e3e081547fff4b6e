#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/ledger/ledger_shard.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/relay/dispatcher.hpp"
#include "berylwing/store/platform_client.hpp"
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace berylwing {

class Metrics;

/** @brief Answer to an order, or the reason why there is none. */
struct OrderResult {
    Outcome outcome;
    unsigned status = 0;
    std::string contentType;
    std::string body;
    /** Owner of the shard that the sender is to ask instead; empty if unknown. */
    std::string redirectHost;
};

/**
 * @brief Runs orders, which are non-idempotent requests, at most once each.
 *
 * The claim of an order is written to the ledger before any byte of the order is sent to an endpoint. A resend with the
 * same idempotency key finds the claim: it waits for the run in progress, receives the stored answer, or is told that
 * the order ran or may have run.
 */
class LedgerOwner {
    /** @brief Order that is being claimed or run; resends of it wait until it is finished. */
    struct ActiveOrder : boost::intrusive_ref_counter<ActiveOrder, boost::thread_unsafe_counter> {
        explicit ActiveOrder(Clock& clock)
            : finished { clock }
        {
        }

        Event finished;
        bool isFinished = false;
        OrderResult result;
    };

    /** @brief Attempt of an entry host (the host that accepted the order from its caller) that awaits an answer. */
    struct PendingReply : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        std::string host;
        std::uint64_t attempt = 0;
    };

    using ActiveOrderPtr = boost::intrusive_ptr<ActiveOrder>;

    [[nodiscard]] LedgerShard& findOrAddShard(const std::string& name);
    [[nodiscard]] Task<void> handleOrder(wire::Envelope envelope);
    [[nodiscard]] Task<OrderResult> runOrder(const wire::Request& request, TimePoint deadline);
    /** Relinquishes a shard that another failure domain serves, once this host is idle, and refuses the order. */
    [[nodiscard]] Task<OrderResult> relinquishForeignShard(LedgerShard& shard);
    /** Acquires a shard unless it is owned already; returns the refusal of the order if that fails. */
    [[nodiscard]] Task<std::optional<OrderResult>> acquireShard(LedgerShard& shard);
    [[nodiscard]] Task<OrderResult> claimAndRun(LedgerShard& shard, const wire::Request& request, TimePoint deadline);
    [[nodiscard]] Task<OrderResult> dispatchAndRecord(
        LedgerShard& shard, const wire::Request& request, TimePoint deadline);
    [[nodiscard]] OrderResult resultFromClaim(const Claim& claim, std::uint64_t fingerprint) const;
    /** Checks if a host other than this one is a live member with that incarnation. */
    [[nodiscard]] bool isOtherLiveOwner(const std::string& host, std::uint64_t incarnation) const;
    [[nodiscard]] std::optional<Refusal> validateKey(const wire::Request& request) const;
    void sendAnswer(const PendingReply& reply, const OrderResult& result);
    void sendProgress(const PendingReply& reply);

public:
    /**
     * @brief Creates an owner without shards.
     * @param hostClock Clock of the host.
     * @param wall Wall clock.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param failureDomain Failure domain of the host.
     * @param platformClient Client of the platform.
     * @param requestDispatcher Sends claimed orders to their endpoints.
     * @param hostMetrics Metrics of the host.
     * @param pathSteps Hooks called at the steps of an order.
     */
    LedgerOwner(Clock& hostClock, WallClock wall, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        PlatformClient& platformClient, Dispatcher& requestDispatcher, Metrics& hostMetrics, const Steps& pathSteps);

    /** @brief Sends progress messages to waiting entry hosts for as long as the host runs. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Checks if no order is being claimed or run. @return True if idle. */
    [[nodiscard]] bool isIdle() const noexcept { return this->activeOrders.empty(); }

    /**
     * @brief Releases all shards on shutdown, so that other hosts can acquire them without waiting for a lease to
     * expire.
     * @param deadline Time after which shards that are not released yet stay owned.
     * @return Awaitable.
     */
    [[nodiscard]] Task<void> relinquishAll(TimePoint deadline);

private:
    Clock& clock;
    WallClock wallClock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    PlatformClient& platform;
    Dispatcher& dispatcher;
    Metrics& metrics;
    const Steps& steps;
    std::map<std::string, std::unique_ptr<LedgerShard>, std::less<>> shards;
    std::unordered_map<std::string, ActiveOrderPtr> activeOrders;
    boost::intrusive::list<PendingReply, boost::intrusive::constant_time_size<false>> pendingReplies;
    bool isStopping = false;
};

} // namespace berylwing
