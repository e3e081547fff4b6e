#pragma once

#include "berylwing/config/settings.hpp"

namespace berylwing {

/**
 * @brief Runs a host until SIGTERM or SIGINT, after which it stops gracefully.
 * @param settings Settings.
 * @return Exit code of the process.
 * @throws std::exception If a listener cannot be opened.
 */
[[nodiscard]] int runDaemon(const Settings& settings);

} // namespace berylwing
