#pragma once

#include "berylwing/telemetry/decision_log.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <cstdint>
#include <functional>
#include <string_view>
#include <utility>

namespace berylwing {

/**
 * @brief Latest era of the platform's store that this host knows.
 *
 * The era rises each time that the store is restored from a copy. What was read in an earlier era may be newer than the
 * store or missing from it, and its revisions have been given out again, so it has to be read anew.
 */
class StoreEra {
public:
    /**
     * @brief Creates the era of a host that has not heard of the store.
     * @param hostMetrics Metrics of the host.
     * @param decisionLog Decision log of the host.
     * @param advancedHook Called each time that the known era rises.
     */
    StoreEra(Metrics& hostMetrics, DecisionLog& decisionLog, std::function<void()> advancedHook)
        : metrics { hostMetrics }
        , log { decisionLog }
        , reportAdvance { std::move(advancedHook) }
    {
    }

    /**
     * @brief Takes note of an era.
     * @param era Era named by the store or by another host; zero if it named none.
     * @param source Host that named it; empty for the store.
     */
    void observe(std::uint64_t era, std::string_view source);

    /** @brief Returns the latest known era. @return Era; zero before the first one. */
    [[nodiscard]] std::uint64_t current() const noexcept { return this->latest; }

private:
    Metrics& metrics;
    DecisionLog& log;
    std::function<void()> reportAdvance;
    std::uint64_t latest = 0;
};

} // namespace berylwing
