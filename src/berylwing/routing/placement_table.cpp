#include "berylwing/routing/placement_table.hpp"

#include "berylwing/core/hash.hpp"

namespace berylwing {

PlacementTable::PlacementTable(std::size_t mostChats, Duration retentionTime)
    : capacity { mostChats }
    , retention { retentionTime }
{
}

PlacementTable::~PlacementTable() { this->byUse.clear(); }

std::vector<Placement> PlacementTable::all() const
{
    std::vector<Placement> placements;
    placements.reserve(this->size());
    for (const auto& entry : this->byUse)
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
    this->byUse.splice(this->byUse.begin(), this->byUse, this->byUse.iterator_to(*entry));
    return entry->placement.endpoint;
}

void PlacementTable::remember(const Placement& placement, TimePoint now)
{
    const auto hash = hashText(placement.chat);
    auto& slot = this->buckets[hash];
    if (!slot) {
        slot = std::make_unique<Entry>();
        slot->chatHash = hash;
        this->byUse.push_front(*slot);
    }
    slot->placement = placement;
    slot->usedAt = now;
    this->byUse.splice(this->byUse.begin(), this->byUse, this->byUse.iterator_to(*slot));
    if (this->buckets.size() > this->capacity)
        this->erase(this->byUse.back());
}

void PlacementTable::clear()
{
    this->byUse.clear();
    this->buckets.clear();
}

PlacementTable::Entry* PlacementTable::find(std::string_view chat)
{
    const auto found = this->buckets.find(hashText(chat));
    if (found == this->buckets.end() || found->second->placement.chat != chat)
        return nullptr;
    return found->second.get();
}

void PlacementTable::erase(Entry& entry)
{
    this->byUse.erase(this->byUse.iterator_to(entry));
    this->buckets.erase(entry.chatHash);
}

} // namespace berylwing
