#pragma once

#include "berylwing/config/settings.hpp"
#include "berylwing/gateway/retry_allowance.hpp"
#include <string_view>

namespace berylwing {

/** @brief Times after which what operators and endpoints have changed has to be in force at all hosts. */
struct ChangeBounds {
    Duration plan { 2000 };
    /** Use of an endpoint that leaves. */
    Duration endpoint { 2000 };
    /** Use of a failure domain that is withdrawn. */
    Duration domain { 5000 };
};

/** @brief Settings of a host that forwards callers' requests straight to the endpoints. */
struct GatewaySettings {
    std::string host;
    std::string domain;
    SocketAddress callers;
    SocketAddress readiness;
    SocketAddress metrics;
    SocketAddress platform;
    /** Where the digests of other hosts arrive. */
    SocketAddress digests;
    LogLevel logLevel = LogLevel::Info;
    /** Time for which a confirmed plan may be trusted to hold no key that was taken away. */
    Duration planLease {};
    /** Time between the signal to stop and the end of the process. */
    Duration stopGrace {};
    RetryBounds retries;
    ChangeBounds changes;
};

/**
 * @brief Reads and checks a settings file as a whole.
 * @param text Document, JSON with comments.
 * @param place Name of the file, for the findings.
 * @return Settings.
 * @throws ConfigurationError With all faults of the document.
 */
[[nodiscard]] GatewaySettings readGatewaySettings(std::string_view text, std::string_view place);

} // namespace berylwing
