#pragma once

#include <cstdint>
#include <map>

namespace berylwing {

/** @brief Answers that belong together: of one route, by one part of the endpoints of a service. */
struct EvidenceKey {
    /** Part of the endpoints of all other versions. */
    static constexpr std::uint32_t kOtherVersions = 0;
    /** Number of parts into which the endpoints of the version on trial are divided. */
    static constexpr std::uint32_t kTrialParts = 8;

    /**
     * @brief Returns the part of an endpoint of the version on trial.
     * @param endpoint Hash of the endpoint's id.
     * @return Part, from 1 to kTrialParts.
     */
    [[nodiscard]] static constexpr std::uint32_t partOf(std::uint32_t endpoint) noexcept
    {
        return 1 + endpoint % kTrialParts;
    }

    /** Hash of the route's name. */
    std::uint32_t route = 0;
    /** kOtherVersions, or a part of the endpoints of the version on trial. */
    std::uint32_t part = kOtherVersions;

    auto operator<=>(const EvidenceKey&) const = default;
};

/** @brief Counts of answers. */
struct EvidenceCounts {
    std::uint64_t answers = 0;
    /** Answers that were failures. */
    std::uint64_t failures = 0;
    /** Answers whose time could be compared with that of others. */
    std::uint64_t timed = 0;
    /** Timed answers that took several times as long as usual on their route. */
    std::uint64_t slow = 0;

    EvidenceCounts& operator+=(const EvidenceCounts& other) noexcept;
};

/** @brief Cumulative counts of answers since an order. */
struct Evidence {
    /** Limit of the keys; answers of further routes are left out. */
    static constexpr std::size_t kMaxKeys = 512;

    /** @brief Adds counts. @param key Key. @param counts Counts. */
    void add(const EvidenceKey& key, const EvidenceCounts& counts);

    /** @brief Adds all counts of other evidence. @param other Evidence. */
    void add(const Evidence& other);

    /** @brief Counts all answers. @return Answers. */
    [[nodiscard]] std::uint64_t answers() const noexcept;

    /** @brief Adds up the counts of one side. @param isTrial Whether of the version on trial. @return Counts. */
    [[nodiscard]] EvidenceCounts total(bool isTrial) const noexcept;

    std::map<EvidenceKey, EvidenceCounts> counts;
};

} // namespace berylwing
