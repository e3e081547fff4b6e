#include "berylwing/gateway/prompt_cache_index.hpp"

#include <algorithm>
#include <iterator>

namespace berylwing {

namespace {

/** Time after its last use for which a prompt is assumed to be cached; then other prompts have evicted it. */
constexpr Duration kCacheTtl { 60'000 };
/** Time after which a use is announced again, so that hosts that have started in the meantime learn of it. */
constexpr Duration kAnnounceInterval { 10'000 };
/** Interval between removals of expired prompts, each of which visits all entries. */
constexpr Duration kRemovalInterval { 5000 };
/** Limit of the tracked prompts; at a hundred bytes each they take 5 MB. */
constexpr std::size_t kMaxPrompts = 50'000;

} // namespace

PromptCacheIndex::CacheEntry* PromptCacheIndex::findOrAdd(const EndpointNote& use)
{
    if (this->prompts.size() >= kMaxPrompts && !this->prompts.contains(use.subject))
        return nullptr;
    auto& list = this->prompts[use.subject].entries;
    const auto found = std::find_if(
        list.begin(), list.end(), [&use](const CacheEntry& holder) { return holder.endpoint == use.endpoint; });
    return found == list.end() ? &list.emplace_back(CacheEntry { use.endpoint }) : &*found;
}

void PromptCacheIndex::recordUse(const EndpointNote& use)
{
    auto* holder = this->findOrAdd(use);
    if (holder == nullptr)
        return;
    const auto now = this->clock.now();
    holder->usedAt = now;
    holder->usedLocallyAt = now;
    this->prompts.at(use.subject).ownUses.record(now);
    if (holder->announcedAt + kAnnounceInterval > now)
        return;
    holder->announcedAt = now;
    this->announcements.push(use);
}

void PromptCacheIndex::repeatAnnouncements()
{
    const auto now = this->clock.now();
    this->announcements.clear();
    for (const auto& [hash, prompt] : this->prompts) {
        for (const auto& holder : prompt.entries) {
            if (holder.usedLocallyAt + kAnnounceInterval > now)
                this->announcements.push({ hash, holder.endpoint });
        }
    }
}

std::vector<EndpointNote> PromptCacheIndex::merge(const wire::EndpointNotes& uses)
{
    std::vector<EndpointNote> unknown;
    const auto now = this->clock.now();
    for (const auto& use : parseNotes(uses)) {
        auto* holder = this->findOrAdd(use);
        if (holder == nullptr)
            continue;
        if (holder->announcedAt + kAnnounceInterval <= now)
            unknown.push_back(use);
        holder->usedAt = now;
        holder->announcedAt = now;
    }
    return unknown;
}

void PromptCacheIndex::removeExpired()
{
    const auto now = this->clock.now();
    if (now < this->lastRemovalAt + kRemovalInterval)
        return;
    this->lastRemovalAt = now;
    for (auto entry = this->prompts.begin(); entry != this->prompts.end();) {
        auto& entries = entry->second.entries;
        std::erase_if(entries, [now](const CacheEntry& holder) { return holder.usedAt + kCacheTtl < now; });
        entry = entries.empty() ? this->prompts.erase(entry) : std::next(entry);
    }
}

bool PromptCacheIndex::isCached(std::uint64_t prompt, std::uint32_t endpoint) const
{
    const auto found = this->prompts.find(prompt);
    return found != this->prompts.end()
        && std::any_of(found->second.entries.begin(), found->second.entries.end(),
            [endpoint](const CacheEntry& holder) { return holder.endpoint == endpoint; });
}

EventRate PromptCacheIndex::ownUseRate(std::uint64_t prompt) const
{
    const auto found = this->prompts.find(prompt);
    return found == this->prompts.end() ? EventRate { kUseAveragingTime } : found->second.ownUses;
}

} // namespace berylwing
