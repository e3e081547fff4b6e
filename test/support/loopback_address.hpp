#pragma once

#include <string>

namespace berylwing::test {

/**
 * @brief Returns a loopback address that belongs to this process alone, because test cases run in parallel processes.
 *
 * Listeners on it choose ports below those that the system gives to outgoing connections.
 *
 * @return Address that is the same for each call of a process.
 */
[[nodiscard]] std::string loopbackAddressOfProcess();

} // namespace berylwing::test
