#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

namespace berylwing {

/**
 * @brief Which endpoints have lately read which shared prompts, by the requests of all hosts.
 *
 * A prompt that an endpoint holds need not be read again there, so that an endpoint that joins takes no prompts from
 * those that still serve them.
 */
class PromptHolders {
    struct Holder {
        std::uint64_t endpoint = 0;
        TimePoint usedAt {};
        TimePoint announcedAt {};
        /** Last use by this host. */
        TimePoint usedHereAt {};
    };

    struct Announcement {
        std::uint64_t prompt = 0;
        std::uint64_t endpoint = 0;
        TimePoint since {};
    };

    Holder& find(std::uint64_t prompt, std::uint64_t endpoint);

public:
    /** @brief Creates an empty register. @param hostClock Clock of the host. */
    explicit PromptHolders(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Takes note that this host sends a prompt to an endpoint. @param prompt Prompt. @param endpoint Endpoint.
     */
    void recordUse(std::uint64_t prompt, std::uint64_t endpoint);

    /** @brief Announces again what this host has used lately, for a host that has just started. */
    void announceAll();

    /** @brief Takes what another host has announced. @param digest Digest. */
    void take(const wire::Digest& digest);

    /** @brief Adds this host's announcements. @param digest Digest to be sent. */
    void describe(wire::Digest& digest);

    /** @brief Forgets prompts that were not asked for lately. */
    void dropOld();

    /**
     * @brief Tells whether an endpoint holds a prompt.
     * @param prompt Hash of the prompt.
     * @param endpoint Hash of the endpoint's id.
     * @return True if it has read the prompt lately.
     */
    [[nodiscard]] bool holds(std::uint64_t prompt, std::uint64_t endpoint) const;

private:
    const Clock& clock;
    std::unordered_map<std::uint64_t, std::vector<Holder>> holders;
    std::deque<Announcement> announcements;
    TimePoint lastDropAt {};
};

} // namespace berylwing
