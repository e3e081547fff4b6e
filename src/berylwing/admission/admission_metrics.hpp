#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <map>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace berylwing {

/** @brief Results of admission. */
enum class AdmissionResult {
    Admitted,
    /** Refused, since the service has no room for requests of this urgency. */
    NoRoom,
    /** Refused, since the workspace asks for more than its share. */
    OverShare,
    /** Refused, since there will be no room in the caller's time. */
    NoTime,
    /** Refused, since no endpoint has memory for the request. */
    NoMemory,
};

/** @brief Names of the results in metrics. */
inline constexpr EnumNames<AdmissionResult, 5> kAdmissionResultNames { {
    "admitted",
    "room",
    "share",
    "time",
    "memory",
} };

/** @brief Metrics of admission, by service. */
class AdmissionMetrics {
public:
    /** @brief Registers the metrics. @param registry Metrics of the host. */
    explicit AdmissionMetrics(prometheus::Registry& registry);

    /** @brief Counts a decision. @param service Service. @param urgency Urgency. @param result Result. */
    void add(std::string_view service, unsigned urgency, AdmissionResult result);

    /** @brief Counts a refusal of a workspace that asks for more than its share. @param service Service.
     * @param workspace Workspace; counted by name if it is one of the first few of the service. */
    void addOverShare(std::string_view service, std::string_view workspace);

    /** @brief Records for how long an answer waited at its endpoint. @param service Service. @param waitMs Wait. */
    void observeWait(std::string_view service, double waitMs);

    /** @brief Sets the room of a service and what callers ask of it. @param service Service. @param room Slots.
     * @param demand Slots. @param isUnderPressure Whether requests are refused. */
    void setRoom(std::string_view service, double room, double demand, bool isUnderPressure);

private:
    /** Workspaces of a service that have a label of their own. */
    static constexpr std::size_t kMaxWorkspaceLabels = 8;

    prometheus::Family<prometheus::Counter>& decisions;
    prometheus::Family<prometheus::Counter>& overShare;
    prometheus::Family<prometheus::Histogram>& waits;
    prometheus::Family<prometheus::Gauge>& rooms;
    prometheus::Family<prometheus::Gauge>& demands;
    prometheus::Family<prometheus::Gauge>& pressures;
    std::map<std::string, std::set<std::string, std::less<>>, std::less<>> labelledWorkspaces;
    /** Counters by service and urgency, which spares the search for their labels. */
    std::map<std::pair<std::string, unsigned>, std::array<prometheus::Counter*, kAdmissionResultNames.size()>,
        std::less<>>
        counters;
};

} // namespace berylwing
