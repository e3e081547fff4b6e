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
 * @brief Brings orders to the owner of their ledger shard.
 *
 * The ledger lets an order run at most once, so the order may be brought to another owner when one falls silent. Once
 * an owner that may still run the order has fallen silent, no later refusal is reported as "not run".
 */
class OrderClient {
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
        bool hasProgress = false;
        std::optional<wire::OrderAnswer> answer;
    };

    [[nodiscard]] std::vector<std::string> findOwners(const std::string& home, const std::string& shard) const;
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
     * @param pathSteps Steps announced on the way.
     */
    OrderClient(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        Metrics& hostMetrics, const Steps& pathSteps);

    /**
     * @brief Runs an order.
     * @param request Order with its idempotency key.
     * @param home Home failure domain of the workspace.
     * @param deadline Time at which the order is given up.
     * @param sink Where the answer goes.
     * @return How the order ended.
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
