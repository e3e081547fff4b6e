#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/note_queue.hpp"
#include <cstdint>
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
        std::uint32_t endpoint = 0;
        TimePoint usedAt {};
        TimePoint announcedAt {};
        /** Last use by this host. */
        TimePoint usedHereAt {};
    };

    Holder* find(const EndpointNote& use);

public:
    /** @brief Creates an empty register. @param hostClock Clock of the host. */
    explicit PromptHolders(const Clock& hostClock)
        : clock { hostClock }
        , announcements { hostClock }
    {
    }

    /** @brief Takes note that this host sends a prompt to an endpoint. @param use Prompt and endpoint. */
    void recordUse(const EndpointNote& use);

    /** @brief Announces again what this host has used lately, for a host that has just started. */
    void announceAll();

    /**
     * @brief Takes what another host has announced.
     * @param uses Uses.
     * @return Uses that were not known to be announced before.
     */
    std::vector<EndpointNote> take(const wire::EndpointNotes& uses);

    /** @brief Adds this host's announcements. @param uses Part of the message to be sent. */
    void describe(wire::EndpointNotes& uses) { this->announcements.describe(uses); }

    /** @brief Forgets prompts that were not asked for lately. */
    void dropOld();

    /**
     * @brief Tells whether an endpoint holds a prompt.
     * @param prompt Hash of the prompt.
     * @param endpoint Hash of the endpoint's id.
     * @return True if it has read the prompt lately.
     */
    [[nodiscard]] bool holds(std::uint64_t prompt, std::uint32_t endpoint) const;

private:
    const Clock& clock;
    std::unordered_map<std::uint64_t, std::vector<Holder>> holders;
    NoteQueue announcements;
    TimePoint lastDropAt {};
};

} // namespace berylwing
