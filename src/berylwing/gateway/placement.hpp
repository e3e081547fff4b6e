#pragma once

#include "berylwing/gateway/cold_limit.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/prompt_holders.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace berylwing {

/** @brief What a placement depends on. */
struct PlacementRequest {
    std::string_view service;
    /** Hash of the prompt's shared part, or of the request if it shares nothing. */
    std::uint64_t key = 0;
    /** Tokens of the parts of the prompt that other requests share. */
    std::uint32_t sharedTokens = 0;
    /** Whether the endpoint that has read the shared part before should be chosen. */
    bool isSticky = false;
    /** Endpoints that have been tried. */
    const std::vector<GatewayEndpointPtr>& tried;
};

/**
 * @brief Chooses the endpoint of a request.
 *
 * Requests that share a prompt go to an endpoint that holds it, or else to the first of a rendezvous order, unless that
 * bears much more than the mean or has so much to read that another one would answer sooner. All others go to the
 * endpoint with the fewest requests in flight. It answers loads in which a few prompts are asked for far more often
 * than others, prompts that come all at once to endpoints that hold none, and endpoints that fail or turn cold among
 * sound ones.
 */
class Placement {
    [[nodiscard]] GatewayEndpointPtr chooseForPrompt(
        const PlacementRequest& request, const std::vector<GatewayEndpointPtr>& candidates) const;
    [[nodiscard]] GatewayEndpointPtr chooseIdlest(const std::vector<GatewayEndpointPtr>& candidates) const;
    [[nodiscard]] bool isUsable(const GatewayEndpoint& endpoint, const ServiceTraits& service, TimePoint now) const;

public:
    /**
     * @brief Creates a placement.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints.
     * @param coldLimit Limit of cold endpoints.
     * @param promptHolders Endpoints that hold shared prompts.
     * @param ownDomain Failure domain of this host, preferred among equals.
     */
    Placement(const Clock& hostClock, const EndpointDirectory& endpointDirectory, const ColdLimit& coldLimit,
        const PromptHolders& promptHolders, std::string ownDomain);

    /**
     * @brief Chooses an endpoint.
     * @param request What the choice depends on.
     * @param service Properties of the service.
     * @return Endpoint, or a null pointer if none may be given the request now.
     */
    [[nodiscard]] GatewayEndpointPtr choose(const PlacementRequest& request, const ServiceTraits& service) const;

    /**
     * @brief Finds an endpoint from which another one may copy the shared parts of a prompt.
     *
     * Copying takes less time than reading them anew and does not delay the other requests of the reader. Endpoints
     * that are to get no new requests still serve as a source.
     * @param request What the choice of the reader depended on.
     * @param reader Endpoint that was chosen.
     * @return Source; a null pointer if the reader holds the prompt, nobody else does or copying is not worth its
     * while.
     */
    [[nodiscard]] GatewayEndpointPtr sourceFor(const PlacementRequest& request, const GatewayEndpoint& reader) const;

private:
    const Clock& clock;
    const EndpointDirectory& directory;
    const ColdLimit& coldLimit;
    const PromptHolders& holders;
    std::string domain;
};

} // namespace berylwing
