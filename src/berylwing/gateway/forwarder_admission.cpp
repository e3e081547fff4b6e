#include "berylwing/admission/admission_control.hpp"
#include "berylwing/gateway/forwarder_context.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Longest timeout of a caller that is told apart; a longer one is as good as none. */
constexpr Duration kMaxCallerTimeout = std::chrono::hours { 24 };

} // namespace

std::optional<NotRun> Forwarder::admit(RequestContext& context)
{
    auto& admission = this->dependencies.admission;
    const auto& route = *context.route;
    const auto now = this->dependencies.clock.now();
    AdmissionRequest request;
    request.service = context.service;
    if (context.holder != nullptr)
        request.workspace = context.holder->workspace;
    request.urgency = context.holder == nullptr ? route.priority : context.holder->priority.value_or(route.priority);
    request.hash = context.requestHash;
    request.cost = context.cost;
    // The rest of a stream is worth more than a new one: its caller has a part of the answer.
    request.targetLatency = context.isTakeUp ? Duration {} : route.targetLatency;
    request.timeLeft = context.deadline - now;
    if (const auto timeout = context.request.metadata.timeout) {
        request.sinceFirstAttempt = admission.sinceFirstAttempt(
            context.service, route.name, std::clamp(*timeout, Duration {}, kMaxCallerTimeout));
        request.isReturn = request.sinceFirstAttempt > Duration {};
    }
    const auto decision = admission.decide(request);
    if (decision.isAdmitted)
        return std::nullopt;
    context.request.admissionFigures = decision.figures;
    return NotRun { decision.reason, decision.retryAfter };
}

bool Forwarder::hasRoomForRetry(const RequestContext& context) const
{
    const bool isRejected = context.attempts > 0 && context.failureReason == Refusal::EndpointAtBound;
    return !isRejected || context.isHeadWritten || this->dependencies.admission.canRetry(context.service);
}

void Forwarder::recordWait(const RequestContext& context)
{
    // The time of a stream depends on its length, and so does that of an answer whose time is only guessed.
    if (context.isStreamBegun || !context.cost.isLearned)
        return;
    // A caller that reads slowly does not make its answer late.
    const auto took = context.timing.headAt.value_or(this->dependencies.clock.now()) - context.timing.sentAt;
    this->dependencies.admission.recordWait(
        context.service, static_cast<double>(took.count()) - context.cost.slotMs.mean);
}

} // namespace berylwing
