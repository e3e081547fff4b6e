#include "berylwing/telemetry/metrics.hpp"

#include <prometheus/text_serializer.h>

namespace berylwing {

namespace {

template <typename Enum, std::size_t Count>
std::array<prometheus::Counter*, Count> makeCounters(
    prometheus::Registry& registry, const char* name, const char* help, const EnumNames<Enum, Count>& names)
{
    std::array<prometheus::Counter*, Count> counters {};
    auto& family = prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    for (std::size_t index = 0; index < Count; ++index)
        counters[index] = &family.Add({ { "reason", std::string { names.all()[index] } } });
    return counters;
}

prometheus::Counter* makeCounter(prometheus::Registry& registry, const char* name, const char* help)
{
    return &prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Gauge* makeGauge(prometheus::Registry& registry, const char* name, const char* help)
{
    return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

/** Upper bounds in seconds, around the latency targets for first tokens (0.15 to 0.6 s) and deadlines (up to 15 s). */
const prometheus::Histogram::BucketBoundaries kLatencyBucketBounds { 0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.4, 0.5, 0.6,
    1.0, 2.5, 5.0, 15.0 };

prometheus::Histogram* makeHistogram(prometheus::Registry& registry, const char* name, const char* help)
{
    return &prometheus::BuildHistogram().Name(name).Help(help).Register(registry).Add({}, kLatencyBucketBounds);
}

double toSeconds(Duration length) { return std::chrono::duration<double> { length }.count(); }

std::uint64_t readCounter(const prometheus::Counter* counter) { return static_cast<std::uint64_t>(counter->Value()); }

} // namespace

Metrics::Metrics()
    : registry { std::make_shared<prometheus::Registry>() }
    , refusals { makeCounters(*this->registry, "berylwing_refusals_total", "Refused requests.", kRefusalNames) }
    , retries { makeCounters(*this->registry, "berylwing_retries_total", "Additional attempts.", kRetryNames) }
    , incidents { makeCounters(*this->registry, "berylwing_incidents_total", "Events of the fleet.", kIncidentNames) }
    , requests { makeCounter(*this->registry, "berylwing_requests_total", "Accepted requests.") }
    , controlByteCount { makeCounter(*this->registry, "berylwing_control_bytes_total", "Bytes sent for control.") }
    , platformCallCounts { prometheus::BuildCounter()
                               .Name("berylwing_platform_calls_total")
                               .Help("Calls to the platform.")
                               .Register(*this->registry) }
    , rolloutAnswers { prometheus::BuildCounter()
                           .Name("berylwing_rollout_answers_total")
                           .Help("Answers during roll-outs, by service and version.")
                           .Register(*this->registry) }
    , rolloutShares { prometheus::BuildGauge()
                          .Name("berylwing_rollout_share")
                          .Help("Part of a service's requests that a version on trial may get.")
                          .Register(*this->registry) }
    , relayedChunks { makeCounter(*this->registry, "berylwing_relayed_chunks_total", "Relayed chunks of answers.") }
    , inFlight { makeGauge(*this->registry, "berylwing_in_flight", "Requests in flight at owned endpoints.") }
    , storeEra { makeGauge(*this->registry, "berylwing_store_era", "Latest known era of the store.") }
    , firstByteSeconds { makeHistogram(
          *this->registry, "berylwing_first_byte_seconds", "Time from a request to the first byte of its answer.") }
    , responseSeconds { makeHistogram(
          *this->registry, "berylwing_answer_seconds", "Time from a request to the end of its whole answer.") }
{
}

std::uint64_t Metrics::count(Refusal reason) const
{
    return readCounter(this->refusals[static_cast<std::size_t>(reason)]);
}

std::uint64_t Metrics::count(Retry reason) const
{
    return readCounter(this->retries[static_cast<std::size_t>(reason)]);
}

std::uint64_t Metrics::count(Incident incident) const
{
    return readCounter(this->incidents[static_cast<std::size_t>(incident)]);
}

std::uint64_t Metrics::controlBytes() const { return readCounter(this->controlByteCount); }

std::string Metrics::serialize() const { return prometheus::TextSerializer {}.Serialize(this->registry->Collect()); }

void Metrics::add(Refusal reason) { this->refusals[static_cast<std::size_t>(reason)]->Increment(); }

void Metrics::add(Retry reason) { this->retries[static_cast<std::size_t>(reason)]->Increment(); }

void Metrics::add(Incident incident) { this->incidents[static_cast<std::size_t>(incident)]->Increment(); }

void Metrics::addRequest() { this->requests->Increment(); }

void Metrics::addControlBytes(std::size_t bytes) { this->controlByteCount->Increment(static_cast<double>(bytes)); }

void Metrics::addPlatformCall(std::string_view kind, std::string_view operation, std::string_view reason)
{
    ++this->platformCallTotal;
    this->platformCallCounts
        .Add({ { "kind", std::string { kind } }, { "operation", std::string { operation } },
            { "reason", std::string { reason } } })
        .Increment();
}

void Metrics::addRelayedChunk() { this->relayedChunks->Increment(); }

void Metrics::observeResponse(Duration firstByte, Duration total)
{
    this->firstByteSeconds->Observe(toSeconds(firstByte));
    this->responseSeconds->Observe(toSeconds(total));
}

void Metrics::setInFlight(std::size_t count) { this->inFlight->Set(static_cast<double>(count)); }

void Metrics::setStoreEra(std::uint64_t era) { this->storeEra->Set(static_cast<double>(era)); }

void Metrics::addRolloutAnswer(const std::string& service, const std::string& version, const std::string& result)
{
    this->rolloutAnswers.Add({ { "service", service }, { "version", version }, { "result", result } }).Increment();
}

void Metrics::setRolloutShare(const std::string& service, const std::string& version, double share)
{
    this->rolloutShares.Add({ { "service", service }, { "version", version } }).Set(share);
}

} // namespace berylwing
