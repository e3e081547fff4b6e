#include "berylwing/limits/crash_register.hpp"

#include "berylwing/core/hash.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <algorithm>

namespace berylwing {

namespace {

constexpr std::uint32_t kCrashesToQuarantine = 2;
constexpr Duration kQuarantineTime = std::chrono::hours { 1 };
constexpr std::size_t kMostSuspicions = 50'000;

} // namespace

CrashRegister::CrashRegister(Clock& hostClock, Link& hostLink, FailureDomain& failureDomain, Metrics& hostMetrics)
    : clock { hostClock }
    , link { hostLink }
    , domain { failureDomain }
    , metrics { hostMetrics }
{
    this->link.handle(wire::Envelope::kQuarantine, [this](const wire::Envelope& envelope) {
        this->set(envelope.quarantine().fingerprint(), envelope.quarantine().crashes());
    });
}

std::uint64_t CrashRegister::fingerprintOf(const wire::Request& request)
{
    return hashText(request.body(), hashText(request.workspace() + " " + request.serves() + " " + request.path()));
}

bool CrashRegister::isSuspect(std::uint64_t fingerprint) const { return this->suspicions.contains(fingerprint); }

bool CrashRegister::isQuarantined(std::uint64_t fingerprint) const
{
    const auto found = this->suspicions.find(fingerprint);
    return found != this->suspicions.end() && found->second.crashes >= kCrashesToQuarantine
        && found->second.until > this->clock.now();
}

void CrashRegister::recordCrash(std::uint64_t fingerprint)
{
    const auto crashes = this->suspicions[fingerprint].crashes + 1;
    this->set(fingerprint, crashes);
    this->tellPeers(fingerprint, crashes);
    if (crashes == kCrashesToQuarantine)
        this->metrics.add(Incident::RequestQuarantined);
}

void CrashRegister::recordSuccess(std::uint64_t fingerprint)
{
    if (this->suspicions.erase(fingerprint) > 0)
        this->tellPeers(fingerprint, 0);
}

void CrashRegister::set(std::uint64_t fingerprint, std::uint32_t crashes)
{
    this->dropExpired();
    if (crashes == 0) {
        this->suspicions.erase(fingerprint);
        return;
    }
    auto& suspicion = this->suspicions[fingerprint];
    suspicion.crashes = std::max(suspicion.crashes, crashes);
    suspicion.until = this->clock.now() + kQuarantineTime;
}

void CrashRegister::dropExpired()
{
    if (this->suspicions.size() < kMostSuspicions)
        return;
    const auto now = this->clock.now();
    std::erase_if(this->suspicions, [now](const auto& entry) { return entry.second.until <= now; });
    if (this->suspicions.size() >= kMostSuspicions)
        this->suspicions.erase(this->suspicions.begin());
}

void CrashRegister::tellPeers(std::uint64_t fingerprint, std::uint32_t crashes)
{
    for (const auto& [host, peer] : this->domain.peers()) {
        wire::Envelope envelope;
        envelope.mutable_quarantine()->set_fingerprint(fingerprint);
        envelope.mutable_quarantine()->set_crashes(crashes);
        this->link.send(host, std::move(envelope));
    }
}

} // namespace berylwing
