#include "berylwing/gateway/announcement_queue.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Time for which messages repeat a note; it spans two or three messages, so that one may be lost. */
constexpr Duration kAnnouncementTtl { 800 };
/** Limit of the notes in one message, which has to fit into a datagram. */
constexpr std::size_t kMaxAnnouncements = 1000;

} // namespace

std::vector<EndpointNote> parseNotes(const wire::EndpointNotes& notes)
{
    std::vector<EndpointNote> result;
    for (int index = 0; index < std::min(notes.subjects_size(), notes.endpoints_size()); ++index)
        result.push_back({ notes.subjects(index), notes.endpoints(index) });
    return result;
}

void AnnouncementQueue::push(const EndpointNote& note)
{
    if (this->announcements.size() < kMaxAnnouncements)
        this->announcements.push_back({ note, this->clock.now() });
}

void AnnouncementQueue::push(const std::vector<EndpointNote>& notes)
{
    for (const auto& note : notes)
        this->push(note);
}

void AnnouncementQueue::appendTo(wire::EndpointNotes& notes)
{
    const auto oldest = this->clock.now() - kAnnouncementTtl;
    while (!this->announcements.empty() && this->announcements.front().queuedAt < oldest)
        this->announcements.pop_front();
    for (const auto& announcement : this->announcements) {
        notes.add_subjects(announcement.note.subject);
        notes.add_endpoints(announcement.note.endpoint);
    }
}

} // namespace berylwing
