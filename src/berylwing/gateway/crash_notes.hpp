#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include "berylwing/gateway/note_queue.hpp"
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/**
 * @brief Remembers at which endpoints a request broke off, and keeps those that broke at several from running.
 *
 * It answers requests that crash each endpoint that begins to run them and come again through any host. All hosts
 * tell each other what they have seen. An answer clears a request, so that one that only ran beside another one's
 * crash, or at an endpoint that resets some connections, goes on.
 */
class CrashNotes {
    struct Note {
        std::vector<std::uint32_t> endpoints;
        TimePoint lastAt {};
    };

    bool add(std::uint64_t fingerprint, std::uint32_t endpoint);

public:
    /** @brief Creates an empty register. @param hostClock Clock of the host. */
    explicit CrashNotes(const Clock& hostClock)
        : clock { hostClock }
        , announcements { hostClock }
    {
    }

    /**
     * @brief Computes what the resends of a request have in common.
     * @param workspace Workspace of its caller.
     * @param target Path and query.
     * @param body Body.
     * @return Fingerprint.
     */
    [[nodiscard]] static std::uint64_t fingerprintOf(
        std::string_view workspace, std::string_view target, std::string_view body);

    /** @brief Tells whether no request is noted, so that no fingerprint needs to be computed. @return True if so. */
    [[nodiscard]] bool isEmpty() const noexcept { return this->notes.empty(); }

    /** @brief Takes note that a request broke off. @param fingerprint Request. @param endpoint Hash of the endpoint. */
    void record(std::uint64_t fingerprint, std::uint32_t endpoint);

    /** @brief Takes note that a request was answered. @param fingerprint Request. */
    void clear(std::uint64_t fingerprint) { this->notes.erase(fingerprint); }

    /** @brief Tells whether a request may not run. @param fingerprint Request. @return True if it broke too often. */
    [[nodiscard]] bool isQuarantined(std::uint64_t fingerprint) const;

    /**
     * @brief Takes what another host has noted.
     * @param crashes Requests and endpoints.
     * @return Those that were not known before.
     */
    std::vector<EndpointNote> take(const wire::EndpointNotes& crashes);

    /** @brief Adds what this host has noted lately. @param crashes Part of the message to be sent. */
    void describe(wire::EndpointNotes& crashes) { this->announcements.describe(crashes); }

    /** @brief Forgets requests that did not break lately. */
    void dropOld();

private:
    const Clock& clock;
    std::unordered_map<std::uint64_t, Note> notes;
    NoteQueue announcements;
};

} // namespace berylwing
