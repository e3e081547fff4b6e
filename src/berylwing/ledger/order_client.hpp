#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <boost/intrusive/list.hpp>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

class Metrics;

/**
 * @brief Sends orders (non-idempotent requests) from the entry host to the owner of their ledger shard.
 *
 * The ledger ensures that an order runs at most once, so the order can be sent to another owner if one stops
 * responding. After an owner that may still run the order stopped responding, no later refusal is reported as "not
 * run".
 */
class OrderClient {
    /** @brief Order sent to an owner whose answer has not arrived. */
    struct PendingOrder : boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        PendingOrder(Clock& clock, std::uint64_t attemptId, std::string ownerHost)
            : attempt { attemptId }
            , owner { std::move(ownerHost) }
            , replyArrived { clock }
        {
        }

        std::uint64_t attempt;
        std::string owner;
        Event replyArrived;
        /** Whether the owner sent an answer or a progress message since the last check. */
        bool hasProgress = false;
        std::optional<wire::OrderAnswer> answer;
    };

    [[nodiscard]] std::vector<std::string> findOwners(const std::string& home, const std::string& shard) const;
    /** Sends an order; returns no answer and sets mayHaveRun if the owner stops responding after it was sent. */
    [[nodiscard]] Task<std::optional<wire::OrderAnswer>> askOwner(
        const wire::Request& request, const std::string& owner, TimePoint deadline, bool& mayHaveRun);
    void deliver(const wire::OrderAnswer& answer, const std::string& from);

public:
    /**
     * @brief Creates a client.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param pathSteps Hooks called at the steps of an order.
     */
    OrderClient(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        Metrics& hostMetrics, const Steps& pathSteps);

    /**
     * @brief Runs an order.
     * @param request Order, including its idempotency key.
     * @param home Home failure domain of the workspace.
     * @param deadline Time after which no more owners are asked.
     * @param sink Receives the answer.
     * @return Outcome of the order.
     */
    [[nodiscard]] Task<Outcome> run(
        const wire::Request& request, const std::string& home, TimePoint deadline, const ResponseSink& sink);

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    Metrics& metrics;
    const Steps& steps;
    boost::intrusive::list<PendingOrder, boost::intrusive::constant_time_size<false>> pendingOrders;
    std::uint64_t nextAttemptId;
};

} // namespace berylwing
