#include "berylwing/core/hash.hpp"
#include "berylwing/gateway/brittle_endpoints.hpp"
#include "berylwing/gateway/forwarder_context.hpp"
#include "berylwing/gateway/gateway_rollouts.hpp"

namespace berylwing {

GatewayEndpointPtr Forwarder::placeRequest(const RequestContext& context)
{
    auto request = placementRequestOf(context);
    if (this->dependencies.brittleEndpoints.isBrittle(context.service)) {
        request.hasRoom = [this](const GatewayEndpoint& candidate) {
            return this->dependencies.brittleEndpoints.hasRoom(candidate);
        };
    }
    auto* host = this->dependencies.rollouts;
    if (host == nullptr || host->all().isIdle())
        return this->dependencies.placement.choose(request, context.traits);
    auto& rollouts = host->all();
    const auto choice = rollouts.choose(context.service, context.version, context.attempts == 0);
    const bool isPinned = context.version.has_value();
    const auto isBarred = [&rollouts, &context, isPinned](const GatewayEndpoint& endpoint) {
        return rollouts.isBarred(context.service, endpoint.versionHash, isPinned);
    };
    GatewayEndpointPtr endpoint;
    if (choice.prefersTrial) {
        request.filter = [host, &choice, &isBarred](const GatewayEndpoint& candidate) {
            return candidate.versionHash == choice.trial && host->isTrialEndpoint(candidate) && !isBarred(candidate);
        };
        endpoint = this->dependencies.placement.choose(request, context.traits);
    }
    if (!endpoint) {
        // A stream goes on at the version that began it, also at that on trial.
        request.filter = [isPinned, &choice, &isBarred](const GatewayEndpoint& candidate) {
            return (isPinned || candidate.versionHash != choice.trial) && !isBarred(candidate);
        };
        endpoint = this->dependencies.placement.choose(request, context.traits);
    }
    if (endpoint)
        rollouts.recordSend(context.service, endpoint->versionHash);
    return endpoint;
}

bool Forwarder::isStopped(const RequestContext& context, const GatewayEndpoint& endpoint) const
{
    auto* host = this->dependencies.rollouts;
    return host != nullptr && host->all().isBarred(context.service, endpoint.versionHash, context.version.has_value());
}

void Forwarder::excludeTrials(const RequestContext& context, PlacementRequest& request) const
{
    auto* host = this->dependencies.rollouts;
    if (host == nullptr || host->all().isIdle())
        return;
    request.filter = [this, host, &context](const GatewayEndpoint& candidate) {
        const bool isOnTrial = host->all().isOnTrial(context.service, candidate.versionHash);
        return !this->isStopped(context, candidate)
            && (context.version || !isOnTrial || host->all().shareOf(context.service) >= 1);
    };
}

void Forwarder::observeAnswer(RequestContext& context, const GatewayEndpoint& endpoint, std::uint32_t unreadTokens)
{
    auto* host = this->dependencies.rollouts;
    if (host == nullptr)
        return;
    const auto& segments = context.request.metadata.promptSegments;
    const auto ownTokens = segments.empty() ? 0 : segments.back().tokens;
    ObservedSend send;
    send.service = static_cast<std::uint32_t>(hashText(context.service));
    send.version = endpoint.versionHash;
    send.endpoint = endpoint.hash;
    send.route = static_cast<std::uint32_t>(hashText(context.route->name));
    // The rest of a stream, a cold endpoint and a prompt that is not in its cache take their own time.
    send.isTimed = !endpoint.isCold(this->dependencies.clock.now()) && unreadTokens <= ownTokens && !context.isTakeUp
        && !context.isHeadWritten;
    host->all().answers().begin(context.observation, send);
}

void Forwarder::finishObservation(RequestContext& context, bool isFailure)
{
    auto* host = this->dependencies.rollouts;
    if (host != nullptr)
        host->all().answers().finish(context.observation, isFailure);
}

} // namespace berylwing
