#include "berylwing/limits/crash_register.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/core/message_age.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>

namespace berylwing {

namespace {

constexpr std::uint32_t kCrashesToQuarantine = 2;
constexpr Duration kQuarantineTtl = std::chrono::hours { 1 };
constexpr std::size_t kMaxSuspects = 50'000;
/** Interval between repetitions to a peer. */
constexpr Duration kRepetitionInterval { 1000 };
/** Limit of the suspects in one repetition; the others follow in the next ones. */
constexpr std::size_t kMaxRepeated = 16;

} // namespace

CrashRegister::CrashRegister(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics)
    : clock { hostClock }
    , link { hostLink }
    , domain { failureDomain }
    , metrics { hostMetrics }
{
    this->link.handle(wire::Envelope::kQuarantine, [this](const wire::Envelope& envelope) { this->merge(envelope); });
    this->domain.onHeartbeat([this](const Peer& peer) { this->repeatTo(peer); });
}

std::uint64_t CrashRegister::fingerprintOf(const wire::Request& request)
{
    return hashText(request.body(), hashText(request.workspace() + " " + request.serves() + " " + request.path()));
}

bool CrashRegister::isExpired(const Suspect& suspect) const
{
    return this->clock.now() >= suspect.changedAt + kQuarantineTtl;
}

bool CrashRegister::isSuspect(std::uint64_t fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.crashes > 0 && !this->isExpired(found->second);
}

bool CrashRegister::isQuarantined(std::uint64_t fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.crashes >= kCrashesToQuarantine
        && !this->isExpired(found->second);
}

void CrashRegister::recordCrash(std::uint64_t fingerprint)
{
    this->evictExpired();
    const auto found = this->suspects.try_emplace(fingerprint).first;
    auto& suspect = found->second;
    ++suspect.crashes;
    suspect.changedAt = this->clock.now();
    this->broadcast(*found);
    if (suspect.crashes == kCrashesToQuarantine)
        this->metrics.add(Incident::RequestQuarantined);
}

void CrashRegister::recordSuccess(std::uint64_t fingerprint)
{
    const auto found = this->suspects.find(fingerprint);
    if (found == this->suspects.end() || found->second.crashes == 0)
        return;
    // The entry is kept, so that a host that has missed the answer does not bring the crashes up again.
    found->second.crashes = 0;
    found->second.changedAt = this->clock.now();
    this->broadcast(*found);
}

void CrashRegister::merge(const wire::Envelope& envelope)
{
    const auto& report = envelope.quarantine();
    const auto changedAt = this->clock.now() - Duration { report.age_ms() };
    this->evictExpired();
    const auto [found, isNew] = this->suspects.try_emplace(report.fingerprint());
    auto& suspect = found->second;
    const bool isAnswered = report.crashes() == 0;
    const bool wasAnswered = !isNew && suspect.crashes == 0;
    if (!isNew && isAnswered != wasAnswered && changedAt <= suspect.changedAt) {
        if (wasAnswered)
            this->send(envelope.from(), *found);
        return;
    }
    suspect.crashes = isAnswered ? 0 : std::max(suspect.crashes, report.crashes());
    const auto delay = isAnswered == wasAnswered ? kMaxMessageDelay : Duration {};
    if (isNew || changedAt > suspect.changedAt + delay)
        suspect.changedAt = changedAt;
}

void CrashRegister::evictExpired()
{
    if (this->suspects.size() < kMaxSuspects)
        return;
    std::erase_if(this->suspects, [this](const auto& entry) { return this->isExpired(entry.second); });
    if (this->suspects.size() >= kMaxSuspects)
        this->suspects.erase(this->suspects.begin());
}

void CrashRegister::broadcast(const Suspects::value_type& suspect)
{
    for (const auto& [host, peer] : this->domain.peers())
        this->send(host, suspect);
}

void CrashRegister::send(const std::string& host, const Suspects::value_type& suspect)
{
    wire::Envelope envelope;
    auto& report = *envelope.mutable_quarantine();
    report.set_fingerprint(suspect.first);
    report.set_crashes(suspect.second.crashes);
    report.set_age_ms((this->clock.now() - suspect.second.changedAt).count());
    this->link.send(host, std::move(envelope));
}

void CrashRegister::repeatTo(const Peer& peer)
{
    const auto now = this->clock.now();
    auto& repetition = this->repetitions[peer.host];
    if (this->suspects.empty() || now < repetition.at + kRepetitionInterval)
        return;
    repetition.at = now;
    std::map<std::uint64_t, Suspects::const_pointer> entries;
    for (const auto& entry : this->suspects) {
        if (entry.second.crashes > 0 && !this->isExpired(entry.second))
            entries.emplace(entry.first, &entry);
    }
    auto next = entries.upper_bound(repetition.last);
    for (auto count = std::min(entries.size(), kMaxRepeated); count > 0; --count) {
        if (next == entries.end())
            next = entries.begin();
        this->send(peer.host, *next->second);
        repetition.last = next->first;
        ++next;
    }
}

} // namespace berylwing
