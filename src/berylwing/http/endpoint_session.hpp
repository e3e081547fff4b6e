#pragma once

#include "berylwing/gateway/endpoint_session.hpp"
#include "berylwing/gateway/protocol.hpp"

namespace berylwing {

/**
 * @brief Creates the function that opens sessions with endpoints over pooled HTTP connections.
 * @param clock Clock of the host.
 * @param protocol Platform-specific header names.
 * @return Factory for a Forwarder.
 */
[[nodiscard]] SessionFactory makeSessionFactory(Clock& clock, const GatewayProtocol& protocol);

/**
 * @brief Creates the function that opens sessions with other hosts over pooled HTTP connections.
 * @param clock Clock of the host.
 * @param protocol Platform-specific header names.
 * @param ownAddress Address of this host, by which the others know it.
 * @return Factory for a Forwarder.
 */
[[nodiscard]] HostSessionFactory makeHostSessionFactory(
    Clock& clock, const GatewayProtocol& protocol, std::string ownAddress);

} // namespace berylwing
