#pragma once

#include "berylwing/gateway/gateway_settings.hpp"
#include <functional>

namespace berylwing {

/**
 * @brief Runs a host that forwards callers' requests straight to the endpoints, until SIGTERM or SIGINT.
 * @param settings Settings.
 * @param reload Reads the settings again; called on SIGHUP, throws ConfigurationError.
 * @return Exit code of the process.
 * @throws std::exception If a listener cannot be opened.
 */
[[nodiscard]] int runGatewayDaemon(const GatewaySettings& settings, const std::function<GatewaySettings()>& reload);

} // namespace berylwing
