#include "support/chat_load.hpp"

#include <algorithm>

namespace berylwing::test {

namespace {

constexpr Duration kRefillInterval { 20 };

} // namespace

ChatLoad::ChatLoad(TestFleet& testFleet, std::size_t concurrency, unsigned seed)
    : fleet { testFleet }
    , target { concurrency }
    , random { seed }
{
}

void ChatLoad::refill()
{
    const auto hasEnded
        = [this](const Chat& chat) { return chat.answer->isFinished || !this->fleet.isAlive(chat.host); };
    for (const auto& chat : this->running) {
        if (hasEnded(chat))
            this->endedChats.push_back(chat);
    }
    std::erase_if(this->running, hasEnded);
    const auto hosts = this->fleet.hosts();
    while (this->running.size() < this->target && !hosts.empty()) {
        const auto& host = hosts[this->random() % hosts.size()];
        const auto id = "load-" + std::to_string(this->next++);
        auto request = chatRequest(id, id);
        auto answer = this->fleet.request(host, request);
        this->running.push_back({ std::move(request), std::move(answer), host });
    }
}

void ChatLoad::run(Duration length)
{
    const auto end = this->fleet.now() + length;
    while (this->fleet.now() < end) {
        this->refill();
        this->fleet.advance(kRefillInterval);
    }
}

std::size_t ChatLoad::countComplete() const
{
    return static_cast<std::size_t>(std::count_if(
        this->endedChats.begin(), this->endedChats.end(), [](const Chat& chat) { return chat.answer->isComplete(); }));
}

} // namespace berylwing::test
