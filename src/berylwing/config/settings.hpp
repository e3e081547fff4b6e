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

/** @brief Names of the log levels in settings files and flags. */
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

    /** @brief Compares two addresses. @return True if they are equal. */
    [[nodiscard]] bool operator==(const SocketAddress&) const = default;

    /** @brief Formats the address. @return Text such as 10.0.0.1:80. */
    [[nodiscard]] std::string toText() const { return this->address + ":" + std::to_string(this->port); }
};

/**
 * @brief Parses an address and a port.
 * @param text Text such as 10.0.0.1:80.
 * @return Address and port, or an empty optional if the text is invalid.
 */
[[nodiscard]] std::optional<SocketAddress> parseSocketAddress(std::string_view text);

/** @brief CURVE key pairs, in Z85 encoding, with which the daemons of one fleet authenticate each other. */
struct FleetKeys {
    std::string serverPublic;
    std::string serverSecret;
    std::string clientPublic;
    std::string clientSecret;
};

/** @brief Another daemon that provides the configuration while the platform is unreachable. */
struct SeedHost {
    std::string host;
    SocketAddress link;
};

/** @brief Settings of one daemon. */
struct Settings {
    std::string host;
    std::string domain;
    /** Listener for callers' requests. */
    SocketAddress callers;
    /** Listener for messages of other hosts. */
    SocketAddress link;
    /** Listener for metrics and status. */
    SocketAddress metrics;
    /** Server of the platform's object API. */
    SocketAddress platform;
    FleetKeys keys;
    std::vector<SeedHost> seeds;
    LogLevel logLevel = LogLevel::Info;
    double loadMultiple = 1.25;
    /** Longest time to wait for running requests on a graceful stop. */
    Duration drainTimeout {};
    std::int64_t maxBodyBytes = 0;
    /** Longest time that a caller may take to send its request. */
    Duration senderTimeout {};
};

/**
 * @brief Parses and validates a settings file.
 * @param text Document, JSON with comments.
 * @param path File name, for the findings.
 * @return Settings.
 * @throws ConfigurationError With all validation errors of the file.
 */
[[nodiscard]] Settings readSettings(std::string_view text, std::string_view path);

} // namespace berylwing
