#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/routing/endpoint_connection.hpp"

namespace berylwing {

/**
 * @brief Creates the functions that connect to endpoints and probe them over HTTP.
 * @param clock Clock of the host.
 * @return Functions for an EndpointRegistry and an AttemptServer.
 */
[[nodiscard]] EndpointAccess makeEndpointAccess(Clock& clock);

} // namespace berylwing
