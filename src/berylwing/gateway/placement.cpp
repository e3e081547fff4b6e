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

struct Candidate {
    GatewayEndpointPtr endpoint;
    double score = 0;
    bool isHolder = false;
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
    std::vector<Candidate> candidates;
    for (const auto& endpoint : open) {
        if (!endpoint->health.isEjected(now))
            candidates.push_back({ endpoint, rendezvousScore(request.key, endpoint->record.id) });
    }
    // When all seem bad the fault is more likely elsewhere, and trying one is better than refusing.
    if (candidates.empty()) {
        for (const auto& endpoint : open)
            candidates.push_back({ endpoint, rendezvousScore(request.key, endpoint->record.id) });
    }
    if (candidates.empty())
        return nullptr;
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.score > right.score; });
    if (request.isSticky) {
        const auto bound = boundOf(this->directory, request.service);
        for (auto& candidate : candidates)
            candidate.isHolder = this->holders.holds(request.key, candidate.endpoint->hash);
        std::stable_partition(
            candidates.begin(), candidates.end(), [](const Candidate& candidate) { return candidate.isHolder; });
        const auto found = std::find_if(candidates.begin(), candidates.end(),
            [bound](const Candidate& candidate) { return candidate.endpoint->load() < bound; });
        if (found != candidates.end())
            return found->endpoint;
    }
    const auto least
        = std::min_element(candidates.begin(), candidates.end(), [this](const Candidate& left, const Candidate& right) {
              if (left.endpoint->inFlight != right.endpoint->inFlight)
                  return left.endpoint->inFlight < right.endpoint->inFlight;
              return left.endpoint->record.domain == this->domain && right.endpoint->record.domain != this->domain;
          });
    return least->endpoint;
}

} // namespace berylwing
