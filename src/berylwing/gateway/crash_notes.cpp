#include "berylwing/gateway/crash_notes.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>

namespace berylwing {

namespace {

/** Endpoints at which a request has to break off; a single reset or a neighbour's crash leaves it alone. */
constexpr std::size_t kCrashesToQuarantine = 3;
/** Time without a crash after which a request may be tried again; endpoints are back after some seconds. */
constexpr Duration kQuarantineTime { 60'000 };
/** Requests that are remembered; beyond that the crashes of new ones are not noted. */
constexpr std::size_t kMostNotes = 10'000;

} // namespace

std::uint64_t CrashNotes::fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body)
{
    return hashText(body, hashText(target, hashText(workspace)));
}

bool CrashNotes::add(std::uint64_t fingerprint, std::uint32_t endpoint)
{
    if (this->notes.size() >= kMostNotes && !this->notes.contains(fingerprint))
        return false;
    auto& note = this->notes[fingerprint];
    note.lastAt = this->clock.now();
    if (std::find(note.endpoints.begin(), note.endpoints.end(), endpoint) != note.endpoints.end())
        return false;
    note.endpoints.push_back(endpoint);
    return true;
}

void CrashNotes::record(std::uint64_t fingerprint, std::uint32_t endpoint)
{
    if (this->add(fingerprint, endpoint))
        this->announcements.push({ fingerprint, endpoint });
}

bool CrashNotes::isQuarantined(std::uint64_t fingerprint) const
{
    const auto found = this->notes.find(fingerprint);
    return found != this->notes.end() && found->second.endpoints.size() >= kCrashesToQuarantine
        && this->clock.now() < found->second.lastAt + kQuarantineTime;
}

std::vector<EndpointNote> CrashNotes::take(const wire::EndpointNotes& crashes)
{
    std::vector<EndpointNote> unknown;
    for (const auto& crash : readNotes(crashes)) {
        if (this->add(crash.subject, crash.endpoint))
            unknown.push_back(crash);
    }
    return unknown;
}

void CrashNotes::dropOld()
{
    const auto oldest = this->clock.now() - kQuarantineTime;
    std::erase_if(this->notes, [oldest](const auto& note) { return note.second.lastAt < oldest; });
}

} // namespace berylwing
