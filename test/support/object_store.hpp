#pragma once

#include "berylwing/store/messages.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace berylwing::test {

/** @brief In-memory object store with versions, revisions and watches, as the platform API defines them. */
class ObjectStore {
public:
    /** Object, or the mark of its removal. */
    struct Entry {
        std::uint64_t version = 0;
        std::string body;
        bool removed = false;
    };

    /** @brief Executes a call without delay. A watch returns the changes after its revision and does not wait. */
    PlatformReply apply(const PlatformCall& call);

    /** @brief Checks if any object except ledger objects has changed after a revision. */
    [[nodiscard]] bool hasChangesAfter(std::uint64_t after) const;

    /** @brief Checks if objects of a kind have changed after a revision. */
    [[nodiscard]] bool hasChangesAfter(ObjectKind kind, std::uint64_t after) const;

    /** @brief Returns the body of an object, or an empty string if there is none. */
    [[nodiscard]] std::string body(ObjectKind kind, const std::string& name) const;

    /** @brief Writes an object regardless of its version. */
    void write(ObjectKind kind, const std::string& name, const nlohmann::json& value);

    /** Hosts in the host list of the platform. */
    std::vector<HostListing> hosts;
    /** Oldest revision from which a watch of a kind can start; older ones fail with PlatformFault::HistoryGone. */
    std::uint64_t oldestRevision = 0;
    /** Number of times that the store was restored from a copy, from 1 on. */
    std::uint64_t era = 1;

    /**
     * @brief Restores the store from a copy: what was written since is gone, revisions are given out again, and the era
     * rises.
     * @param copy Earlier state of the store.
     */
    void restore(const ObjectStore& copy);

    /** @brief Compacts the history, so that watches from revisions before the current one fail. */
    void dropHistory() { this->oldestRevision = this->revision; }

private:
    [[nodiscard]] PlatformReply put(const PlatformCall& call);
    [[nodiscard]] std::string changesAfter(std::uint64_t after) const;
    [[nodiscard]] WatchBatch objectsOf(ObjectKind kind, std::uint64_t after) const;

    std::map<std::pair<ObjectKind, std::string>, Entry> entries;
    std::uint64_t revision = 0;
    /** Revision of the last change to an object that is no ledger object. */
    std::uint64_t configurationRevision = 0;
};

} // namespace berylwing::test
