#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/host_roster.hpp"
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace berylwing {

/** @brief What is known of the software version of the endpoint that began a stream. */
struct StreamVersion {
    /** Hash of the version, as GatewayEndpoint::versionHash; zero if it cannot be told which version began it. */
    std::uint32_t hash = 0;
    /** Time until which the stream can be open. */
    TimePoint expiresAt {};
};

/**
 * @brief Software versions that began the open streams.
 *
 * A stream may only go on at an endpoint of the version that began it, and its caller may return to any other host. A
 * host therefore reports each stream that it began to two other hosts, its keepers. The rendezvous order of the stream
 * determines them, so that any host knows whom to ask; they are in different failure domains if there are several. The
 * cost of a stream does not depend on the size of the fleet.
 */
class StreamVersionIndex {
public:
    /** @brief Sends a message to another host; best effort. */
    using Sender = std::function<void(const HostEntry&, const wire::FleetMessage&)>;

    /**
     * @brief Creates an empty index.
     * @param hostClock Clock of the host.
     * @param hostRoster Hosts of the fleet.
     * @param sender Sends a message to another host.
     */
    StreamVersionIndex(Clock& hostClock, const HostRoster& hostRoster, Sender sender);

    /**
     * @brief Records the version that began a stream, or that it went on at the same one; two versions contradict each
     * other, and the stream then counts as one of an unknown version.
     * @param stream Hash of the attempt that brought the first event.
     * @param version Version and the latest end of the stream.
     */
    void record(std::uint64_t stream, StreamVersion version);

    /** @brief Returns what this host itself knows of a stream. @param stream Stream. @return Version, if any. */
    [[nodiscard]] std::optional<std::uint32_t> find(std::uint64_t stream) const;

    /**
     * @brief Finds the version that began a stream, and asks its keepers if this host does not know it.
     * @param stream Stream.
     * @return Version; nothing if no host that answers in time knows it, zero if it cannot be told.
     */
    [[nodiscard]] Task<std::optional<std::uint32_t>> lookUp(std::uint64_t stream);

    /**
     * @brief Reports the recorded streams that are due to their keepers.
     * @param isShared Whether several versions are in service. Otherwise nothing is sent; the streams that are still
     * open are reported as soon as a second version comes.
     */
    void report(bool isShared);

    /** @brief Handles the reports, questions and answers of another host. @param sender Host. @param message Message.
     */
    void receive(const HostEntry& sender, const wire::FleetMessage& message);

    /** @brief Forgets streams that have ended. */
    void removeExpired();

private:
    Clock& clock;
    const HostRoster& roster;
    Sender send;
};

} // namespace berylwing
