#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/announcement_queue.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/**
 * @brief Quarantines requests that crash endpoints.
 *
 * A request that crashes every endpoint that executes it would take down the whole service, since callers and hosts
 * retry it. The register counts the endpoints whose connection broke during a request; a request that broke at several
 * endpoints is refused for a while. Hosts share what they have observed, because retries may arrive at any host.
 *
 * A response clears a request. This spares requests that were only in flight while another request crashed the
 * endpoint, and requests at endpoints that reset some of their connections.
 */
class CrashQuarantine {
    struct CrashRecord {
        /** Hashes of the endpoints at which the request broke. */
        std::vector<std::uint32_t> endpoints;
        TimePoint lastCrashAt {};
    };

    /** Adds a crash. @return False if it was known already or the register is full. */
    bool addCrash(std::uint64_t fingerprint, std::uint32_t endpoint);

public:
    /** @brief Creates an empty register. @param hostClock Clock of the host. */
    explicit CrashQuarantine(const Clock& hostClock)
        : clock { hostClock }
        , announcements { hostClock }
    {
    }

    /**
     * @brief Computes a fingerprint by which retries of a request are recognized, whichever attempt id they have.
     * @param workspace Workspace of the caller.
     * @param target Path and query.
     * @param body Body.
     * @return Fingerprint.
     */
    [[nodiscard]] static std::uint64_t fingerprintOf(
        std::string_view workspace, std::string_view target, std::string_view body);

    /** @brief Checks if no crash is recorded, so that callers can skip the fingerprint. @return True if so. */
    [[nodiscard]] bool isEmpty() const noexcept { return this->records.empty(); }

    /**
     * @brief Records that the connection to an endpoint broke during a request.
     * @param fingerprint Fingerprint of the request.
     * @param endpoint Hash of the endpoint's id.
     */
    void recordCrash(std::uint64_t fingerprint, std::uint32_t endpoint);

    /** @brief Clears a request that was answered. @param fingerprint Fingerprint of the request. */
    void clear(std::uint64_t fingerprint) { this->records.erase(fingerprint); }

    /** @brief Checks if a request is to be refused. @param fingerprint Fingerprint. @return True if it is. */
    [[nodiscard]] bool isQuarantined(std::uint64_t fingerprint) const;

    /**
     * @brief Merges the crashes that another host has observed.
     * @param crashes Field of the received message.
     * @return Crashes that were not known before.
     */
    std::vector<EndpointNote> merge(const wire::EndpointNotes& crashes);

    /** @brief Appends the crashes that this host has recently recorded to a message. @param crashes Its field. */
    void appendTo(wire::EndpointNotes& crashes) { this->announcements.appendTo(crashes); }

    /** @brief Removes requests without a recent crash. */
    void removeExpired();

private:
    const Clock& clock;
    std::unordered_map<std::uint64_t, CrashRecord> records;
    AnnouncementQueue announcements;
};

} // namespace berylwing
