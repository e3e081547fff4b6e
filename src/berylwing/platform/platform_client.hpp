#pragma once

#include "berylwing/config/catalog.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/platform/messages.hpp"
#include "berylwing/platform/platform_error.hpp"
#include <functional>
#include <optional>
#include <vector>

namespace berylwing {

class Metrics;

/** @brief Changes reported by a watch. */
struct WatchBatch {
    std::vector<VersionedObject> changes;
    std::uint64_t through = 0;
};

/** @brief Typed operations of the platform's object API. */
class PlatformClient {
    [[nodiscard]] Task<PlatformReply> call(PlatformCall call);

public:
    /** @brief Function that carries one call to the platform; it throws PlatformError. */
    using Exchange = std::function<Task<PlatformReply>(const PlatformCall&)>;

    /**
     * @brief Creates a client.
     * @param carry Function that carries a call.
     * @param hostMetrics Metrics of the host.
     */
    PlatformClient(Exchange carry, Metrics& hostMetrics);

    /**
     * @brief Reads an object.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @return The object, or nothing if it does not exist.
     * @throws PlatformError If the platform does not answer.
     */
    [[nodiscard]] Task<std::optional<StoredObject>> get(ObjectKind kind, std::string name);

    /**
     * @brief Writes an object if it has the expected version.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param value New document.
     * @param expectedVersion Version to replace; zero to create the object.
     * @return Version of the written object.
     * @throws PlatformError With Conflict if the version has moved.
     */
    [[nodiscard]] Task<std::uint64_t> put(
        ObjectKind kind, std::string name, const nlohmann::json& value, std::uint64_t expectedVersion);

    /**
     * @brief Removes an object if it has the expected version.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param expectedVersion Version to remove.
     * @return Revision of the removal.
     * @throws PlatformError With Conflict if the version has moved.
     */
    [[nodiscard]] Task<std::uint64_t> remove(ObjectKind kind, std::string name, std::uint64_t expectedVersion);

    /**
     * @brief Waits for changes of configuration objects.
     * @param after Revision after which changes are reported; zero lists all objects.
     * @param wait Longest time to wait in milliseconds.
     * @return Changes in the order of their revisions; none if the time was over.
     * @throws PlatformError If the platform does not answer.
     */
    [[nodiscard]] Task<WatchBatch> watch(std::uint64_t after, Duration wait);

    /**
     * @brief Reads the list of hosts, which lags behind.
     * @return Live and leaving hosts.
     * @throws PlatformError If the platform does not answer.
     */
    [[nodiscard]] Task<std::vector<HostListing>> hosts();

private:
    Exchange exchange;
    Metrics& metrics;
};

} // namespace berylwing
