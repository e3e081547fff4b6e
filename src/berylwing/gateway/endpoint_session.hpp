#pragma once

#include "berylwing/core/endpoint_error.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/gateway/request.hpp"
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace berylwing {

/** @brief Longest silence after which an endpoint may go on; an answer must not end within it. */
inline constexpr Duration kMaxEndpointPause { 1500 };

/** @brief Request to an endpoint. */
struct EndpointRequest {
    std::string method;
    std::string target;
    HeaderFields fields;
    const std::string& body;
    /** Attempt id that the response must carry, to tell it from late responses on the same connection. */
    std::string attemptId;
    /** Whether the request can run elsewhere if its connection breaks before the head of the response. */
    bool isRetryable = false;
    /** Whether a response whose head has arrived can be resumed elsewhere. */
    bool isResumable = false;
};

/**
 * @brief Exchange of one request and its response with an endpoint.
 *
 * All functions but abort() throw EndpointError on failure. The response is complete once readBody() returns nothing.
 */
struct EndpointSession {
    /** Starts to send the request. */
    std::function<Task<void>(const EndpointRequest&)> send;
    /** Reads the status line and headers of the response; fails at the given deadline. */
    std::function<Task<ResponseHead>(TimePoint)> readHead;
    /** Reads the next bytes of the body, or nothing at its end; fails at the given deadline. */
    std::function<Task<std::optional<std::string>>(TimePoint)> readBody;
    /** Aborts the exchange at once; a pending operation fails. */
    std::function<void()> abort;
    /** Whether the connection has carried other requests before. */
    bool isReused = false;
};

/** @brief Lists which idle connections may be reused for a request. */
enum class ConnectionReuse {
    /** Any idle connection, even if the endpoint may have closed it in the meantime. */
    AnyIdle,
    /** Only a connection that was idle for so short a time that the endpoint cannot have closed it yet. */
    RecentlyUsed,
    /** None: a new connection is opened. */
    None,
};

/** @brief Connects to an endpoint without sending any bytes of a request; throws EndpointError on failure. */
using SessionFactory = std::function<Task<std::shared_ptr<EndpointSession>>(const GatewayEndpoint&, ConnectionReuse)>;

/** @brief Connects to another host, which serves requests in place of this one; throws EndpointError on failure. */
using HostSessionFactory = std::function<Task<std::shared_ptr<EndpointSession>>(const SocketAddress&)>;

} // namespace berylwing
