#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event_rate.hpp"
#include "berylwing/gateway/announcement_queue.hpp"
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace berylwing {

/**
 * @brief Tracks which endpoints have which shared prompts in their KV cache.
 *
 * The state is inferred from the requests of all hosts, which announce them to each other. An endpoint does not have
 * to process a cached prompt again; so prompts stay at the endpoints that cache them when further endpoints join.
 */
class PromptCacheIndex {
    struct CacheEntry {
        /** Hash of the endpoint's id. */
        std::uint32_t endpoint = 0;
        /** Last known use by any host. */
        TimePoint usedAt {};
        /** Last announcement by any host. */
        TimePoint announcedAt {};
        /** Last use by this host. */
        TimePoint usedLocallyAt {};
    };

    /** Averaging time of the rate of a prompt's uses, in which a host sends a popular prompt several times. */
    static constexpr Duration kUseAveragingTime { 1000 };

    struct Prompt {
        std::vector<CacheEntry> entries;
        EventRate ownUses { kUseAveragingTime };
    };

    /** Finds or adds the entry of a use. @return Entry; a null pointer if it is new and the limit is reached. */
    CacheEntry* findOrAdd(const EndpointNote& use);

public:
    /** @brief Creates an empty index. @param hostClock Clock of the host. */
    explicit PromptCacheIndex(const Clock& hostClock)
        : clock { hostClock }
        , announcements { hostClock }
    {
    }

    /** @brief Records that this host sends a prompt to an endpoint. @param use Prompt and endpoint. */
    void recordUse(const EndpointNote& use);

    /** @brief Repeats the announcements of this host's recent uses, for a host that has just started. */
    void repeatAnnouncements();

    /**
     * @brief Merges the uses that another host has announced.
     * @param uses Field of the received message.
     * @return Uses for which no recent announcement was known.
     */
    std::vector<EndpointNote> merge(const wire::EndpointNotes& uses);

    /** @brief Appends this host's pending announcements to a message. @param uses Field of the message. */
    void appendTo(wire::EndpointNotes& uses) { this->announcements.appendTo(uses); }

    /** @brief Removes prompts that were not used recently. */
    void removeExpired();

    /**
     * @brief Checks if an endpoint has a prompt in its cache.
     * @param prompt Hash of the prompt's id.
     * @param endpoint Hash of the endpoint's id.
     * @return True if the endpoint has received the prompt recently.
     */
    [[nodiscard]] bool isCached(std::uint64_t prompt, std::uint32_t endpoint) const;

    /** @brief Returns how often this host sends a prompt. @param prompt Hash of the prompt's id. @return Rate. */
    [[nodiscard]] EventRate ownUseRate(std::uint64_t prompt) const;

private:
    const Clock& clock;
    std::unordered_map<std::uint64_t, Prompt> prompts;
    AnnouncementQueue announcements;
    TimePoint lastRemovalAt {};
};

} // namespace berylwing
