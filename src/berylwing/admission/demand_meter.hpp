#pragma once

#include "berylwing/admission/demand.hpp"
#include "berylwing/core/clock.hpp"
#include "berylwing/core/event_rate.hpp"
#include <cstdint>
#include <functional>
#include <map>
#include <string_view>

namespace berylwing {

/** @brief Measures the work that callers ask of the services through this host. */
class DemandMeter {
    struct ClassRates {
        ClassRates();

        EventRate fresh;
        EventRate late;
        EventRate promised;
        /** Rates of the workspaces by hash. */
        std::map<std::uint32_t, EventRate> workspaces;
    };

    using Classes = std::map<unsigned, ClassRates>;

    [[nodiscard]] ClassRates& ratesOf(std::uint32_t service, unsigned urgency);
    [[nodiscard]] ClassDemand measure(unsigned urgency, const ClassRates& rates) const;
    /** Drops the workspace that asks least if there are too many. */
    void limitWorkspaces(ClassRates& rates) const;

public:
    /** @brief Creates a meter of no demand. @param hostClock Clock of the host. */
    explicit DemandMeter(const Clock& hostClock)
        : clock { hostClock }
    {
    }

    /**
     * @brief Counts a request, also if it is refused.
     * @param service Hash of the service.
     * @param urgency Urgency.
     * @param workspace Hash of the workspace.
     * @param slotMs Time for which it would occupy a slot.
     * @param isLate Whether it cannot be answered within its objective any more.
     */
    void record(std::uint32_t service, unsigned urgency, std::uint32_t workspace, double slotMs, bool isLate);

    /** @brief Counts a refused request that was told to come back. @param service Hash. @param urgency Urgency.
     * @param slotMs Time for which it will occupy a slot. */
    void recordPromise(std::uint32_t service, unsigned urgency, double slotMs);

    /**
     * @brief Reports the demand of this host.
     * @param isDetailed Checks if a service is near its limit, so that its demand is reported by urgency and workspace.
     * @return Report.
     */
    [[nodiscard]] DemandReport report(const std::function<bool(std::uint32_t service)>& isDetailed) const;

private:
    const Clock& clock;
    std::map<std::uint32_t, Classes> services;
};

/** @brief Hashes a name of a service or a workspace for messages between hosts. @param name Name. @return Hash. */
[[nodiscard]] std::uint32_t hashDemandName(std::string_view name) noexcept;

} // namespace berylwing
