#include "berylwing/gateway/placement.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Multiple of the mean load from which on an endpoint receives no further requests because of their prompts. */
constexpr double kMaxLoadRatio = 1.9;
/** Requests allowed on top of that multiple, so that a low load is not spread without need. */
constexpr double kLoadTolerance = 2.5;

/** Tokens by which the backlog of a preferred endpoint may exceed the shortest one: the length of a long prompt. */
constexpr std::uint64_t kBacklogTolerance = 10'000;

/** Tokens added to the cost of an uncached prompt, since processing it also delays the endpoint's other requests. */
constexpr std::uint64_t kUncachedPenalty = 40'000;

/** Minimum length of a prompt to copy; setting up a transfer takes as long as processing some hundred tokens. */
constexpr std::uint32_t kMinCopiedTokens = 500;

struct Candidate {
    GatewayEndpointPtr endpoint;
    /** Position in the rendezvous order of the prompt; the highest score comes first. */
    double score = 0;
    bool isCached = false;
    /** Estimated tokens that the endpoint has to process before it responds. */
    std::uint64_t pendingTokens = 0;
};

/** Returns the mean load of a service; it includes the endpoints that receive no requests, which lower it. */
double meanLoadOf(const EndpointDirectory& directory, std::string_view service)
{
    double total = 0;
    double count = 0;
    for (const auto& [id, endpoint] : directory.all()) {
        if (endpoint->record.service != service)
            continue;
        ++count;
        total += endpoint->load();
    }
    return total / std::max(count, 1.0);
}

/** Returns the load up to which an endpoint receives requests because of their prompts. */
double loadLimitOf(double meanLoad) { return kMaxLoadRatio * meanLoad + kLoadTolerance; }

} // namespace

Placement::Placement(const Clock& hostClock, const EndpointDirectory& endpointDirectory, const ColdRateLimit& limit,
    const PromptCacheIndex& cacheIndex, std::string ownDomain)
    : clock { hostClock }
    , directory { endpointDirectory }
    , coldRateLimit { limit }
    , promptCache { cacheIndex }
    , domain { std::move(ownDomain) }
{
}

bool Placement::canReceive(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const
{
    return !endpoint.isCold(now) || this->coldRateLimit.canSend(endpoint, service, now);
}

GatewayEndpointPtr Placement::choose(const PlacementRequest& request, const ServiceTraits& service) const
{
    const auto now = this->clock.now();
    auto available = this->directory.availableEndpoints(request.service);
    std::erase_if(available, [&](const GatewayEndpointPtr& endpoint) {
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), endpoint) != request.tried.end();
        return isTried || !this->canReceive(*endpoint, service, now);
    });
    auto candidates = available;
    std::erase_if(candidates, [now](const GatewayEndpointPtr& endpoint) { return endpoint->health.isEjected(now); });
    // If all endpoints are ejected, the fault is more likely elsewhere, and trying one is better than refusing.
    if (candidates.empty())
        candidates = std::move(available);
    if (candidates.empty())
        return nullptr;
    const auto endpoint = request.isSticky ? this->chooseByPrompt(request, candidates) : nullptr;
    return endpoint ? endpoint : this->chooseLeastLoaded(candidates);
}

GatewayEndpointPtr Placement::chooseByPrompt(
    const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& endpoints) const
{
    const auto loadLimit = loadLimitOf(meanLoadOf(this->directory, request.service));
    std::vector<Candidate> candidates;
    for (const auto& endpoint : endpoints) {
        if (endpoint->load() >= loadLimit)
            continue;
        const bool isCached = this->promptCache.isCached(request.key, endpoint->hash);
        const auto pendingTokens = endpoint->backlog() + (isCached ? 0 : request.sharedTokens + kUncachedPenalty);
        candidates.push_back({ endpoint, rendezvousScore(request.key, endpoint->record.id), isCached, pendingTokens });
    }
    if (candidates.empty())
        return nullptr;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.isCached != right.isCached ? left.isCached : left.score > right.score;
    });
    const auto shortest = std::min_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.pendingTokens < right.pendingTokens; });
    const auto maxPendingTokens = shortest->pendingTokens + kBacklogTolerance;
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [maxPendingTokens](const Candidate& candidate) { return candidate.pendingTokens <= maxPendingTokens; });
    return found->endpoint;
}

LoadBelief Placement::describeLoad(const GatewayEndpoint& endpoint) const
{
    const auto mean = meanLoadOf(this->directory, endpoint.record.service);
    return { endpoint.inFlight, endpoint.remoteInFlight, mean, loadLimitOf(mean) };
}

GatewayEndpointPtr Placement::findCacheSource(const PlacementRequest& request, const GatewayEndpoint& target) const
{
    if (!request.isSticky || request.sharedTokens < kMinCopiedTokens
        || this->promptCache.isCached(request.key, target.hash))
        return nullptr;
    const auto now = this->clock.now();
    GatewayEndpointPtr best;
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->record.service != request.service || endpoint->isMissing || endpoint->health.isEjected(now)
            || !this->promptCache.isCached(request.key, endpoint->hash))
            continue;
        // A copy within a failure domain takes half the time of a copy between two.
        const bool isNear = endpoint->record.domain == target.record.domain;
        if (!best || (isNear && best->record.domain != target.record.domain))
            best = endpoint;
    }
    return best;
}

GatewayEndpointPtr Placement::chooseLeastLoaded(const std::vector<GatewayEndpointPtr>& candidates) const
{
    return *std::min_element(
        candidates.begin(), candidates.end(), [this](const GatewayEndpointPtr& left, const GatewayEndpointPtr& right) {
            if (left->load() != right->load())
                return left->load() < right->load();
            return left->record.domain == this->domain && right->record.domain != this->domain;
        });
}

} // namespace berylwing
