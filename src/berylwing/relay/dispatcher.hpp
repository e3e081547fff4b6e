#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/core/outcome.hpp"
#include "berylwing/core/step.hpp"
#include "berylwing/limits/retry_budget.hpp"
#include "berylwing/link/link.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/relay/response_sink.hpp"
#include "berylwing/relay/timing.hpp"
#include "berylwing/routing/endpoint_registry.hpp"
#include <boost/intrusive/set.hpp>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

class Metrics;

/** @brief Says whether a request may run more than once. */
enum class Repeatability {
    Repeatable,
    OnceOnly,
};

/**
 * @brief Forwards a request to the owner of an endpoint and relays its response to the caller.
 *
 * Candidate endpoints are tried in the order of their rendezvous rank until one accepts the request. A request that may
 * have run is retried only if it is repeatable, and at most once. The caller gets each byte of the response once: after
 * the first byte, the response is resumed at its offset.
 */
class Dispatcher {
    /** Messages of one attempt that wait for its coroutine. */
    struct Inbox : boost::intrusive::set_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
        Inbox(Clock& clock, std::uint64_t attemptId, std::string ownerHost)
            : attempt { attemptId }
            , owner { std::move(ownerHost) }
            , arrived { clock }
        {
        }

        bool operator<(const Inbox& other) const noexcept { return this->attempt < other.attempt; }

        std::uint64_t attempt;
        std::string owner;
        std::deque<wire::Envelope> messages;
        Event arrived;
    };

    struct RequestProgress;

    struct CompareByAttempt {
        bool operator()(const Inbox& inbox, std::uint64_t id) const noexcept { return inbox.attempt < id; }
        bool operator()(std::uint64_t id, const Inbox& inbox) const noexcept { return id < inbox.attempt; }
    };

    using Inboxes = boost::intrusive::set<Inbox, boost::intrusive::constant_time_size<false>>;

    void deliver(std::uint64_t attempt, wire::Envelope& envelope);
    void deliverChunks(wire::Envelope& envelope);
    void cancel(const std::string& owner, std::uint64_t attempt);
    [[nodiscard]] std::vector<std::string> rankCandidates(const wire::Request& request) const;
    /** Returns the number of endpoints that serve the same model or service in the same failure domain. */
    [[nodiscard]] std::uint32_t countEnginesLike(const EndpointObject& endpoint) const;
    /** Returns the endpoints whose owners were heard recently, or all endpoints if there are none. */
    [[nodiscard]] std::vector<std::string> filterReachable(const std::vector<std::string>& order) const;
    [[nodiscard]] std::vector<std::string> findOwners(const EndpointObject& endpoint) const;
    /** Tries the candidates in order, until one accepts the request or the order has to be computed again. */
    [[nodiscard]] Task<void> tryCandidates(RequestProgress& progress, const std::vector<std::string>& order);
    [[nodiscard]] Task<void> tryEndpoint(RequestProgress& progress, const std::string& endpoint);
    [[nodiscard]] Task<void> tryOwner(
        RequestProgress& progress, const EndpointObject& endpoint, const std::string& owner);
    [[nodiscard]] Task<void> receiveResponse(RequestProgress& progress, Inbox& inbox);
    [[nodiscard]] Task<void> handleChunk(RequestProgress& progress, Inbox& inbox, const wire::Chunk& chunk);
    void handleRefusal(RequestProgress& progress, const wire::Refused& refused);
    /** Decides after an attempt if another one may follow. */
    void concludeAttempt(RequestProgress& progress);
    [[nodiscard]] wire::Envelope makeOpenMessage(
        const RequestProgress& progress, const EndpointObject& endpoint, std::uint64_t attempt) const;
    /** Tells the owner of the first-ranked engine that the chat runs at another engine. */
    void reportPlacement(const RequestProgress& progress, const std::vector<std::string>& order);

public:
    /**
     * @brief Creates a dispatcher.
     * @param hostClock Clock of the host.
     * @param hostLink Link of the host.
     * @param hostCatalog Configuration of the host.
     * @param failureDomain Failure domain of the host.
     * @param hostMetrics Metrics of the host.
     * @param pathSteps Hook at which tests inject faults.
     */
    Dispatcher(Clock& hostClock, Link& hostLink, Catalog& hostCatalog, FailureDomain& failureDomain,
        Metrics& hostMetrics, const Steps& pathSteps);

    /**
     * @brief Runs a request until it has a response, is refused, or its deadline passes.
     * @param request Request.
     * @param repeatability Whether it may run more than once.
     * @param deadline Time at which it is abandoned.
     * @param sink Destination of the response.
     * @return Outcome of the request.
     * @throws CallerGoneError If the caller has disconnected; the attempt is cancelled.
     */
    [[nodiscard]] Task<Outcome> run(
        const wire::Request& request, Repeatability repeatability, TimePoint deadline, const ResponseSink& sink);

private:
    Clock& clock;
    Link& link;
    Catalog& catalog;
    FailureDomain& domain;
    Metrics& metrics;
    const Steps& steps;
    Inboxes inboxes;
    RetryBudget endpointRetries { kInitialEndpointRetries };
    /** Retries after a silent link have a budget of their own; they end as soon as the link is known to be silent. */
    RetryBudget linkRetries { kInitialLinkRetries };
    std::uint64_t nextAttempt;
};

} // namespace berylwing
