#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/gateway/fleet_retry_budget.hpp"
#include "berylwing/memory/host_capacity.hpp"
#include "berylwing/rollout/limits.hpp"
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Deadlines by which changes made by operators and endpoints must be in force at all hosts. */
struct ChangeDeadlines {
    /** A new routing plan. */
    Duration plan { 2000 };
    /** The end of the use of a leaving endpoint. */
    Duration endpoint { 2000 };
    /** The end of the use of a withdrawn failure domain. */
    Duration domain { 5000 };
};

/** @brief Settings of a gateway host. */
struct GatewaySettings {
    std::string host;
    std::string domain;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress metrics;
    SocketAddress platform;
    /** Listening address for the digests of other hosts. */
    SocketAddress digests;
    LogLevel logLevel = LogLevel::Info;
    /** Time for which a confirmed plan is trusted to contain no revoked API key. */
    Duration planLease {};
    /** Time from the stop signal to the end of the process. */
    Duration stopGrace {};
    FleetRetryLimits retries;
    /** Whether requests are refused while a service has too little room. */
    bool isAdmissionEnabled = true;
    /** Whether another host serves the requests whose endpoints this one does not reach. */
    bool isRelayEnabled = true;
    /** Regions of the failure domains; requests are passed on inside a region only. */
    std::map<std::string, std::string, std::less<>> regions;
    ChangeDeadlines changeDeadlines;
    /** What callers' connections may take of the process; changes take effect at the next start. */
    HostCapacity capacity;
    /** Bounds of roll-outs; nothing if the deployment has none, so that hosts do not follow their orders. */
    std::optional<RolloutLimits> rollouts;
};

/**
 * @brief Parses and validates a settings file.
 * @param text JSON document; comments are allowed.
 * @param fileName File name for error messages.
 * @return Settings.
 * @throws ConfigurationError With all errors in the document.
 */
[[nodiscard]] GatewaySettings readGatewaySettings(std::string_view text, std::string_view fileName);

} // namespace berylwing
