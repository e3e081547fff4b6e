#include "berylwing/gateway/note_queue.hpp"

#include <algorithm>

namespace berylwing {

namespace {

/** Time for which each message repeats an announcement: two or three messages, so that one may be lost. */
constexpr Duration kAnnouncedFor { 800 };
/** Announcements in one message, which has to fit into a datagram. */
constexpr std::size_t kMostAnnounced = 1000;

} // namespace

std::vector<EndpointNote> readNotes(const wire::EndpointNotes& notes)
{
    std::vector<EndpointNote> result;
    for (int place = 0; place < std::min(notes.subjects_size(), notes.endpoints_size()); ++place)
        result.push_back({ notes.subjects(place), notes.endpoints(place) });
    return result;
}

void NoteQueue::push(const EndpointNote& note)
{
    if (this->announcements.size() < kMostAnnounced)
        this->announcements.push_back({ note, this->clock.now() });
}

void NoteQueue::push(const std::vector<EndpointNote>& notes)
{
    for (const auto& note : notes)
        this->push(note);
}

void NoteQueue::describe(wire::EndpointNotes& notes)
{
    const auto oldest = this->clock.now() - kAnnouncedFor;
    while (!this->announcements.empty() && this->announcements.front().since < oldest)
        this->announcements.pop_front();
    for (const auto& announcement : this->announcements) {
        notes.add_subjects(announcement.note.subject);
        notes.add_endpoints(announcement.note.endpoint);
    }
}

} // namespace berylwing
