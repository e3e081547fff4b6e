#pragma once

#include "berylwing/gateway/gateway_settings.hpp"
#include <functional>

namespace berylwing {

/**
 * @brief Runs a gateway, which forwards callers' requests directly to the endpoints, until SIGTERM or SIGINT.
 * @param settings Settings.
 * @param reload Reads the settings file again on SIGHUP; may throw, and then the current settings stay in force.
 * @return Exit code of the process.
 * @throws std::exception If a listener cannot be opened.
 */
[[nodiscard]] int runGatewayDaemon(const GatewaySettings& settings, const std::function<GatewaySettings()>& reload);

} // namespace berylwing
