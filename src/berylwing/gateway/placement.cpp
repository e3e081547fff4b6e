#include "berylwing/gateway/placement.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Multiple of the mean load beyond which a shared prompt goes to the next endpoint of its order. */
constexpr double kLoadMultiple = 1.9;
/** Requests beyond that multiple that are always allowed, so that few requests are not spread for nothing. */
constexpr double kLoadSlack = 2.5;

/** Tokens by which a predicted wait may exceed the shortest one for the sake of a prompt's order: one long prompt. */
constexpr std::uint64_t kBacklogSlack = 10'000;

/** Tokens that reading a prompt anew counts beyond its own, since it also delays all others at the endpoint. */
constexpr std::uint64_t kReadingPenalty = 40'000;

/** Shared tokens from which on a prompt is copied; setting up a transfer takes as long as reading some hundred. */
constexpr std::uint32_t kFewestCopiedTokens = 500;

struct Candidate {
    GatewayEndpointPtr endpoint;
    double score = 0;
    bool isHolder = false;
    /** Tokens that the endpoint has to read before it answers. */
    std::uint64_t tokensAhead = 0;
};

/**
 * Load up to which an endpoint takes a shared prompt. The mean is taken over all endpoints of the service, also those
 * that get nothing, since they lower it.
 */
double boundOf(const EndpointDirectory& directory, std::string_view service)
{
    double total = 0;
    double count = 0;
    for (const auto& [id, endpoint] : directory.all()) {
        if (endpoint->record.service != service)
            continue;
        ++count;
        total += endpoint->load();
    }
    return kLoadMultiple * total / std::max(count, 1.0) + kLoadSlack;
}

} // namespace

Placement::Placement(const Clock& hostClock, const EndpointDirectory& endpointDirectory, const ColdLimit& limit,
    const PromptHolders& promptHolders, std::string ownDomain)
    : clock { hostClock }
    , directory { endpointDirectory }
    , coldLimit { limit }
    , holders { promptHolders }
    , domain { std::move(ownDomain) }
{
}

bool Placement::isUsable(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const
{
    return !endpoint.isCold(now) || this->coldLimit.allows(endpoint, service, now);
}

GatewayEndpointPtr Placement::choose(const PlacementRequest& request, const ServiceTraits& service) const
{
    const auto now = this->clock.now();
    auto open = this->directory.openEndpoints(request.service);
    std::erase_if(open, [&](const GatewayEndpointPtr& endpoint) {
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), endpoint) != request.tried.end();
        return isTried || !this->isUsable(*endpoint, service, now);
    });
    auto candidates = open;
    std::erase_if(candidates, [now](const GatewayEndpointPtr& endpoint) { return endpoint->health.isEjected(now); });
    // When all seem bad the fault is more likely elsewhere, and trying one is better than refusing.
    if (candidates.empty())
        candidates = std::move(open);
    if (candidates.empty())
        return nullptr;
    const auto endpoint = request.isSticky ? this->chooseForPrompt(request, candidates) : nullptr;
    return endpoint ? endpoint : this->chooseIdlest(candidates);
}

GatewayEndpointPtr Placement::chooseForPrompt(
    const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& endpoints) const
{
    const auto bound = boundOf(this->directory, request.service);
    std::vector<Candidate> candidates;
    for (const auto& endpoint : endpoints) {
        if (endpoint->load() >= bound)
            continue;
        const bool isHolder = this->holders.holds(request.key, endpoint->hash);
        const auto tokensAhead = endpoint->backlog() + (isHolder ? 0 : request.sharedTokens + kReadingPenalty);
        candidates.push_back({ endpoint, rendezvousScore(request.key, endpoint->record.id), isHolder, tokensAhead });
    }
    if (candidates.empty())
        return nullptr;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.isHolder != right.isHolder ? left.isHolder : left.score > right.score;
    });
    const auto shortest = std::min_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.tokensAhead < right.tokensAhead; });
    const auto most = shortest->tokensAhead + kBacklogSlack;
    const auto found = std::find_if(candidates.begin(), candidates.end(),
        [most](const Candidate& candidate) { return candidate.tokensAhead <= most; });
    return found->endpoint;
}

GatewayEndpointPtr Placement::sourceFor(const PlacementRequest& request, const GatewayEndpoint& reader) const
{
    if (!request.isSticky || request.sharedTokens < kFewestCopiedTokens
        || this->holders.holds(request.key, reader.hash))
        return nullptr;
    const auto now = this->clock.now();
    GatewayEndpointPtr best;
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->record.service != request.service || endpoint->isMissing || endpoint->health.isEjected(now)
            || !this->holders.holds(request.key, endpoint->hash))
            continue;
        // A copy inside a failure domain takes half the time of one between two.
        const bool isNear = endpoint->record.domain == reader.record.domain;
        if (!best || (isNear && best->record.domain != reader.record.domain))
            best = endpoint;
    }
    return best;
}

GatewayEndpointPtr Placement::chooseIdlest(const std::vector<GatewayEndpointPtr>& candidates) const
{
    return *std::min_element(
        candidates.begin(), candidates.end(), [this](const GatewayEndpointPtr& left, const GatewayEndpointPtr& right) {
            if (left->load() != right->load())
                return left->load() < right->load();
            return left->record.domain == this->domain && right->record.domain != this->domain;
        });
}

} // namespace berylwing
