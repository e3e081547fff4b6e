#include "berylwing/rollout/evidence_pool.hpp"

namespace berylwing {

void EvidencePool::replace(Evidence& known, const Evidence& report)
{
    if (report.answers() >= known.answers())
        known = report;
}

void EvidencePool::setPeer(std::string_view host, std::uint64_t incarnation, const Evidence& report)
{
    Sender sender { host, incarnation };
    if (this->peers.size() < kMaxSenders || this->peers.contains(sender))
        replace(this->peers[std::move(sender)], report);
}

void EvidencePool::setGroup(std::string_view group, const Evidence& report)
{
    std::string name { group };
    if (this->groups.size() < kMaxSenders || this->groups.contains(name))
        replace(this->groups[std::move(name)], report);
}

Evidence EvidencePool::group() const
{
    auto sum = this->ownEvidence;
    for (const auto& [sender, report] : this->peers)
        sum.add(report);
    return sum;
}

Evidence EvidencePool::otherGroups() const
{
    Evidence sum;
    for (const auto& [group, report] : this->groups)
        sum.add(report);
    // A host that is no delegate hears the sum, one that has become a delegate also the groups themselves.
    return this->elsewhere.answers() > sum.answers() ? this->elsewhere : sum;
}

Evidence EvidencePool::all() const
{
    auto sum = this->group();
    sum.add(this->otherGroups());
    return sum;
}

} // namespace berylwing
