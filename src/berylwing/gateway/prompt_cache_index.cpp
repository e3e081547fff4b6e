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
    if (this->entriesByPrompt.size() >= kMaxPrompts && !this->entriesByPrompt.contains(use.subject))
        return nullptr;
    auto& list = this->entriesByPrompt[use.subject];
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
    if (holder->announcedAt + kAnnounceInterval > now)
        return;
    holder->announcedAt = now;
    this->announcements.push(use);
}

void PromptCacheIndex::repeatAnnouncements()
{
    const auto now = this->clock.now();
    this->announcements.clear();
    for (const auto& [prompt, list] : this->entriesByPrompt) {
        for (const auto& holder : list) {
            if (holder.usedLocallyAt + kAnnounceInterval > now)
                this->announcements.push({ prompt, holder.endpoint });
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
    for (auto entry = this->entriesByPrompt.begin(); entry != this->entriesByPrompt.end();) {
        std::erase_if(entry->second, [now](const CacheEntry& holder) { return holder.usedAt + kCacheTtl < now; });
        entry = entry->second.empty() ? this->entriesByPrompt.erase(entry) : std::next(entry);
    }
}

bool PromptCacheIndex::isCached(std::uint64_t prompt, std::uint32_t endpoint) const
{
    const auto found = this->entriesByPrompt.find(prompt);
    return found != this->entriesByPrompt.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [endpoint](const CacheEntry& holder) { return holder.endpoint == endpoint; });
}

} // namespace berylwing
