#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/store/messages.hpp"
#include "berylwing/store/platform_error.hpp"
#include <functional>
#include <optional>
#include <vector>

namespace berylwing {

class Metrics;

/** @brief Typed client of the platform's object API. */
class PlatformClient {
    [[nodiscard]] Task<PlatformReply> call(PlatformCall call);

public:
    /** @brief Function that sends a call to the platform and returns the response; throws PlatformError. */
    using Transport = std::function<Task<PlatformReply>(const PlatformCall&)>;

    /**
     * @brief Creates a client.
     * @param callTransport Function that sends a call.
     * @param hostMetrics Metrics of the host.
     */
    PlatformClient(Transport callTransport, Metrics& hostMetrics);

    /**
     * @brief Reads an object.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param reason Reason of the call.
     * @return Object, or nothing if it does not exist.
     * @throws PlatformError If the platform does not respond.
     */
    [[nodiscard]] Task<std::optional<StoredObject>> get(
        ObjectKind kind, std::string name, PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Writes an object if it has the expected version.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param value New document.
     * @param expectedVersion Version to replace; zero to create the object.
     * @param reason Reason of the call.
     * @return Version of the written object.
     * @throws PlatformError With Conflict if the object has another version.
     */
    [[nodiscard]] Task<std::uint64_t> put(ObjectKind kind, std::string name, const nlohmann::json& value,
        std::uint64_t expectedVersion, PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Writes the part of an operator's object that this system keeps, if the object has the expected version.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param status New status.
     * @param expectedVersion Version of the object.
     * @return Version of the written object.
     * @throws PlatformError With Conflict if the object has another version or does not exist.
     */
    [[nodiscard]] Task<std::uint64_t> putStatus(
        ObjectKind kind, std::string name, const nlohmann::json& status, std::uint64_t expectedVersion);

    /**
     * @brief Removes an object if it has the expected version.
     * @param kind Kind of the object.
     * @param name Name of the object.
     * @param expectedVersion Version to remove.
     * @param reason Reason of the call.
     * @return Revision of the removal.
     * @throws PlatformError With Conflict if the object has another version.
     */
    [[nodiscard]] Task<std::uint64_t> remove(ObjectKind kind, std::string name, std::uint64_t expectedVersion,
        PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Waits for changes of configuration objects of all kinds.
     * @param after Revision after which changes are returned; zero lists all objects.
     * @param wait Maximum time to wait.
     * @return Changes in the order of their revisions; none after a timeout.
     * @throws PlatformError If the platform does not respond.
     */
    [[nodiscard]] Task<WatchBatch> watch(std::uint64_t after, Duration wait);

    /**
     * @brief Reads a page of the objects of a kind.
     * @param kind Kind of the objects.
     * @param afterName Name after which the page starts; empty for the first page.
     * @param allowStale Whether the page may be a few seconds old.
     * @param reason Reason of the call.
     * @return Objects in the order of their names.
     * @throws PlatformError If the platform does not respond.
     */
    [[nodiscard]] Task<WatchBatch> list(ObjectKind kind, std::string afterName, bool allowStale,
        PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Reads all objects of a kind, page by page.
     * @param kind Kind of the objects.
     * @param allowStale Whether the pages may be a few seconds old.
     * @param reason Reason of the calls.
     * @return Objects, complete up to the revision of the first page; a watch from there returns the later changes.
     * @throws PlatformError If the platform does not respond; with HistoryGone if it was restored between two pages.
     */
    [[nodiscard]] Task<WatchBatch> listAll(
        ObjectKind kind, bool allowStale, PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Waits for changes of the objects of a kind.
     * @param kind Kind of the objects.
     * @param after Revision after which changes are returned.
     * @param wait Maximum time to wait.
     * @param reason Reason of the call.
     * @return Changes in the order of their revisions, none after a timeout; the value of a removed object is null.
     * @throws PlatformError With HistoryGone if the platform has dropped the changes after that revision.
     */
    [[nodiscard]] Task<WatchBatch> watchKind(
        ObjectKind kind, std::uint64_t after, Duration wait, PlatformCallReason reason = PlatformCallReason::Access);

    /**
     * @brief Reads the list of hosts, which is updated with a delay.
     * @return Live and leaving hosts.
     * @throws PlatformError If the platform does not respond.
     */
    [[nodiscard]] Task<std::vector<HostListing>> hosts();

private:
    Transport transport;
    Metrics& metrics;
};

} // namespace berylwing
