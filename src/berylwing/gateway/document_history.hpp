#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/digest.pb.h"
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace berylwing {

/** @brief Size from which on digests do not repeat a document as a whole. */
inline constexpr std::size_t kMaxNewsDocumentBytes = 1000;

/** @brief Document that resulted from the difference that another host has sent. */
struct PatchedDocument {
    std::string name;
    std::string text;
    /** Revision up to which the sender knew all changes when it learned of the last one of the document. */
    std::uint64_t through = 0;
    std::uint64_t version = 0;
};

/**
 * @brief Keeps the large documents of a kind and the differences between their last versions.
 *
 * The differences form a chain: each applies to the objects as the one before it has left them. A change that has no
 * difference, such as that of a small document, begins a new chain.
 */
class DocumentHistory {
    struct Change {
        wire::StorePatch patch;
        TimePoint at {};
    };

    void add(wire::StorePatch patch);
    void prune();
    /** Returns the first change of the chain that applies to objects of a fingerprint. */
    [[nodiscard]] std::deque<Change>::const_iterator findFirst(std::uint64_t fingerprint) const;

public:
    /** @brief Creates an empty history. @param hostClock Clock of the host. */
    explicit DocumentHistory(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /** @brief Forgets all documents and differences. */
    void clear();

    /** @brief Takes note of a listed document. @param name Object. @param text Document. */
    void recordListed(const std::string& name, const std::string& text);

    /**
     * @brief Takes note of a document that replaces the former one of its object.
     * @param change Name, revision and version of the change; `value` is the document, empty if it was removed.
     * @param formerFingerprint Fingerprint of all objects before the change.
     */
    void recordChange(const wire::StoreChange& change, std::uint64_t formerFingerprint);

    /** @brief Adds the last differences that fit into a digest. @param news News of the kind. */
    void appendRecent(wire::StoreNews& news);

    /**
     * @brief Adds the differences from a state of the objects on.
     * @param news News of the kind.
     * @param fingerprint Fingerprint of the objects.
     * @return False if the chain does not contain that state, or ends with it.
     */
    [[nodiscard]] bool appendFrom(wire::StoreNews& news, std::uint64_t fingerprint);

    /**
     * @brief Applies the differences that follow a state of the objects.
     * @param news News of another host.
     * @param fingerprint Fingerprint of the objects that are known here.
     * @return Resulting documents; nothing if the differences do not lead on from that state.
     */
    [[nodiscard]] std::optional<std::vector<PatchedDocument>> apply(
        const wire::StoreNews& news, std::uint64_t fingerprint);

private:
    const Clock& clock;
    /** Large documents by name. */
    std::unordered_map<std::string, std::string> documents;
    std::deque<Change> changes;
};

} // namespace berylwing
