#pragma once

#include "berylwing/core/clock.hpp"
#include <boost/intrusive/list.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/** @brief Chat that runs elsewhere than at its first-ranked engine. */
struct Placement {
    std::string chat;
    std::string endpoint;
};

/** @brief Remembers, in bounded space, the chats that were placed elsewhere than at one first-ranked engine. */
class PlacementTable {
    struct Entry : boost::intrusive::list_base_hook<> {
        std::uint64_t chatHash = 0;
        Placement placement;
        TimePoint usedAt;
    };

    using Entries = boost::intrusive::list<Entry>;

    [[nodiscard]] Entry* find(std::string_view chat);
    void erase(Entry& entry);

public:
    /**
     * @brief Creates an empty table.
     * @param capacity Most chats that are remembered.
     * @param retention Time in milliseconds after which an unused placement is forgotten.
     */
    PlacementTable(std::size_t capacity, Duration retention);

    ~PlacementTable();
    PlacementTable(const PlacementTable&) = delete;
    PlacementTable& operator=(const PlacementTable&) = delete;

    /** @brief Counts the placements. @return Number of remembered chats. */
    [[nodiscard]] std::size_t size() const noexcept { return this->entriesByHash.size(); }

    /** @brief Lists all placements. @return Placements, the most recently used first. */
    [[nodiscard]] std::vector<Placement> all() const;

    /** @brief Finds the place of a chat. @param chat Chat. @param now Current time. @return Endpoint, or nothing. */
    [[nodiscard]] std::optional<std::string> lookUp(std::string_view chat, TimePoint now);

    /** @brief Remembers a place. @param placement Chat and endpoint. @param now Current time. */
    void insert(const Placement& placement, TimePoint now);

    /** @brief Forgets all places. */
    void clear();

private:
    std::size_t capacity;
    Duration retention;
    Entries entriesByRecency;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> entriesByHash;
};

} // namespace berylwing
