#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/routing/endpoint_connection.hpp"

namespace berylwing {

/**
 * @brief Asks an endpoint for its load, or a plain service for a sign of life, on a connection of its own.
 * @param clock Clock of the host.
 * @param endpoint Endpoint.
 * @param deadline Time after which the probe is given up.
 * @return What the endpoint reports.
 * @throws EndpointError If there is no answer.
 */
[[nodiscard]] Task<LoadReport> probeEndpoint(const Clock& clock, EndpointObject endpoint, TimePoint deadline);

} // namespace berylwing
