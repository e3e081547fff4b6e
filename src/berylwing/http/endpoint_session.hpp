#pragma once

#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/gateway/protocol.hpp"

namespace berylwing {

/**
 * @brief Makes the function that opens sessions with endpoints over HTTP on connections that are kept open.
 * @param clock Clock of the host.
 * @param protocol Names of the platform.
 * @return Function for a forwarder.
 */
[[nodiscard]] SessionFactory makeSessionFactory(Clock& clock, const GatewayProtocol& protocol);

} // namespace berylwing
