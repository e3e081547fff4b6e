#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/gateway/crash_suspect.hpp"
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace berylwing {

/**
 * @brief Relates crashes of endpoints to what the requests that broke with them have in common.
 *
 * A crash breaks all requests at the endpoint, most of which did not cause it. A suspect is cleared by an answer: its
 * earlier crashes no longer count. Of the suspects that remain, a cause is found by these rules:
 *
 * - Crashes at about the same moment count once for a segment. A cause crashes endpoints one after the other, while
 *   endpoints that fail together break many requests with a popular segment. A segment that broke at few of the
 *   endpoints that failed together is not to blame.
 * - Crashes that a known cause explains do not count for other suspects.
 * - Crashes that repeatedly have the same, more specific segment count once for a suspect. The segment is then the
 *   better explanation, until other segments below the suspect crash endpoints too.
 */
class CrashEvidence {
public:
    /** @brief Crash during which a request with a suspect broke. */
    struct Crash {
        /** Identifies the process of the endpoint, which crashes once. */
        std::uint32_t endpoint = 0;
        TimePoint at;
        /** Whether a request of this host broke. */
        bool isOwn = false;
        /** Whether the suspect was answered afterwards. */
        bool isCleared = false;
        /** Last time at which this host reported the crash to others. */
        TimePoint reportedAt {};
    };

    /** @brief Crashes of one suspect. */
    struct Record {
        std::uint32_t specificity = 0;
        std::vector<Crash> crashes;
        /** Time of the last answer that is known to have cleared the suspect. */
        TimePoint clearedAt = TimePoint::min();
        /** Whether the suspect is known to crash endpoints. */
        bool isCause = false;
    };

    using Records = std::unordered_map<std::uint64_t, Record>;

    /** Endpoints that crashed. */
    using Endpoints = std::unordered_set<std::uint32_t>;

    /** @brief Adds a crash. @param suspect Suspect. @param crash Crash. @return False if it was known already. */
    bool add(const CrashSuspect& suspect, const Crash& crash);

    /** @brief Clears a suspect. @param subject Suspect. @param at Time of the answer. @return False if unknown. */
    bool clear(std::uint64_t subject, TimePoint at);

    /** @brief Marks a suspect as a cause. @param suspect Suspect. @param isCause New state. */
    void setCause(const CrashSuspect& suspect, bool isCause);

    /** @brief Finds the best explanation of the crashes. @return Suspect; nothing as long as it is uncertain. */
    [[nodiscard]] std::optional<CrashSuspect> findCause() const;

    /** @brief Removes crashes, and suspects without any. @param oldest Time from which on crashes are kept. */
    void removeBefore(TimePoint oldest);

    /** @brief Lists the crashes that a cause explains. @return Endpoints. */
    [[nodiscard]] Endpoints listExplained() const;

    /**
     * @brief Checks if a suspect may turn out to be a cause with the next crash.
     * @param record Suspect.
     * @param explained Crashes that do not count.
     * @return True if it was not cleared of crashes at different moments.
     */
    [[nodiscard]] static bool isRepeated(const Record& record, const Endpoints& explained);

    /** @brief Finds a suspect. @param subject Suspect. @return Its crashes; a null pointer if there are none. */
    [[nodiscard]] const Record* find(std::uint64_t subject) const;

    /** @brief Returns all suspects. @return Suspects by subject. */
    [[nodiscard]] Records& all() noexcept { return this->records; }

    /** @brief Checks if there is no suspect. @return True if so. */
    [[nodiscard]] bool isEmpty() const noexcept { return this->records.empty(); }

private:
    /** Suspects that explain a crash, by endpoint. */
    using Explanations = std::unordered_multimap<std::uint32_t, Records::const_pointer>;

    [[nodiscard]] Explanations listExplanations() const;
    /** Counts the moments of a suspect's crashes that nothing else explains better. */
    [[nodiscard]] static std::size_t countUnexplained(std::uint64_t subject, const Record& record,
        const Explanations& explanations, const std::vector<TimePoint>& all);
    /** Returns the times of all crashes that no cause explains. */
    [[nodiscard]] std::vector<TimePoint> listUnexplainedTimes() const;
    /** Removes the suspect with the oldest crash if there are too many. */
    void makeRoom();

    Records records;
};

} // namespace berylwing
