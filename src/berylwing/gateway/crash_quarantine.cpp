#include "berylwing/gateway/crash_quarantine.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>

namespace berylwing {

namespace {

/**
 * Number of endpoints at which a request has to break before it is quarantined; a single connection reset or a crash
 * caused by a concurrent request has no effect.
 */
constexpr std::size_t kQuarantineThreshold = 3;
/** Time without a crash after which a request is admitted again; endpoints restart within some seconds. */
constexpr Duration kQuarantineTtl { 60'000 };
/** Limit of the recorded requests; crashes of further requests are ignored. */
constexpr std::size_t kMaxRequests = 10'000;

} // namespace

std::uint64_t CrashQuarantine::fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body)
{
    return hashText(body, hashText(target, hashText(workspace)));
}

bool CrashQuarantine::addCrash(std::uint64_t fingerprint, std::uint32_t endpoint)
{
    if (this->records.size() >= kMaxRequests && !this->records.contains(fingerprint))
        return false;
    auto& note = this->records[fingerprint];
    note.lastCrashAt = this->clock.now();
    if (std::find(note.endpoints.begin(), note.endpoints.end(), endpoint) != note.endpoints.end())
        return false;
    note.endpoints.push_back(endpoint);
    return true;
}

void CrashQuarantine::recordCrash(std::uint64_t fingerprint, std::uint32_t endpoint)
{
    if (this->addCrash(fingerprint, endpoint))
        this->announcements.push({ fingerprint, endpoint });
}

bool CrashQuarantine::isQuarantined(std::uint64_t fingerprint) const
{
    const auto found = this->records.find(fingerprint);
    return found != this->records.end() && found->second.endpoints.size() >= kQuarantineThreshold
        && this->clock.now() < found->second.lastCrashAt + kQuarantineTtl;
}

std::vector<EndpointNote> CrashQuarantine::merge(const wire::EndpointNotes& crashes)
{
    std::vector<EndpointNote> unknown;
    for (const auto& crash : parseNotes(crashes)) {
        if (this->addCrash(crash.subject, crash.endpoint))
            unknown.push_back(crash);
    }
    return unknown;
}

void CrashQuarantine::removeExpired()
{
    const auto oldest = this->clock.now() - kQuarantineTtl;
    std::erase_if(this->records, [oldest](const auto& note) { return note.second.lastCrashAt < oldest; });
}

} // namespace berylwing
