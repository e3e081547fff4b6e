#include "berylwing/gateway/prompt_holders.hpp"

#include <algorithm>
#include <iterator>

namespace berylwing {

namespace {

/** Time for which an endpoint is taken to hold a prompt after its last use; then others push it out of its memory. */
constexpr Duration kHeldFor { 60'000 };
/** Time after which a use is announced again, so that hosts that have started since learn of it. */
constexpr Duration kAnnounceAgain { 10'000 };
/** Time for which each digest repeats an announcement, so that some of them may be lost. */
constexpr Duration kAnnouncedFor { 800 };
/** Time between two looks for prompts to forget, since each looks at all of them. */
constexpr Duration kDropInterval { 5000 };
/** Announcements in one digest, which has to fit into a datagram. */
constexpr std::size_t kMostAnnounced = 1000;
/** Prompts that are remembered; at a hundred bytes each they take 5 MB. */
constexpr std::size_t kMostPrompts = 50'000;

} // namespace

PromptHolders::Holder& PromptHolders::find(std::uint64_t prompt, std::uint64_t endpoint)
{
    auto& list = this->holders[prompt];
    const auto found = std::find_if(
        list.begin(), list.end(), [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
    return found == list.end() ? list.emplace_back(Holder { endpoint }) : *found;
}

void PromptHolders::recordUse(std::uint64_t prompt, std::uint64_t endpoint)
{
    if (this->holders.size() >= kMostPrompts && !this->holders.contains(prompt))
        return;
    const auto now = this->clock.now();
    auto& holder = this->find(prompt, endpoint);
    holder.usedAt = now;
    holder.usedHereAt = now;
    if (holder.announcedAt + kAnnounceAgain > now)
        return;
    holder.announcedAt = now;
    this->announcements.push_back({ prompt, endpoint, now });
}

void PromptHolders::announceAll()
{
    const auto now = this->clock.now();
    this->announcements.clear();
    for (const auto& [prompt, list] : this->holders) {
        for (const auto& holder : list) {
            if (holder.usedHereAt + kAnnounceAgain > now && this->announcements.size() < kMostAnnounced)
                this->announcements.push_back({ prompt, holder.endpoint, now });
        }
    }
}

void PromptHolders::take(const wire::Digest& digest)
{
    const auto now = this->clock.now();
    for (const auto& use : digest.uses()) {
        if (this->holders.size() >= kMostPrompts && !this->holders.contains(use.prompt()))
            continue;
        auto& holder = this->find(use.prompt(), use.endpoint());
        holder.usedAt = now;
        holder.announcedAt = now;
    }
}

void PromptHolders::describe(wire::Digest& digest)
{
    const auto oldest = this->clock.now() - kAnnouncedFor;
    while (!this->announcements.empty() && this->announcements.front().since < oldest)
        this->announcements.pop_front();
    for (const auto& announcement : this->announcements) {
        auto& use = *digest.add_uses();
        use.set_prompt(announcement.prompt);
        use.set_endpoint(announcement.endpoint);
    }
}

void PromptHolders::dropOld()
{
    const auto now = this->clock.now();
    if (now < this->lastDropAt + kDropInterval)
        return;
    this->lastDropAt = now;
    for (auto entry = this->holders.begin(); entry != this->holders.end();) {
        std::erase_if(entry->second, [now](const Holder& holder) { return holder.usedAt + kHeldFor < now; });
        entry = entry->second.empty() ? this->holders.erase(entry) : std::next(entry);
    }
}

bool PromptHolders::holds(std::uint64_t prompt, std::uint64_t endpoint) const
{
    const auto found = this->holders.find(prompt);
    return found != this->holders.end()
        && std::any_of(found->second.begin(), found->second.end(),
            [endpoint](const Holder& holder) { return holder.endpoint == endpoint; });
}

} // namespace berylwing
