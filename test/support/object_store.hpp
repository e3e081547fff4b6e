#pragma once

#include "berylwing/store/messages.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace berylwing::test {

/** @brief Objects of the platform's stand-in, in memory. */
class ObjectStore {
public:
    struct Entry {
        std::uint64_t version = 0;
        std::string body;
        bool removed = false;
    };

    /** @brief Carries out a call at once; a watch lists what changed after its revision. */
    PlatformReply apply(const PlatformCall& call);

    /** @brief Tells whether a watch after this revision has something to report. */
    [[nodiscard]] bool hasChangesAfter(std::uint64_t after) const;

    /** @brief Tells whether objects of a kind have changed after a revision. */
    [[nodiscard]] bool hasChangesAfter(ObjectKind kind, std::uint64_t after) const;

    /** @brief Reads the body of an object; empty if there is none. */
    [[nodiscard]] std::string body(ObjectKind kind, const std::string& name) const;

    /** @brief Writes an object whatever its version. */
    void write(ObjectKind kind, const std::string& name, const nlohmann::json& value);

    std::vector<HostListing> hosts;
    /** Oldest revision after which a watch of a kind may still ask. */
    std::uint64_t oldestRevision = 0;

    /** @brief Drops the history of all changes so far. */
    void dropHistory() { this->oldestRevision = this->revision; }

private:
    [[nodiscard]] PlatformReply put(const PlatformCall& call);
    [[nodiscard]] std::string changesAfter(std::uint64_t after) const;
    [[nodiscard]] WatchBatch objectsOf(ObjectKind kind, std::uint64_t after) const;

    std::map<std::pair<ObjectKind, std::string>, Entry> entries;
    std::uint64_t revision = 0;
    std::uint64_t configurationRevision = 0;
};

} // namespace berylwing::test
