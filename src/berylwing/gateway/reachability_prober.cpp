#include "berylwing/gateway/reachability_prober.hpp"

#include <utility>

namespace berylwing {

namespace {

/** Time within which two silent endpoints mark their domain as suspect; a partition silences many within 1 s. */
constexpr Duration kSuspicionTimeout { 1000 };
/** Time without activity after which a call is aborted if a new connection to its endpoint also got no response. */
constexpr Duration kSilentCallTimeout { 300 };

} // namespace

ReachabilityProber::ReachabilityProber(
    Clock& hostClock, EndpointDirectory& endpointDirectory, SessionFactory openSession, DecisionLog& decisionLog)
    : clock { hostClock }
    , directory { endpointDirectory }
    , open { std::move(openSession) }
    , log { decisionLog }
{
}

void ReachabilityProber::recordSilence(GatewayEndpoint& endpoint)
{
    const auto now = this->clock.now();
    endpoint.abortSilentCalls(now - kSilentCallTimeout);
    auto& last = this->lastSilences[endpoint.record.domain];
    const bool isSecond = last.endpointId != endpoint.record.id && last.at + kSuspicionTimeout > now;
    last = { endpoint.record.id, now };
    if (!isSecond)
        return;
    last = {};
    this->suspectDomain(endpoint.record.domain, now);
}

void ReachabilityProber::suspectDomain(const std::string& domain, TimePoint now)
{
    LogLine line { LogEvent::DomainSuspected };
    this->log.write(line.add("suspected", domain));
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (endpoint->record.domain == domain && !endpoint->health.isEjected(now))
            endpoint->health.requireProbe(now);
    }
    this->startDueProbes();
}

void ReachabilityProber::suspectAll()
{
    const auto now = this->clock.now();
    LogLine line { LogEvent::DomainSuspected };
    this->log.write(line.add("suspected", ""));
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (!endpoint->health.isEjected(now))
            endpoint->health.requireProbe(now);
    }
    this->startDueProbes();
}

void ReachabilityProber::startDueProbes()
{
    const auto now = this->clock.now();
    for (const auto& [id, endpoint] : this->directory.all()) {
        if (!endpoint->health.tryBeginProbe(now))
            continue;
        spawn(this->clock.executor(), "probe", this->probe(endpoint));
    }
}

Task<void> ReachabilityProber::probe(GatewayEndpointPtr endpoint)
{
    const auto startedAt = this->clock.now();
    try {
        const auto session = co_await this->open(*endpoint, ConnectionReuse::None);
        session->abort();
        endpoint->health.recordProbe(true, this->clock.now());
    } catch (const EndpointError&) {
        endpoint->health.recordProbe(false, this->clock.now());
        // Retryable calls that wait for the unreachable endpoint are moved to another one.
        endpoint->abortSilentCalls(startedAt);
    }
}

} // namespace berylwing
