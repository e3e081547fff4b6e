#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/store/platform_client.hpp"

namespace berylwing {

/**
 * @brief Creates the function that sends calls to the platform's object API over HTTP.
 * @param address Address and port of the platform.
 * @return Transport for a PlatformClient.
 */
[[nodiscard]] PlatformClient::Transport makePlatformTransport(SocketAddress address);

} // namespace berylwing
