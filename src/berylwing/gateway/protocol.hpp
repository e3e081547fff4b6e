#pragma once

#include "berylwing/config/objects.hpp"
#include "berylwing/core/json_text.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/request.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Platform-specific header names and document formats that the gateway depends on. */
struct GatewayProtocol {
    /** Parses the headers of a caller's request. */
    std::function<RequestMetadata(const HeaderFields&)> readRequest;
    /** Rewrites a caller's headers for the request to an endpoint. */
    std::function<void(HeaderFields&, const EndpointRequestMetadata&)> prepareForEndpoint;
    /** Parses the headers of an endpoint's response. */
    std::function<ResponseMetadata(const HeaderFields&)> readAnswer;
    /** Adds the headers of a refusal by this host, including the attempt that it belongs to. */
    std::function<void(HeaderFields&, const std::string& attemptId)> markRefusal;
    /** Parses a routing plan from the store; throws ConfigurationError if it is invalid. */
    std::function<RoutingPlan(const nlohmann::json&)> readPlan;
    /** Parses the record of an endpoint from the store; throws ConfigurationError if it is invalid. */
    std::function<EndpointRecord(const std::string& name, const nlohmann::json&)> readEndpoint;
    /** Path of the readiness check that the load balancer polls. */
    std::string readinessPath;
    /** Parses what is needed of the document of an object; returns a discarded value if it cannot be read. */
    std::function<nlohmann::json(ObjectKind kind, std::string_view name, std::string_view text)> readDocument
        = [](ObjectKind, std::string_view name, std::string_view text) { return berylwing::readDocument(text, name); };
};

} // namespace berylwing
