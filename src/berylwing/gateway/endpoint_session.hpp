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

/** @brief Request as it is sent to an endpoint. */
struct EndpointRequest {
    std::string method;
    std::string target;
    HeaderFields fields;
    const std::string& body;
    /** Attempt that the answer has to name. */
    std::string attemptId;
};

/**
 * @brief Connection to an endpoint that carries one request.
 *
 * Each function throws EndpointError. After readBody() gave no more bytes the answer is whole.
 */
struct EndpointSession {
    /** Sends the request. */
    std::function<Task<void>(const EndpointRequest&)> send;
    /** Reads the head of the answer until a deadline. */
    std::function<Task<AnswerHead>(TimePoint)> readHead;
    /** Reads the next bytes of the body until a deadline; nothing after the whole body. */
    std::function<Task<std::optional<std::string>>(TimePoint)> readBody;
    /** Ends the call at once; a pending operation fails. */
    std::function<void()> abort;
};

/** @brief Which connections may carry a request. */
enum class ConnectionUse {
    /** Any idle one; the endpoint's end may already be closed. */
    AnyIdle,
    /** One that was used so lately that the endpoint surely has not closed it. */
    SurelyOpen,
    /** A new one. */
    Fresh,
};

/** @brief Function that opens a session on which no byte has been sent yet; it throws EndpointError. */
using OpenSession = std::function<Task<std::shared_ptr<EndpointSession>>(const GatewayEndpoint&, ConnectionUse)>;

} // namespace berylwing
