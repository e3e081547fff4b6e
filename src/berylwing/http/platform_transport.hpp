#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/store/platform_client.hpp"

namespace berylwing {

/**
 * @brief Makes the function that carries calls to the platform's object API over HTTP.
 * @param address Address and port of the platform.
 * @return Function for a PlatformClient.
 */
[[nodiscard]] PlatformClient::Transport makePlatformTransport(SocketAddress address);

} // namespace berylwing
