#pragma once

#include "berylwing/config/settings.hpp"

namespace berylwing {

/**
 * @brief Runs a daemon until it is told to stop by SIGTERM or SIGINT.
 * @param settings Settings.
 * @return Exit code of the process.
 * @throws std::exception If a listener cannot be opened.
 */
[[nodiscard]] int runDaemon(const Settings& settings);

} // namespace berylwing
