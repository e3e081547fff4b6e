#include "berylwing/gateway/placement.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <cmath>
#include <utility>

namespace berylwing {

namespace {

/** Multiple of the mean load from which on an endpoint receives no further requests because of their prompts. */
constexpr double kMaxLoadRatio = 1.9;
/** Requests allowed on top of that multiple, so that a low load is not spread without need. */
constexpr double kLoadTolerance = 2.5;

/** Power of an endpoint's pace by which its largest load shrinks. */
constexpr double kSlowLoadExponent = 1.5;

/** Tokens by which the backlog of a preferred endpoint may exceed the shortest one: the length of a long prompt. */
constexpr double kBacklogTolerance = 10'000;

/** Tokens added to the cost of an uncached prompt, since processing it also delays the endpoint's other requests. */
constexpr double kUncachedPenalty = 40'000;

/** Minimum length of a prompt to copy; setting up a transfer takes as long as processing some hundred tokens. */
constexpr std::uint32_t kMinCopiedTokens = 500;

/** Part of an endpoint's memory that the known requests may hold; the rest is left for those that are not known yet. */
constexpr double kMaxMemoryShare = 0.9;

/** Standard deviations of an endpoint's unseen requests that its load is kept below the limit. */
constexpr double kUnseenMargin = 0.25;

/** Factor by which the load of a popular prompt exceeds what hosts know of it, since it is still growing. */
constexpr double kGrowthFactor = 2;

/** Weight of a source in the target's failure domain, from which a copy takes half the time of others. */
constexpr double kNearSourceWeight = 1'000'000;

struct Candidate {
    GatewayEndpointPtr endpoint;
    /** Position in the rendezvous order of the prompt; the highest score comes first. */
    double score = 0;
    bool isCached = false;
    /** Whether the endpoint names a limit, so that most of the requests with the prompt go elsewhere. */
    bool isLimited = false;
    /** Estimated tokens that the endpoint has to process before it responds, in terms of an endpoint of mean pace. */
    double pendingTokens = 0;
    /** Requests that the endpoint may receive because of their prompts. */
    double room = 0;
    /** Whether the endpoint is so slow that the answer would begin too late. */
    bool isTooLate = false;
    /** Whether no other endpoint responds much sooner. */
    bool isResponsive = false;
};

/**
 * Load of the endpoints of a service, including those that receive no requests, which lower the mean. Endpoints that
 * name a limit do not count: the others have to take what does not fit.
 */
struct ServiceLoad {
    [[nodiscard]] double mean() const { return this->total / std::max(this->count, 1.0); }

    /** Returns the load up to which an endpoint receives requests because of their prompts. */
    [[nodiscard]] double limit(double unseenRequests) const
    {
        const auto deviation = std::sqrt(unseenRequests / std::max(this->count, 1.0));
        return std::max(this->mean(), kMaxLoadRatio * this->mean() + kLoadTolerance - kUnseenMargin * deviation);
    }

    double total = 0;
    double count = 0;
};

ServiceLoad loadOf(const EndpointDirectory& directory, std::string_view service, const EndpointFilter& filter = {})
{
    ServiceLoad load;
    ServiceLoad limited;
    for (const auto& [id, endpoint] : directory.all()) {
        if (endpoint->record.service != service || (filter && !filter(*endpoint)))
            continue;
        auto& counted = endpoint->limit.perSecond ? limited : load;
        ++counted.count;
        counted.total += endpoint->load();
    }
    return load.count > 0 ? load : limited;
}

/** Endpoint and its load in terms of requests at an endpoint of mean pace. */
struct WeightedLoad {
    GatewayEndpointPtr endpoint;
    double paceWeight = 1;
    double load = 0;
};

std::vector<WeightedLoad> weigh(
    const std::vector<GatewayEndpointPtr>& endpoints, const RelativePaces& paces, TimePoint now)
{
    std::vector<WeightedLoad> loads;
    loads.reserve(endpoints.size());
    for (const auto& endpoint : endpoints) {
        // A fast endpoint gets no more than any other: its load counts by the number of its requests as well.
        const auto weight = std::max(paces.weightOf(endpoint->pace.slowness(now)), 1.0);
        loads.push_back({ endpoint, weight, weight * endpoint->load() });
    }
    return loads;
}

/** Returns the common load of the least loaded endpoints after a number of requests were spread evenly over them. */
double fillLevelOf(std::vector<WeightedLoad> loads, double requests)
{
    std::sort(loads.begin(), loads.end(),
        [](const WeightedLoad& left, const WeightedLoad& right) { return left.load < right.load; });
    double filled = requests;
    double capacity = 0;
    for (std::size_t count = 0; count < loads.size(); ++count) {
        filled += loads[count].load / loads[count].paceWeight;
        capacity += 1 / loads[count].paceWeight;
        if (count + 1 == loads.size() || filled / capacity <= loads[count + 1].load)
            break;
    }
    return filled / capacity;
}

/** Draws an endpoint at random; its part of all requests is proportional to its weight. */
class WeightedDraw {
public:
    explicit WeightedDraw(std::uint64_t hash)
        : requestHash { hash }
    {
    }

    void add(const GatewayEndpointPtr& endpoint, double weight)
    {
        if (weight <= 0)
            return;
        const auto score = rendezvousScore(this->requestHash, endpoint->record.id, weight);
        if (this->best && score <= this->bestScore)
            return;
        this->best = endpoint;
        this->bestScore = score;
    }

    [[nodiscard]] const GatewayEndpointPtr& drawn() const noexcept { return this->best; }

private:
    std::uint64_t requestHash;
    GatewayEndpointPtr best;
    double bestScore = 0;
};

/**
 * Sorts the candidates for a prompt: those that begin in time first, then responsive ones, then those that cache it,
 * then those without a limit, where the prompt can stay, then by rendezvous order.
 */
void sortByPreference(std::vector<Candidate>& candidates)
{
    const auto shortest = std::min_element(candidates.begin(), candidates.end(),
        [](const Candidate& left, const Candidate& right) { return left.pendingTokens < right.pendingTokens; });
    const auto maxPendingTokens = shortest->pendingTokens + kBacklogTolerance;
    for (auto& candidate : candidates)
        candidate.isResponsive = candidate.pendingTokens <= maxPendingTokens;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        if (left.isTooLate != right.isTooLate)
            return right.isTooLate;
        if (left.isResponsive != right.isResponsive)
            return left.isResponsive;
        if (left.isCached != right.isCached)
            return left.isCached;
        if (!left.isCached && left.isLimited != right.isLimited)
            return right.isLimited;
        return left.score > right.score;
    });
}

/** Draws one of the first candidates that together have room for the unseen requests of a prompt. */
GatewayEndpointPtr drawByRoom(
    const std::vector<Candidate>& candidates, double unseenRequests, std::uint64_t requestHash)
{
    WeightedDraw draw { requestHash };
    auto remaining = unseenRequests;
    for (const auto& candidate : candidates) {
        draw.add(candidate.endpoint, std::min(candidate.room, std::max(remaining, 1.0)));
        remaining -= candidate.room;
        if (remaining <= 0)
            break;
    }
    return draw.drawn();
}

} // namespace

Placement::Placement(const Clock& hostClock, const EndpointDirectory& endpointDirectory, const ColdRateLimit& limit,
    const EndpointRateLimits& namedRateLimits, const PromptCacheIndex& cacheIndex,
    const UnseenRequests& unseenRequestEstimate, const CostModel& costModel, std::string ownDomain)
    : clock { hostClock }
    , directory { endpointDirectory }
    , coldRateLimit { limit }
    , rateLimits { namedRateLimits }
    , promptCache { cacheIndex }
    , unseenRequests { unseenRequestEstimate }
    , costs { costModel }
    , domain { std::move(ownDomain) }
{
}

bool Placement::canReceive(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const
{
    return this->rateLimits.nextSendAt(endpoint) <= now
        && (!endpoint.isCold(now) || this->coldRateLimit.canSend(endpoint, service, now));
}

bool Placement::hasMemory(
    const GatewayEndpoint& endpoint, const PlacementRequest& request, const ServiceTraits& service)
{
    if (!service.model || service.model->memoryTokens == 0 || request.heldTokens <= 0)
        return true;
    // Requests whose hosts do not count their tokens are taken for requests like this one.
    const auto uncounted = request.heldTokens * endpoint.remoteUncounted;
    const auto held = double { 0 } + endpoint.heldTokens + endpoint.remoteHeldTokens + uncounted;
    return held + request.heldTokens <= kMaxMemoryShare * service.model->memoryTokens;
}

RelativePaces Placement::pacesOf(std::string_view service) const
{
    RelativePaces paces;
    const auto now = this->clock.now();
    for (const auto& endpoint : this->directory.availableEndpoints(service))
        paces.add(endpoint->pace.slowness(now));
    return paces;
}

GatewayEndpointPtr Placement::choose(const PlacementRequest& request, const ServiceTraits& service) const
{
    const auto now = this->clock.now();
    auto available = this->directory.availableEndpoints(request.service);
    std::erase_if(available, [&](const GatewayEndpointPtr& endpoint) {
        const bool isTried = std::find(request.tried.begin(), request.tried.end(), endpoint) != request.tried.end();
        const bool isOtherVersion = request.version && *request.version != endpoint->versionHash;
        const bool isFiltered = request.filter && !request.filter(*endpoint);
        const bool isCrowded = request.hasRoom && !request.hasRoom(*endpoint);
        return isTried || isOtherVersion || isFiltered || isCrowded || !this->canReceive(*endpoint, service, now);
    });
    auto candidates = available;
    std::erase_if(candidates, [now](const GatewayEndpointPtr& endpoint) { return endpoint->health.isEjected(now); });
    // If all endpoints are ejected, the fault is more likely elsewhere, and trying one is better than refusing.
    if (candidates.empty())
        candidates = std::move(available);
    if (candidates.empty())
        return nullptr;
    // Segments that requests share are counted more than once; if all seem full, endpoints reject what does not fit.
    const auto isFull = [&](const GatewayEndpointPtr& endpoint) { return !hasMemory(*endpoint, request, service); };
    if (!std::all_of(candidates.begin(), candidates.end(), isFull))
        std::erase_if(candidates, isFull);
    const auto unchecked = std::find_if(candidates.begin(), candidates.end(),
        [this](const GatewayEndpointPtr& endpoint) { return this->rateLimits.isCheckDue(*endpoint); });
    if (unchecked != candidates.end())
        return *unchecked;
    const auto endpoint = request.isSticky ? this->chooseByPrompt(request, candidates) : nullptr;
    return endpoint ? endpoint : this->chooseByLoad(request, candidates);
}

GatewayEndpointPtr Placement::chooseByPrompt(
    const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& endpoints) const
{
    const auto load = loadOf(this->directory, request.service, request.filter);
    const auto unseenAtService = this->unseenRequests.estimate(request.service);
    const auto limit = load.limit(unseenAtService);
    const auto paces = this->pacesOf(request.service);
    const auto now = this->clock.now();
    const ExpectedDelay delay { this->costs, request.service, request.latencyTarget };
    std::vector<Candidate> candidates;
    double excess = 0;
    for (const auto& endpoint : endpoints) {
        const bool isCached = this->promptCache.isCached(request.key, endpoint->hash);
        // A fast endpoint gets no more than any other: its load counts by the number of its requests as well.
        const auto paceWeight = std::max(paces.weightOf(endpoint->pace.slowness(now)), 1.0);
        // A slow one works longer on each request and begins later with the next, so that it gets less than its share.
        const auto maxLoad = paceWeight > 1 ? limit / std::pow(paceWeight, kSlowLoadExponent) : limit;
        if (endpoint->load() >= maxLoad) {
            excess += isCached ? std::max(endpoint->load() - load.mean(), 0.0) : 0;
            continue;
        }
        const auto unreadTokens = static_cast<double>(endpoint->backlog() + (isCached ? 0 : request.sharedTokens));
        const auto pendingTokens = paceWeight * unreadTokens + (isCached ? 0 : kUncachedPenalty);
        const auto score = rendezvousScore(request.key, endpoint->record.id);
        const bool isLimited = endpoint->limit.perSecond.has_value();
        const bool isTooLate = delay.isTooLate(paceWeight, unreadTokens);
        candidates.push_back(
            { endpoint, score, isCached, isLimited, pendingTokens, maxLoad - endpoint->load(), isTooLate });
    }
    if (candidates.empty())
        return nullptr;
    sortByPreference(candidates);
    // A popular prompt causes the excess load of the endpoints that cache it, and the same part of the unseen requests.
    const auto unseenByExcess = kGrowthFactor * excess * unseenAtService / std::max(load.total, 1.0);
    const auto unseenByOwnUses = this->unseenRequests.estimate(this->promptCache.ownUseRate(request.key));
    return drawByRoom(candidates, std::max(unseenByExcess, unseenByOwnUses), request.requestHash);
}

LoadBelief Placement::describeLoad(const GatewayEndpoint& endpoint) const
{
    const auto load = loadOf(this->directory, endpoint.record.service);
    const auto unseen = this->unseenRequests.estimate(endpoint.record.service);
    const auto paceWeight = this->pacesOf(endpoint.record.service).weightOf(endpoint.pace.slowness(this->clock.now()));
    return { endpoint.inFlight, endpoint.remoteInFlight, load.mean(), load.limit(unseen), unseen, paceWeight };
}

GatewayEndpointPtr Placement::findCacheSource(const PlacementRequest& request, const GatewayEndpoint& target) const
{
    if (!request.isSticky || request.sharedTokens < kMinCopiedTokens
        || this->promptCache.isCached(request.key, target.hash))
        return nullptr;
    const auto now = this->clock.now();
    // Each target prefers another source, since a source serves one copy at a time.
    WeightedDraw draw { request.key ^ target.hash };
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->versionHash != target.versionHash || endpoint->isMissing || endpoint->health.isEjected(now)
            || !this->promptCache.isCached(request.key, endpoint->hash))
            continue;
        draw.add(endpoint, endpoint->record.domain == target.record.domain ? kNearSourceWeight : 1);
    }
    return draw.drawn();
}

GatewayEndpointPtr Placement::chooseByLoad(
    const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& candidates) const
{
    const auto unseen = this->unseenRequests.estimate(request.service);
    const auto paces = this->pacesOf(request.service);
    if (unseen < 1)
        return this->chooseLeastLoaded(candidates, paces);
    const auto loads = weigh(candidates, paces, this->clock.now());
    const auto level = fillLevelOf(loads, unseen);
    WeightedDraw draw { request.requestHash };
    for (const auto& [endpoint, paceWeight, load] : loads)
        draw.add(endpoint, (level - load) / paceWeight);
    return draw.drawn();
}

GatewayEndpointPtr Placement::chooseLeastLoaded(
    const std::vector<GatewayEndpointPtr>& candidates, const RelativePaces& paces) const
{
    const auto loads = weigh(candidates, paces, this->clock.now());
    // Load after the request, so that an idle slow endpoint is not preferred to a fast one with a request or two.
    const auto nextLoad = [](const WeightedLoad& each) { return each.load + each.paceWeight; };
    return std::min_element(loads.begin(), loads.end(),
        [this, &nextLoad](const WeightedLoad& left, const WeightedLoad& right) {
            if (nextLoad(left) != nextLoad(right))
                return nextLoad(left) < nextLoad(right);
            return left.endpoint->record.domain == this->domain && right.endpoint->record.domain != this->domain;
        })
        ->endpoint;
}

} // namespace berylwing
