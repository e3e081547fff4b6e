#pragma once

#include "berylwing/rollout/evidence.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/**
 * @brief Evidence of all hosts about one order.
 *
 * Every report is cumulative, so the larger of two reports of the same sender is the newer one and replaces the other;
 * lost, repeated and reordered reports do no harm. What a host reported counts also after its process has ended: a
 * process that replaces it is another sender.
 */
class EvidencePool {
    using Sender = std::pair<std::string, std::uint64_t>;

    /** Replaces a report by a larger one. */
    static void replace(Evidence& known, const Evidence& report);

public:
    /** Limit of the processes of a group that are told apart; further ones are left out. */
    static constexpr std::size_t kMaxSenders = 256;

    /** @brief Counts an answer to this host. @param key Key. @param counts Counts. */
    void addOwn(const EvidenceKey& key, const EvidenceCounts& counts) { this->ownEvidence.add(key, counts); }

    /** @brief Takes the report of a host of the own group. @param host Host. @param incarnation Its process. @param
     * report Cumulative evidence. */
    void setPeer(std::string_view host, std::uint64_t incarnation, const Evidence& report);

    /** @brief Takes the report of another group. @param group Group. @param report Cumulative evidence of all its
     * hosts. */
    void setGroup(std::string_view group, const Evidence& report);

    /** @brief Takes the sum over all other groups, as told by a delegate. @param report Cumulative evidence. */
    void setElsewhere(const Evidence& report) { replace(this->elsewhere, report); }

    /** @brief Returns the evidence of this host. @return Evidence. */
    [[nodiscard]] const Evidence& own() const noexcept { return this->ownEvidence; }

    /** @brief Adds up the evidence of this host and its group. @return Evidence. */
    [[nodiscard]] Evidence group() const;

    /** @brief Adds up the evidence of all other groups. @return Evidence. */
    [[nodiscard]] Evidence otherGroups() const;

    /** @brief Adds up all evidence. @return Evidence. */
    [[nodiscard]] Evidence all() const;

private:
    Evidence ownEvidence;
    std::map<Sender, Evidence> peers;
    std::map<std::string, Evidence, std::less<>> groups;
    Evidence elsewhere;
};

} // namespace berylwing
