#pragma once

#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/request.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace berylwing {

/** @brief Names and formats of a platform, as the gateway needs them. */
struct GatewayProtocol {
    /** Reads the headers of a caller's request. */
    std::function<RequestFacts(const HeaderFields&)> readRequest;
    /** Turns the headers of a caller into those for an endpoint. */
    std::function<void(HeaderFields&, const EndpointRequestFacts&)> prepareForEndpoint;
    /** Reads the head of an endpoint's answer. */
    std::function<AnswerFacts(const HeaderFields&)> readAnswer;
    /** Marks a refusal of this host with the attempt to which it belongs. */
    std::function<void(HeaderFields&, const std::string& attemptId)> markRefusal;
    /** Reads a stored routing plan; throws ConfigurationError. */
    std::function<RoutingPlan(const nlohmann::json&)> readPlan;
    /** Reads the stored entry of an endpoint; throws ConfigurationError. */
    std::function<EndpointRecord(const std::string& name, const nlohmann::json&)> readEndpoint;
    /** Path at which the balancer asks whether this host takes connections. */
    std::string readinessPath;
};

} // namespace berylwing
