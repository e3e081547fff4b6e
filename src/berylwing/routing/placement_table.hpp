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

/** @brief Engine at which a chat runs. */
struct Placement {
    std::string chat;
    std::string endpoint;
};

/**
 * @brief Bounded table of chats and the engines at which they run.
 *
 * When it is full, the least recently used entry is dropped. Chats whose hashes collide share one entry; the last one
 * wins, and the other one is not found.
 */
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
     * @param capacity Maximum number of chats.
     * @param retention Time after which an unused entry expires.
     */
    PlacementTable(std::size_t capacity, Duration retention);

    ~PlacementTable();
    PlacementTable(const PlacementTable&) = delete;
    PlacementTable& operator=(const PlacementTable&) = delete;

    /** @brief Returns the number of entries. @return Chats. */
    [[nodiscard]] std::size_t size() const noexcept { return this->entriesByHash.size(); }

    /** @brief Returns all entries. @return Placements, the most recently used first. */
    [[nodiscard]] std::vector<Placement> all() const;

    /** @brief Finds the endpoint of a chat. @param chat Chat. @param now Current time. @return Endpoint, if known. */
    [[nodiscard]] std::optional<std::string> lookUp(std::string_view chat, TimePoint now);

    /** @brief Inserts or replaces an entry. @param placement Chat and endpoint. @param now Current time. */
    void insert(const Placement& placement, TimePoint now);

    /** @brief Removes all entries. */
    void clear();

private:
    std::size_t capacity;
    Duration retention;
    Entries entriesByRecency;
    std::unordered_map<std::uint64_t, std::unique_ptr<Entry>> entriesByHash;
};

} // namespace berylwing
