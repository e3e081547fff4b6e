#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/reasons.hpp"
#include <array>
#include <cstdint>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Prometheus metrics of one host. */
class Metrics {
    template <std::size_t Count> using Counters = std::array<prometheus::Counter*, Count>;

public:
    /** @brief Registers all metrics with the value zero. */
    Metrics();

    /** @brief Returns a refusal counter. @param reason Reason. @return Refusals for this reason so far. */
    [[nodiscard]] std::uint64_t count(Refusal reason) const;

    /** @brief Returns a retry counter. @param reason Reason. @return Retries for this reason so far. */
    [[nodiscard]] std::uint64_t count(Retry reason) const;

    /** @brief Returns an incident counter. @param incident Incident. @return Occurrences so far. */
    [[nodiscard]] std::uint64_t count(Incident incident) const;

    /** @brief Returns the control traffic. @return Bytes sent between hosts, other than request data, so far. */
    [[nodiscard]] std::uint64_t controlBytes() const;

    /** @brief Returns the number of platform calls. @return Calls so far. */
    [[nodiscard]] std::uint64_t platformCalls() const noexcept { return this->platformCallTotal; }

    /** @brief Returns where packages register metrics of their own. @return Registry of the host. */
    [[nodiscard]] prometheus::Registry& families() noexcept { return *this->registry; }

    /** @brief Serializes all metrics. @return Text in the Prometheus exposition format. */
    [[nodiscard]] std::string serialize() const;

    /** @brief Counts a refusal. @param reason Reason. */
    void add(Refusal reason);

    /** @brief Counts a retry. @param reason Reason. */
    void add(Retry reason);

    /** @brief Counts an incident. @param incident Incident. */
    void add(Incident incident);

    /** @brief Counts an accepted request. */
    void addRequest();

    /** @brief Counts control traffic between hosts. @param bytes Bytes sent. */
    void addControlBytes(std::size_t bytes);

    /**
     * @brief Counts a call to the platform.
     * @param kind Kind of the objects.
     * @param operation Operation.
     * @param reason Reason of the call.
     */
    void addPlatformCall(std::string_view kind, std::string_view operation, std::string_view reason);

    /** @brief Counts a relayed chunk of a response. */
    void addRelayedChunk();

    /**
     * @brief Records the latencies of a complete response.
     * @param firstByte Time from the request to the first byte.
     * @param total Time from the request to the end of the response.
     */
    void observeResponse(Duration firstByte, Duration total);

    /** @brief Sets the number of requests in flight at the endpoints that this host owns. @param count Requests. */
    void setInFlight(std::size_t count);

    /** @brief Sets the latest known era of the platform's store. @param era Era. */
    void setStoreEra(std::uint64_t era);

    /**
     * @brief Counts an answer during a roll-out.
     * @param service Service.
     * @param version Version on trial, or a word for all others.
     * @param result Result of the answer.
     */
    void addRolloutAnswer(const std::string& service, const std::string& version, const std::string& result);

    /**
     * @brief Sets the part of a service's requests that a version on trial may get.
     * @param service Service.
     * @param version Version.
     * @param share Part from 0 to 1.
     */
    void setRolloutShare(const std::string& service, const std::string& version, double share);

private:
    std::shared_ptr<prometheus::Registry> registry;
    Counters<kRefusalNames.size()> refusals;
    Counters<kRetryNames.size()> retries;
    Counters<kIncidentNames.size()> incidents;
    prometheus::Counter* requests;
    prometheus::Counter* controlByteCount;
    prometheus::Family<prometheus::Counter>& platformCallCounts;
    std::uint64_t platformCallTotal = 0;
    prometheus::Family<prometheus::Counter>& rolloutAnswers;
    prometheus::Family<prometheus::Gauge>& rolloutShares;
    prometheus::Counter* relayedChunks;
    prometheus::Gauge* inFlight;
    prometheus::Gauge* storeEra;
    prometheus::Histogram* firstByteSeconds;
    prometheus::Histogram* responseSeconds;
};

} // namespace berylwing
