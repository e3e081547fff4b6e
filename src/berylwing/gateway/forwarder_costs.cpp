#include "berylwing/cost/cost_model.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace berylwing {

namespace {

/** Standard deviations by which an answer may be longer than expected before the memory that it holds is not enough. */
constexpr double kHeldDeviations = 2;

double toMs(Duration length) { return static_cast<double>(length.count()); }

std::uint32_t tokensPerEvent(const ServiceTraits& service) { return service.model ? service.model->tokensPerEvent : 1; }

} // namespace

RequestShape Forwarder::shapeOf(const RequestContext& context)
{
    const auto& metadata = context.request.metadata;
    const auto workspace = context.holder == nullptr ? std::string_view {} : context.holder->workspace;
    return { context.service, context.route->name, workspace, metadata.promptTokens, metadata.maxOutputTokens,
        metadata.hintedOutputTokens };
}

void Forwarder::estimateCost(RequestContext& context) const
{
    context.cost = this->dependencies.costs.estimate(shapeOf(context));
}

std::uint32_t Forwarder::heldTokensOf(const RequestContext& context)
{
    const auto& tokens = context.cost.outputTokens;
    const double limit = context.request.metadata.maxOutputTokens.value_or(std::numeric_limits<std::uint32_t>::max());
    const auto output = std::min(tokens.mean + kHeldDeviations * tokens.deviation, limit);
    const auto held = std::ceil(context.cost.promptTokens + output);
    constexpr double kMaxHeld = std::numeric_limits<std::uint32_t>::max() / 1024;
    return static_cast<std::uint32_t>(std::min(held, kMaxHeld));
}

void Forwarder::beginTiming(RequestContext& context, const GatewayEndpoint& endpoint, std::uint32_t unreadTokens) const
{
    const auto events = context.events.eventCount();
    // The request itself counts among the load of its endpoint already.
    context.timing = { this->dependencies.clock.now(), std::nullopt, std::nullopt,
        static_cast<double>(endpoint.backlog()) + unreadTokens, static_cast<double>(endpoint.load()) - 1, events,
        events };
}

void Forwarder::recordHeadTime(RequestContext& context) const
{
    context.timing.headAt = this->dependencies.clock.now();
}

void Forwarder::recordPartTime(RequestContext& context, bool isStream) const
{
    auto& timing = context.timing;
    if (!isStream)
        return;
    const auto events = context.events.eventCount();
    context.work->recordOutput(tokensPerEvent(context.traits) * (events - std::exchange(timing.countedEvents, events)));
    if (timing.firstEventAt)
        return;
    const auto now = this->dependencies.clock.now();
    timing.firstEventAt = now;
    this->dependencies.costs.recordFirstEvent(
        context.service, timing.pendingTokens, toMs(now - timing.sentAt), context.tried.back()->pace);
}

void Forwarder::recordCost(const RequestContext& context, GatewayEndpoint& endpoint, const ResponseHead& head)
{
    const auto& timing = context.timing;
    const auto now = this->dependencies.clock.now();
    const bool isNobodyWaiting = !head.metadata.load || head.metadata.load->waiting == 0;
    AnswerObservation answer;
    answer.totalMs = toMs(now - timing.sentAt);
    answer.firstEventMs = toMs(timing.firstEventAt.value_or(timing.headAt.value_or(now)) - timing.sentAt);
    answer.pendingTokens = timing.pendingTokens;
    answer.load = timing.load;
    answer.slots = endpoint.record.slots;
    answer.hadFreeSlot = isNobodyWaiting && timing.load < answer.slots;
    // The whole length of a stream is known only if this attempt brought it from its beginning.
    const auto events = context.events.eventCount();
    if (!context.isTakeUp && timing.earlierEvents == 0 && events > 0)
        answer.outputTokens = static_cast<double>(events) * tokensPerEvent(context.traits);
    this->dependencies.costs.recordAnswer(shapeOf(context), answer, endpoint.pace);
}

} // namespace berylwing
