#include "berylwing/gateway/use_queue.hpp"

namespace berylwing {

namespace {

/** Time for which each message repeats an announcement: two or three messages, so that one may be lost. */
constexpr Duration kAnnouncedFor { 800 };
/** Announcements in one message, which has to fit into a datagram. */
constexpr std::size_t kMostAnnounced = 1000;

} // namespace

void UseQueue::push(const PromptUse& use)
{
    if (this->announcements.size() < kMostAnnounced)
        this->announcements.push_back({ use, this->clock.now() });
}

void UseQueue::describe(wire::PromptUses& uses)
{
    const auto oldest = this->clock.now() - kAnnouncedFor;
    while (!this->announcements.empty() && this->announcements.front().since < oldest)
        this->announcements.pop_front();
    for (const auto& announcement : this->announcements) {
        uses.add_prompts(announcement.use.prompt);
        uses.add_endpoints(announcement.use.endpoint);
    }
}

} // namespace berylwing
