#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/routing/endpoint_connection.hpp"

namespace berylwing {

/**
 * @brief Requests the load report of an engine, or the health check of a service, on a new connection.
 * @param clock Clock of the host.
 * @param endpoint Endpoint.
 * @param deadline Time after which the probe fails.
 * @return Load report; for a service it holds only the boot id and whether the endpoint is healthy.
 * @throws EndpointError If there is no valid response.
 */
[[nodiscard]] Task<LoadReport> probeEndpoint(const Clock& clock, EndpointObject endpoint, TimePoint deadline);

} // namespace berylwing
