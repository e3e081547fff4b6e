#pragma once

#include "berylwing/cost/expected_delay.hpp"
#include "berylwing/gateway/cold_rate_limit.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/endpoint_rate_limits.hpp"
#include "berylwing/gateway/prompt_cache_index.hpp"
#include "berylwing/gateway/unseen_requests.hpp"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Checks if an endpoint may get a request. */
using EndpointFilter = std::function<bool(const GatewayEndpoint&)>;

/** @brief Properties of a request that the choice of its endpoint depends on. */
struct PlacementRequest {
    std::string_view service;
    /** Hash of the prompt's shared segment, or of the attempt id if the request shares no segment. */
    std::uint64_t key = 0;
    /** Tokens of the segments of the prompt that other requests share. */
    std::uint32_t sharedTokens = 0;
    /** Whether an endpoint that has the shared segment in its cache is preferred. */
    bool isSticky = false;
    /** Endpoints that were tried before and are not chosen again. */
    const std::vector<GatewayEndpointPtr>& tried;
    /** Hash of the attempt id, by which requests are spread over endpoints. */
    std::uint64_t requestHash = 0;
    /** Version of the endpoints that may get the request, as GatewayEndpoint::versionHash; nothing if any may. */
    std::optional<std::uint32_t> version {};
    /** Time in which the answer should begin; zero if there is no such target. */
    Duration latencyTarget {};
    /** Tokens that the request may come to hold in the memory of its endpoint. */
    double heldTokens = 0;
    /** Endpoints that may get the request; empty if all may. */
    EndpointFilter filter {};
    /** Checks if an endpoint has room for one more request; all have without it. */
    EndpointFilter hasRoom {};
};

/** @brief What a host knows of the load of an endpoint when it chooses it. */
struct LoadBelief {
    /** Requests of this host at the endpoint. */
    std::uint32_t own = 0;
    /** Requests of other hosts at the endpoint, by their last digests. */
    std::uint32_t others = 0;
    /** Mean load of the endpoints of the service. */
    double mean = 0;
    /** Load from which on the endpoint receives no requests because of their prompts. */
    double limit = 0;
    /** Expected requests of other hosts to the service that these loads do not include. */
    double unseen = 0;
    /** Time that work takes at the endpoint over that at an endpoint of the mean capacity. */
    double paceWeight = 1;
};

/**
 * @brief Chooses the endpoint of a request.
 *
 * A request with a shared prompt goes to an endpoint that has the prompt in its cache, or else to the first endpoint in
 * the prompt's rendezvous order. Endpoints are passed over if their load is far above the mean, or if their backlog of
 * prompts is so long that another endpoint would respond sooner. Any other request goes to the endpoint with the fewest
 * requests in flight.
 *
 * Where some endpoints are known to be much slower than others, a request there weighs as much more, and a prompt
 * leaves an endpoint that is expected to begin the answer too late. Requests that an endpoint holds never exceed its
 * memory, as far as hosts know of them.
 *
 * These rules are meant for skewed loads, in which a few prompts are far more frequent than the others; for many
 * prompts that arrive at once while all caches are empty; and for services some of whose endpoints fail or are still
 * cold.
 *
 * All hosts choose by about the same loads, which do not include the latest requests of other hosts. If more of these
 * are expected than an endpoint has room for, the requests are therefore spread over further endpoints at random.
 */
class Placement {
    [[nodiscard]] GatewayEndpointPtr chooseByPrompt(
        const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& candidates) const;
    [[nodiscard]] GatewayEndpointPtr chooseByLoad(
        const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& candidates) const;
    [[nodiscard]] GatewayEndpointPtr chooseLeastLoaded(
        const std::vector<GatewayEndpointPtr>& candidates, const RelativePaces& paces) const;
    /** Checks if the memory of an endpoint has room for the request beside those that it is known to hold. */
    [[nodiscard]] static bool hasMemory(
        const GatewayEndpoint& endpoint, const PlacementRequest& request, const ServiceTraits& service);
    /** Compares the endpoints of a service by their paces. */
    [[nodiscard]] RelativePaces pacesOf(std::string_view service) const;
    /** Checks if an endpoint may receive a request; a cold one, or one that names a limit, only within that rate. */
    [[nodiscard]] bool canReceive(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const;

public:
    /**
     * @brief Creates a placement.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints of all services.
     * @param coldRateLimit Rate limit of cold endpoints.
     * @param namedRateLimits Limits that endpoints name.
     * @param cacheIndex Endpoints that cache shared prompts.
     * @param unseenRequestEstimate Requests of other hosts that the known loads do not include.
     * @param costModel What requests cost.
     * @param ownDomain Failure domain of this host, preferred among equally loaded endpoints.
     */
    Placement(const Clock& hostClock, const EndpointDirectory& endpointDirectory, const ColdRateLimit& coldRateLimit,
        const EndpointRateLimits& namedRateLimits, const PromptCacheIndex& cacheIndex,
        const UnseenRequests& unseenRequestEstimate, const CostModel& costModel, std::string ownDomain);

    /**
     * @brief Chooses an endpoint.
     * @param request Properties of the request.
     * @param service Properties of the service.
     * @return Endpoint, or a null pointer if none may receive the request now.
     */
    [[nodiscard]] GatewayEndpointPtr choose(const PlacementRequest& request, const ServiceTraits& service) const;

    /**
     * @brief Describes on which loads the choice of an endpoint was based.
     * @param endpoint Endpoint that has just been chosen, before the request counts among its load.
     * @return Load.
     */
    [[nodiscard]] LoadBelief describeLoad(const GatewayEndpoint& endpoint) const;

    /**
     * @brief Finds an endpoint from which the chosen endpoint can copy the KV cache of the shared segments.
     *
     * Copying takes less time than computing the cache again and does not delay other requests at the chosen endpoint.
     * What endpoints of another software version hold does not fit.
     * Endpoints that receive no new requests, such as draining ones, still serve as a source.
     * @param request Properties of the request.
     * @param target Chosen endpoint.
     * @return Source; a null pointer if the target has the prompt in its cache, no other endpoint has it, or the prompt
     * is too short for a copy to pay off.
     */
    [[nodiscard]] GatewayEndpointPtr findCacheSource(
        const PlacementRequest& request, const GatewayEndpoint& target) const;

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    const ColdRateLimit& coldRateLimit;
    const EndpointRateLimits& rateLimits;
    const PromptCacheIndex& promptCache;
    const UnseenRequests& unseenRequests;
    const CostModel& costs;
    std::string domain;
};

} // namespace berylwing
