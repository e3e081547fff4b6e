#pragma once

#include "berylwing/core/outcome.hpp"
#include "berylwing/gateway/crash_notes.hpp"
#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/gateway/placement.hpp"
#include "berylwing/gateway/plan_lease.hpp"
#include "berylwing/gateway/protocol.hpp"
#include "berylwing/gateway/retry_allowance.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <functional>
#include <memory>
#include <string>

namespace berylwing {

class Metrics;

/** @brief Where the answer of a request goes; each function throws CallerGoneError if nobody reads any more. */
struct AnswerSink {
    /** Takes the head of the answer, before the first bytes. */
    std::function<Task<void>(const AnswerHead&)> head;
    /** Takes the next bytes of the body. */
    std::function<Task<void>(std::string_view)> body;
};

/** @brief Reads the routing plan in force; a null pointer while none is known. */
using CurrentPlan = std::function<std::shared_ptr<const RoutingPlan>()>;

/** @brief Parts of a host that a forwarder works with. */
struct ForwarderParts {
    const Clock& clock;
    const GatewayProtocol& protocol;
    CurrentPlan plan;
    const PlanLease& lease;
    const EndpointDirectory& directory;
    const Placement& placement;
    PromptHolders& holders;
    CrashNotes& crashes;
    RetryAllowance& retries;
    OpenSession open;
    /** Takes note of an endpoint that gave no sign of life. */
    std::function<void(GatewayEndpoint&)> noteSilence;
    Metrics& metrics;
    DecisionLog& log;
};

/** @brief Carries a caller's request to an endpoint and its answer back. */
class Forwarder {
    /** How one send to an endpoint ended. */
    enum class AttemptEnd {
        Whole,
        NotRun,
        MayHaveRun,
        TimedOut,
    };

    struct Journey;

    [[nodiscard]] std::optional<NotRun> prepare(Journey& journey) const;
    [[nodiscard]] std::optional<Outcome> endBefore(Journey& journey, GatewayEndpointPtr& endpoint);
    [[nodiscard]] Outcome giveUp(const Journey& journey, Refusal reason) const;
    [[nodiscard]] bool mayTryAgain(Journey& journey, AttemptEnd end);
    [[nodiscard]] Task<AttemptEnd> attempt(Journey& journey, GatewayEndpointPtr endpoint);
    [[nodiscard]] Task<AttemptEnd> exchange(Journey& journey, GatewayEndpoint& endpoint, EndpointSession& session);
    [[nodiscard]] Task<AttemptEnd> deliver(
        Journey& journey, const AnswerHead& head, EndpointSession& session, RepeatableCall& call);
    [[nodiscard]] static PlacementRequest placementOf(const Journey& journey);
    /** Takes note of the prompt's way to an endpoint. @return Tokens that the endpoint has to read. */
    [[nodiscard]] std::uint32_t recordPrompt(
        const Journey& journey, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& source, LogLine& line);
    [[nodiscard]] EndpointRequest toEndpointRequest(
        const Journey& journey, const GatewayEndpoint& endpoint, const GatewayEndpointPtr& source) const;
    [[nodiscard]] bool isTrusted(const Journey& journey) const;
    [[nodiscard]] static std::uint64_t fingerprintOf(const Journey& journey);
    [[nodiscard]] Task<void> writeHead(Journey& journey, const AnswerHead& head);
    void record(GatewayEndpoint& endpoint, EndpointVerdict verdict);
    void recordFault(GatewayEndpoint& endpoint, const EndpointError& error, EndpointVerdict verdict);

public:
    /** @brief Creates a forwarder. @param hostParts Parts of the host. */
    explicit Forwarder(ForwarderParts hostParts);

    /**
     * @brief Answers a request.
     * @param request Request.
     * @param sink Where the answer goes.
     * @return How the request ended; a refusal after the head was written means that the answer is not whole.
     * @throws CallerGoneError If the caller has gone.
     */
    [[nodiscard]] Task<Outcome> forward(GatewayRequest& request, const AnswerSink& sink);

private:
    ForwarderParts parts;
};

} // namespace berylwing
