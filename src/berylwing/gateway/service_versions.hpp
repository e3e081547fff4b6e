#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/endpoint_directory.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Functions by which the history of versions learns of its host. */
struct ServiceVersionsHooks {
    /** Returns the longest time for which a stream of a service can be open; zero if its streams cannot be resumed. */
    std::function<Duration(std::string_view service)> streamLifetime;
    /** Checks if this host knows all recent changes of the endpoints. */
    std::function<bool()> isCurrent;
    /** Checks if this host writes to the store for its group. */
    std::function<bool()> isWriter;
};

/**
 * @brief Software versions whose endpoints can have begun the streams of a service that are still open.
 *
 * If there is only one, any stream may go on, whoever began it. Hosts see the entries of endpoints come and go; what
 * was in service before a host started stands in the platform's store while a service has several versions.
 */
class ServiceVersions {
public:
    /**
     * @brief Creates an empty history.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints.
     * @param storeClient Client of the store.
     * @param versionHooks Functions of the host.
     * @param decisionLog Log of the host.
     */
    ServiceVersions(Clock& hostClock, const EndpointDirectory& endpointDirectory, PlatformClient& storeClient,
        ServiceVersionsHooks versionHooks, DecisionLog& decisionLog);

    /** @brief Takes note of the versions that are in service now, and writes changes to the store; called regularly. */
    void update();

    /** @brief Takes note that the store was restored from a copy, which may lack what was written. */
    void recordRestore();

    /** @brief Checks if any service had several versions of late. @return True while streams of either can be open. */
    [[nodiscard]] bool isAnyMixed() const;

    /**
     * @brief Finds the version that must have begun each stream of a service that is still open.
     * @param service Service.
     * @return Hash of the version, as GatewayEndpoint::versionHash; nothing if there can be several, or if this host
     * cannot know.
     */
    [[nodiscard]] Task<std::optional<std::uint32_t>> findOnlyVersion(std::string service);

private:
    Clock& clock;
    const EndpointDirectory& directory;
    PlatformClient& client;
    ServiceVersionsHooks hooks;
    DecisionLog& log;
};

} // namespace berylwing
