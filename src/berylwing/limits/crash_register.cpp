#include "berylwing/limits/crash_register.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>

namespace berylwing {

namespace {

constexpr std::uint32_t kCrashesToQuarantine = 2;
constexpr Duration kQuarantineTtl = std::chrono::hours { 1 };
constexpr std::size_t kMaxSuspects = 50'000;

} // namespace

CrashRegister::CrashRegister(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics)
    : clock { hostClock }
    , link { hostLink }
    , domain { failureDomain }
    , metrics { hostMetrics }
{
    this->link.handle(wire::Envelope::kQuarantine, [this](const wire::Envelope& envelope) {
        this->update(envelope.quarantine().fingerprint(), envelope.quarantine().crashes());
    });
}

std::uint64_t CrashRegister::fingerprintOf(const wire::Request& request)
{
    return hashText(request.body(), hashText(request.workspace() + " " + request.serves() + " " + request.path()));
}

bool CrashRegister::isSuspect(std::uint64_t fingerprint) const { return this->suspects.contains(fingerprint); }

bool CrashRegister::isQuarantined(std::uint64_t fingerprint) const
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end() && found->second.crashes >= kCrashesToQuarantine
        && found->second.until > this->clock.now();
}

void CrashRegister::recordCrash(std::uint64_t fingerprint)
{
    const auto crashes = this->suspects[fingerprint].crashes + 1;
    this->update(fingerprint, crashes);
    this->broadcast(fingerprint, crashes);
    if (crashes == kCrashesToQuarantine)
        this->metrics.add(Incident::RequestQuarantined);
}

void CrashRegister::recordSuccess(std::uint64_t fingerprint)
{
    if (this->suspects.erase(fingerprint) > 0)
        this->broadcast(fingerprint, 0);
}

void CrashRegister::update(std::uint64_t fingerprint, std::uint32_t crashes)
{
    this->evictExpired();
    if (crashes == 0) {
        this->suspects.erase(fingerprint);
        return;
    }
    auto& suspect = this->suspects[fingerprint];
    suspect.crashes = std::max(suspect.crashes, crashes);
    suspect.until = this->clock.now() + kQuarantineTtl;
}

void CrashRegister::evictExpired()
{
    if (this->suspects.size() < kMaxSuspects)
        return;
    const auto now = this->clock.now();
    std::erase_if(this->suspects, [now](const auto& entry) { return entry.second.until <= now; });
    if (this->suspects.size() >= kMaxSuspects)
        this->suspects.erase(this->suspects.begin());
}

void CrashRegister::broadcast(std::uint64_t fingerprint, std::uint32_t crashes)
{
    for (const auto& [host, peer] : this->domain.peers()) {
        wire::Envelope envelope;
        envelope.mutable_quarantine()->set_fingerprint(fingerprint);
        envelope.mutable_quarantine()->set_crashes(crashes);
        this->link.send(host, std::move(envelope));
    }
}

} // namespace berylwing
