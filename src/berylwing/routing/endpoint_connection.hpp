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

/** @brief Request as it is sent to an endpoint. */
struct EndpointCall {
    const wire::Request& request;
    std::uint64_t attempt = 0;
    std::uint64_t resumeOffset = 0;
    std::string resumeToken;
};

/** @brief First part of an endpoint's answer. */
struct EndpointHead {
    unsigned status = 0;
    std::string contentType;
    std::string bootId;
    std::string resumeToken;
};

/** @brief Load that an endpoint reports about itself. */
struct LoadReport {
    std::string bootId;
    /** Whether the endpoint reports its load at all; plain services do not. */
    bool reportsLoad = true;
    std::uint32_t running = 0;
    bool warm = false;
    /** Age of the figures when the report was sent, in milliseconds. */
    Duration age {};
};

/**
 * @brief Connection to an endpoint that carries one call.
 *
 * Each function throws EndpointError. After readBody() gave no more bytes the answer is whole.
 */
struct EndpointConnection {
    /** Sends the request. */
    std::function<Task<void>(const EndpointCall&)> send;
    /** Reads the head of the answer until a deadline. */
    std::function<Task<EndpointHead>(TimePoint)> readHead;
    /** Reads the next bytes of the body until a deadline; nothing after the whole body. */
    std::function<Task<std::optional<std::string>>(TimePoint)> readBody;
    /** Ends the call at once; a pending read fails. */
    std::function<void()> abort;
};

/** @brief Access of a host to the endpoints of its failure domain. */
struct EndpointAccess {
    /** Opens a connection on which no byte of a request has been sent yet. */
    std::function<Task<std::shared_ptr<EndpointConnection>>(const EndpointObject&, TimePoint)> connect;
    /** Asks an endpoint for its load on a connection of its own. */
    std::function<Task<LoadReport>(const EndpointObject&, TimePoint)> probe;
};

} // namespace berylwing
