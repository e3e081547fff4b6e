#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/telemetry/log.hpp"
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief Names of the log levels in settings. */
inline constexpr EnumNames<LogLevel, 4> kLogLevelNames { {
    "debug",
    "info",
    "warn",
    "error",
} };

/** @brief Address and port of a listener or a peer. */
struct SocketAddress {
    std::string address;
    std::uint16_t port = 0;
};

/**
 * @brief Parses an address and a port.
 * @param text Text, as 10.0.0.1:80.
 * @return Address and port, or nothing if the text is not allowed.
 */
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/** @brief Keys with which the daemons of one fleet recognise each other, in the Z85 form of CURVE keys. */
struct FleetKeys {
    std::string serverPublic;
    std::string serverSecret;
    std::string clientPublic;
    std::string clientSecret;
};

/** @brief Another daemon that is asked for configuration while the platform cannot be reached. */
struct SeedHost {
    std::string host;
    SocketAddress link;
};

/** @brief Settings of one daemon. */
struct Settings {
    std::string host;
    std::string domain;
    SocketAddress callers;
    SocketAddress link;
    SocketAddress metrics;
    SocketAddress platform;
    FleetKeys keys;
    std::vector<SeedHost> seeds;
    LogLevel logLevel = LogLevel::Info;
    double loadMultiple = 1.25;
    Duration drainTimeout {};
    std::int64_t maxBodyBytes = 0;
    Duration senderTimeout {};
};

/**
 * @brief Reads and checks a settings file as a whole.
 * @param text Document, JSON with comments.
 * @param path Name of the file, for the findings.
 * @return Settings.
 * @throws ConfigurationError With all faults of the document.
 */
[[nodiscard]] Settings readSettings(std::string_view text, std::string_view path);

} // namespace berylwing
