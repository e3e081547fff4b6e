#pragma once

namespace berylwing {

/**
 * @brief Blocks the signals that the daemon handles, so that they wait until the handlers are installed.
 *
 * By default they would end the process, which would neither stop gracefully nor exit with code 0.
 */
void blockHandledSignals();

/** @brief Delivers the signals that have arrived since they were blocked; the handlers must be installed. */
void unblockHandledSignals();

} // namespace berylwing
