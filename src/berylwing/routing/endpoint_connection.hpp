#pragma once

#include "berylwing/config/objects.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/endpoint_error.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/link/messages.pb.h"
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylwing {

/** @brief One attempt of a request, as it is sent to an endpoint. */
struct EndpointCall {
    const wire::Request& request;
    std::uint64_t attempt = 0;
    /** Number of body bytes that the caller already has; the endpoint continues the response after them. */
    std::uint64_t resumeOffset = 0;
    /** Token from the head of the interrupted response. */
    std::string resumeToken;
};

/** @brief Head of an endpoint's response. */
struct EndpointHead {
    unsigned status = 0;
    std::string contentType;
    /** Id that the endpoint generates at each start; a new one means that its caches are empty. */
    std::string bootId;
    /** Token with which the response can be resumed; empty if it cannot be. */
    std::string resumeToken;
};

/** @brief Load that an endpoint reports about itself. */
struct LoadReport {
    std::string bootId;
    /** Whether the endpoint reports its load; services other than engines do not. */
    bool reportsLoad = true;
    /** Number of requests that run at the endpoint, from all hosts. */
    std::uint32_t running = 0;
    bool warm = false;
    /** Age of the measurement when the report was sent. */
    Duration age {};
};

/**
 * @brief Connection to an endpoint that carries one call.
 *
 * Each function throws EndpointError. The response is complete once readBody() returns no value.
 */
struct EndpointConnection {
    /** Sends the request. */
    std::function<Task<void>(const EndpointCall&)> send;
    /** Reads the head of the response, until a deadline. */
    std::function<Task<EndpointHead>(TimePoint)> readHead;
    /** Reads the next bytes of the body, until a deadline; returns no value at the end of the body. */
    std::function<Task<std::optional<std::string>>(TimePoint)> readBody;
    /** Aborts the call; a pending read fails. */
    std::function<void()> abort;
};

/** @brief Access of a host to the endpoints of its failure domain. */
struct EndpointAccess {
    /** Opens a connection and sends nothing on it, so a failure means that the request did not run. */
    std::function<Task<std::shared_ptr<EndpointConnection>>(const EndpointObject&, TimePoint)> connect;
    /** Requests the load of an endpoint on a separate connection. */
    std::function<Task<LoadReport>(const EndpointObject&, TimePoint)> probe;
};

} // namespace berylwing
