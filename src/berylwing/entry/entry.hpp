#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/ledger/order_client.hpp"
#include "berylwing/limits/contract_limits.hpp"
#include "berylwing/link/messages.pb.h"
#include "berylwing/relay/dispatcher.hpp"
#include "berylwing/relay/response_sink.hpp"
#include <string>

namespace berylwing {

class Metrics;

/** @brief Request of a caller, as read from its connection. */
struct CallerRequest {
    std::string requestId;
    std::string method;
    std::string target;
    std::string bearerToken;
    std::string chat;
    std::string idempotencyKey;
    std::string contentType;
    std::string body;
};

/** @brief Admits callers' requests to the fleet: authenticates them, applies limits and dispatches them. */
class Entry {
    struct Route {
        std::optional<Refusal> refusal;
        bool isOnceOnly = false;
        Duration deadline {};
    };

    [[nodiscard]] Route routeChat(const CallerRequest& caller, wire::Request& request) const;
    [[nodiscard]] Route routeService(const CallerRequest& caller, wire::Request& request) const;
    [[nodiscard]] Task<Outcome> admitAndRun(const CallerRequest& caller, const ResponseSink& sink);

public:
    /**
     * @brief Creates an entry without requests in flight.
     * @param hostClock Clock of the host.
     * @param hostCatalog Configuration of the host.
     * @param contractLimits Limits of the workspaces.
     * @param requestDispatcher Dispatches repeatable requests to endpoints.
     * @param orderClient Sends requests that may run at most once to their ledger owner.
     * @param hostMetrics Metrics of the host.
     * @param pathSteps Hooks that are called as a request reaches each step.
     */
    Entry(Clock& hostClock, const Catalog& hostCatalog, ContractLimits& contractLimits, Dispatcher& requestDispatcher,
        OrderClient& orderClient, Metrics& hostMetrics, const Steps& pathSteps);

    /** @brief Checks if no request is in flight. */
    [[nodiscard]] bool isIdle() const noexcept { return this->inFlight == 0; }

    /**
     * @brief Handles a request.
     * @param caller Request.
     * @param sink Receives the response.
     * @return Outcome of the request; by then the sink has received all bytes of the response.
     * @throws CallerGoneError If the caller has disconnected.
     */
    [[nodiscard]] Task<Outcome> handle(const CallerRequest& caller, const ResponseSink& sink);

private:
    Clock& clock;
    const Catalog& catalog;
    ContractLimits& limits;
    Dispatcher& dispatcher;
    OrderClient& orders;
    Metrics& metrics;
    const Steps& steps;
    std::size_t inFlight = 0;
};

} // namespace berylwing
