#include "berylwing/rollout/evidence.hpp"

namespace berylwing {

EvidenceCounts& EvidenceCounts::operator+=(const EvidenceCounts& other) noexcept
{
    this->answers += other.answers;
    this->failures += other.failures;
    this->timed += other.timed;
    this->slow += other.slow;
    return *this;
}

void Evidence::add(const EvidenceKey& key, const EvidenceCounts& added)
{
    if (this->counts.size() < kMaxKeys || this->counts.contains(key))
        this->counts[key] += added;
}

void Evidence::add(const Evidence& other)
{
    for (const auto& [key, added] : other.counts)
        this->add(key, added);
}

std::uint64_t Evidence::answers() const noexcept
{
    std::uint64_t sum = 0;
    for (const auto& [key, each] : this->counts)
        sum += each.answers;
    return sum;
}

EvidenceCounts Evidence::total(bool isTrial) const noexcept
{
    EvidenceCounts sum;
    for (const auto& [key, each] : this->counts) {
        if ((key.part != EvidenceKey::kOtherVersions) == isTrial)
            sum += each;
    }
    return sum;
}

} // namespace berylwing
