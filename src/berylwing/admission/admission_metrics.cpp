#include "berylwing/admission/admission_metrics.hpp"

namespace berylwing {

namespace {

constexpr double kMsPerSecond = 1000;

const prometheus::Histogram::BucketBoundaries& waitBoundaries()
{
    static const prometheus::Histogram::BucketBoundaries kBoundaries { 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1,
        2.5 };
    return kBoundaries;
}

} // namespace

AdmissionMetrics::AdmissionMetrics(prometheus::Registry& registry)
    : decisions { prometheus::BuildCounter()
                      .Name("berylwing_admissions_total")
                      .Help("Decisions on requests, by service, urgency and result")
                      .Register(registry) }
    , overShare { prometheus::BuildCounter()
                      .Name("berylwing_over_share_refusals_total")
                      .Help("Refusals of workspaces that ask for more than their share")
                      .Register(registry) }
    , waits { prometheus::BuildHistogram()
                  .Name("berylwing_endpoint_wait_seconds")
                  .Help("Time for which requests waited at endpoints")
                  .Register(registry) }
    , rooms { prometheus::BuildGauge()
                  .Name("berylwing_service_room_slots")
                  .Help("Work of all hosts that a service is given")
                  .Register(registry) }
    , demands { prometheus::BuildGauge()
                    .Name("berylwing_service_demand_slots")
                    .Help("Work that callers ask of a service through all hosts")
                    .Register(registry) }
    , pressures { prometheus::BuildGauge()
                      .Name("berylwing_service_pressure")
                      .Help("Whether a service is under pressure")
                      .Register(registry) }
{
}

void AdmissionMetrics::add(std::string_view service, unsigned urgency, AdmissionResult result)
{
    const std::pair<std::string, unsigned> key { std::string { service }, urgency };
    auto found = this->counters.find(key);
    if (found == this->counters.end())
        found = this->counters.emplace(key, std::array<prometheus::Counter*, kAdmissionResultNames.size()> {}).first;
    auto*& counter = found->second.at(static_cast<std::size_t>(result));
    if (counter == nullptr)
        counter = &this->decisions.Add({ { "service", key.first }, { "urgency", std::to_string(urgency) },
            { "result", std::string { kAdmissionResultNames[result] } } });
    counter->Increment();
}

void AdmissionMetrics::addOverShare(std::string_view service, std::string_view workspace)
{
    auto& labelled = this->labelledWorkspaces[std::string { service }];
    const bool isLabelled = labelled.contains(workspace) || labelled.size() < kMaxWorkspaceLabels;
    std::string label { isLabelled ? workspace : "others" };
    if (isLabelled)
        labelled.insert(label);
    this->overShare.Add({ { "service", std::string { service } }, { "workspace", std::move(label) } }).Increment();
}

void AdmissionMetrics::observeWait(std::string_view service, double waitMs)
{
    this->waits.Add({ { "service", std::string { service } } }, waitBoundaries()).Observe(waitMs / kMsPerSecond);
}

void AdmissionMetrics::setRoom(std::string_view service, double room, double demand, bool isUnderPressure)
{
    const prometheus::Labels labels { { "service", std::string { service } } };
    this->rooms.Add(labels).Set(room);
    this->demands.Add(labels).Set(demand);
    this->pressures.Add(labels).Set(isUnderPressure ? 1 : 0);
}

} // namespace berylwing
