#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/reasons.hpp"
#include <array>
#include <cstdint>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace berylwing {

/** @brief Counters and gauges of one host. */
class Metrics {
    template <std::size_t Count> using Counters = std::array<prometheus::Counter*, Count>;

public:
    /** @brief Creates all metrics with the value zero. */
    Metrics();

    /** @brief Reads a refusal counter. @param reason Reason. @return Refusals for this reason so far. */
    [[nodiscard]] std::uint64_t count(Refusal reason) const;

    /** @brief Reads a retry counter. @param reason Reason. @return Retries for this reason so far. */
    [[nodiscard]] std::uint64_t count(Retry reason) const;

    /** @brief Reads an incident counter. @param incident Incident. @return Occurrences so far. */
    [[nodiscard]] std::uint64_t count(Incident incident) const;

    /** @brief Reads the control traffic. @return Bytes sent for control so far. */
    [[nodiscard]] std::uint64_t controlBytes() const;

    /** @brief Reads the calls to the platform. @return Calls so far. */
    [[nodiscard]] std::uint64_t platformCalls() const;

    /** @brief Formats all metrics. @return Text in the Prometheus exposition format. */
    [[nodiscard]] std::string serialize() const;

    /** @brief Counts a refusal. @param reason Reason. */
    void add(Refusal reason);

    /** @brief Counts a retry. @param reason Reason. */
    void add(Retry reason);

    /** @brief Counts an incident. @param incident Incident. */
    void add(Incident incident);

    /** @brief Counts an accepted request. */
    void addRequest();

    /** @brief Counts control traffic. @param bytes Bytes sent. */
    void addControlBytes(std::size_t bytes);

    /** @brief Counts a call to the platform. */
    void addPlatformCall();

    /** @brief Counts a relayed chunk of an answer. */
    void addRelayedChunk();

    /** @brief Takes the times of a whole answer. @param firstByte Time to its first byte. @param total Time to its end.
     */
    void observeResponse(Duration firstByte, Duration total);

    /** @brief Sets the number of requests in flight at this host's endpoints. @param count Requests. */
    void setInFlight(std::size_t count);

private:
    std::shared_ptr<prometheus::Registry> registry;
    Counters<kRefusalNames.size()> refusals;
    Counters<kRetryNames.size()> retries;
    Counters<kIncidentNames.size()> incidents;
    prometheus::Counter* requests;
    prometheus::Counter* controlByteCount;
    prometheus::Counter* platformCallCount;
    prometheus::Counter* relayedChunks;
    prometheus::Gauge* inFlight;
    prometheus::Histogram* firstByteSeconds;
    prometheus::Histogram* responseSeconds;
};

} // namespace berylwing
