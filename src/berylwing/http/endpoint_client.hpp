#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/routing/endpoint_connection.hpp"

namespace berylwing {

/**
 * @brief Makes the functions that reach endpoints over HTTP.
 * @param clock Clock of the host.
 * @return Access for an EndpointRegistry and an AttemptServer.
 */
[[nodiscard]] EndpointAccess makeEndpointAccess(Clock& clock);

} // namespace berylwing
