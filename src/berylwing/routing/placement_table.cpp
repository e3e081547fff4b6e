#include "berylwing/routing/placement_table.hpp"

#include "berylwing/core/hash.hpp"

namespace berylwing {

PlacementTable::PlacementTable(std::size_t maxChats, Duration retentionTime)
    : capacity { maxChats }
    , retention { retentionTime }
{
}

PlacementTable::~PlacementTable() { this->entriesByRecency.clear(); }

std::vector<Placement> PlacementTable::all() const
{
    std::vector<Placement> placements;
    placements.reserve(this->size());
    for (const auto& entry : this->entriesByRecency)
        placements.push_back(entry.placement);
    return placements;
}

std::optional<std::string> PlacementTable::lookUp(std::string_view chat, TimePoint now)
{
    auto* entry = this->find(chat);
    if (entry == nullptr)
        return std::nullopt;
    if (now - entry->usedAt > this->retention) {
        this->erase(*entry);
        return std::nullopt;
    }
    entry->usedAt = now;
    this->entriesByRecency.splice(
        this->entriesByRecency.begin(), this->entriesByRecency, this->entriesByRecency.iterator_to(*entry));
    return entry->placement.endpoint;
}

void PlacementTable::insert(const Placement& placement, TimePoint now)
{
    const auto hash = hashText(placement.chat);
    auto& entry = this->entriesByHash[hash];
    if (!entry) {
        entry = std::make_unique<Entry>();
        entry->chatHash = hash;
        this->entriesByRecency.push_front(*entry);
    }
    entry->placement = placement;
    entry->usedAt = now;
    this->entriesByRecency.splice(
        this->entriesByRecency.begin(), this->entriesByRecency, this->entriesByRecency.iterator_to(*entry));
    if (this->entriesByHash.size() > this->capacity)
        this->erase(this->entriesByRecency.back());
}

void PlacementTable::clear()
{
    this->entriesByRecency.clear();
    this->entriesByHash.clear();
}

PlacementTable::Entry* PlacementTable::find(std::string_view chat)
{
    const auto found = this->entriesByHash.find(hashText(chat));
    if (found == this->entriesByHash.end() || found->second->placement.chat != chat)
        return nullptr;
    return found->second.get();
}

void PlacementTable::erase(Entry& entry)
{
    this->entriesByRecency.erase(this->entriesByRecency.iterator_to(entry));
    this->entriesByHash.erase(entry.chatHash);
}

} // namespace berylwing
