#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/endpoint_directory.hpp"
#include <cstdint>
#include <map>
#include <string>

namespace berylwing {

/**
 * @brief What the other hosts have told about their requests.
 *
 * A digest is a whole picture, so that lost, doubled and overtaken ones do no harm.
 */
class FleetView {
    struct PeerDigest {
        wire::Digest digest;
        TimePoint receivedAt {};
    };

    void recount();

public:
    /**
     * @brief Creates a view without peers.
     * @param hostClock Clock of the host.
     * @param endpointDirectory Endpoints, whose loads from other hosts are kept up to date.
     * @param ownName Name of this host.
     * @param ownIncarnation Start of this process in milliseconds since 1970.
     */
    FleetView(const Clock& hostClock, EndpointDirectory& endpointDirectory, std::string ownName,
        std::uint64_t ownIncarnation);

    /**
     * @brief Takes a digest of another host unless a newer one is known.
     * @param digest Digest.
     * @return True if the host is new or has started again.
     */
    bool take(wire::Digest digest);

    /** @brief Describes this host's requests. @return Digest. */
    [[nodiscard]] wire::Digest describe();

    /** @brief Forgets hosts that have been silent for too long. */
    void dropSilent();

private:
    const Clock& clock;
    EndpointDirectory& directory;
    std::string name;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    std::map<std::string, PeerDigest, std::less<>> peers;
};

} // namespace berylwing
