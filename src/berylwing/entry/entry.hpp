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

/** @brief Request as it came from a caller. */
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

/** @brief Entry of callers' requests into the fleet: authentication, limits and the choice of the way. */
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
     * @brief Creates an entry.
     * @param hostClock Clock of the host.
     * @param hostCatalog Configuration of the host.
     * @param contractLimits Limits of the workspaces.
     * @param requestDispatcher Carries repeatable requests.
     * @param orderClient Carries requests that may not be repeated.
     * @param hostMetrics Metrics of the host.
     * @param pathSteps Steps announced on the way.
     */
    Entry(Clock& hostClock, const Catalog& hostCatalog, ContractLimits& contractLimits, Dispatcher& requestDispatcher,
        OrderClient& orderClient, Metrics& hostMetrics, const Steps& pathSteps);

    /** @brief Tells whether no request is in progress. @return True if idle. */
    [[nodiscard]] bool isIdle() const noexcept { return this->inFlight == 0; }

    /**
     * @brief Answers a request.
     * @param caller Request.
     * @param sink Where the answer goes.
     * @return How the request ended; the sink has been given the answer's bytes.
     * @throws CallerGoneError If the caller has gone.
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
