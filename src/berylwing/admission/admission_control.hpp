#pragma once

#include "berylwing/admission/admission_metrics.hpp"
#include "berylwing/admission/admission_request.hpp"
#include "berylwing/admission/demand_meter.hpp"
#include "berylwing/admission/demand_view.hpp"
#include "berylwing/admission/service_room.hpp"
#include "berylwing/admission/share_plan.hpp"
#include "berylwing/admission/thinning.hpp"
#include "berylwing/admission/usual_timeouts.hpp"
#include "berylwing/core/token_bucket.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/** @brief What admission asks of its host. */
struct AdmissionHooks {
    /** Returns what the endpoints of a service can do. */
    std::function<ServiceCapacity(std::string_view service)> capacity;
    /** Returns the number of hosts. */
    std::function<FleetSize()> fleetSize;
};

/**
 * @brief Decides which requests are let in when a service has less room than callers ask for.
 *
 * It answers a burst of all callers, a flood of one workspace, and a loss of endpoints or hosts. Each host decides on
 * its own requests at once, by the demand and the loads that all hosts tell, so that all admit the same parts. No host
 * queues requests. Services whose endpoints tell no slots, and routes without an objective, are not limited.
 */
class AdmissionControl {
    struct Service {
        Service(std::uint32_t nameHash, TimePoint now);

        std::uint32_t hash;
        ServiceRoom room;
        std::vector<ClassShare> shares;
        /** Room that new requests leave, in slots. */
        double spareRoom = 0;
        /** Part of the fleet's demand that reaches this host. */
        double ownPart = 1;
        double demand = 0;
        double freshDemand = 0;
        /** Demand of new requests at earlier updates, the oldest first. */
        std::deque<double> history;
        /** Schedule of the returns that callers are told, in milliseconds of work. */
        TokenBucket returns;
        /** Means of the requests. */
        double slotMs = 0;
        double objectiveMs = 0;
        bool isLearned = false;
    };

    [[nodiscard]] Service& serviceOf(std::string_view name);
    void recordRequest(Service& service, const AdmissionRequest& request) const;
    [[nodiscard]] static bool isTooLate(const Service& service, const AdmissionRequest& request);
    /** Returns when there will be room for a refused caller; nothing if there will be none in its time. */
    [[nodiscard]] std::optional<Duration> planReturn(Service& service, const AdmissionRequest& request);
    /** Returns the time until new requests leave room; nothing if demand does not fall. */
    [[nodiscard]] static std::optional<Duration> timeUntilSpareRoom(const Service& service);
    void updateService(std::string_view name, Service& service, const ServiceDemand* demand, double ownDemand);
    [[nodiscard]] AdmissionDecision refuse(
        Service& service, const AdmissionRequest& request, const ClassShare& share, AdmissionFigures figures);
    void logPressure(std::string_view name, const Service& service, const ServiceCapacity& capacity);

public:
    /**
     * @brief Creates a control that admits all requests until there is pressure.
     * @param hostClock Clock of the host.
     * @param hostName Name of the host.
     * @param admissionHooks What it asks of its host.
     * @param admissionMetrics Metrics.
     * @param decisionLog Log of the host.
     */
    AdmissionControl(const Clock& hostClock, std::string_view hostName, AdmissionHooks admissionHooks,
        AdmissionMetrics& admissionMetrics, DecisionLog& decisionLog);

    /** @brief Switches the control on or off. @param isOn Whether it decides; otherwise all requests are admitted. */
    void setEnabled(bool isOn) noexcept { this->isEnabled = isOn; }

    /** @brief Decides on a request. @param request Request. @return Decision. */
    [[nodiscard]] AdmissionDecision decide(const AdmissionRequest& request);

    /**
     * @brief Estimates when the first attempt of a request was made, and learns with which timeouts callers begin.
     * @param service Service.
     * @param route Route.
     * @param timeout Time for which the caller waits.
     * @return Time since then; zero for a first attempt.
     */
    [[nodiscard]] Duration sinceFirstAttempt(std::string_view service, std::string_view route, Duration timeout);

    /** @brief Records for how long an answer waited at its endpoint. @param service Service. @param waitMs Wait. */
    void recordWait(std::string_view service, double waitMs);

    /** @brief Records that a full endpoint rejected a request. @param service Service. */
    void recordRejection(std::string_view service);

    /** @brief Checks if a rejected request may be sent to another endpoint. @param service Service. */
    [[nodiscard]] bool canRetry(std::string_view service) const;

    /** @brief Checks if requests to a service may be refused now. @param service Service. */
    [[nodiscard]] bool isUnderPressure(std::string_view service) const;

    /** @brief Updates room and shares from what is known; called several times a second. */
    void update();

    /** @brief Reports the demand of this host. @return Report for other hosts. */
    [[nodiscard]] DemandReport ownReport() const;

    /** @brief Returns the demand of the other hosts. @return View to which reports are applied. */
    [[nodiscard]] DemandView& view() noexcept { return this->demandView; }

private:
    const Clock& clock;
    AdmissionHooks hooks;
    AdmissionMetrics& metrics;
    DecisionLog& log;
    bool isEnabled = true;
    DemandMeter meter;
    DemandView demandView;
    UsualTimeouts timeouts;
    Thinning thinning;
    std::map<std::string, Service, std::less<>> services;
    /** Hosts whose demand was included in the last update, and the age of their reports. */
    double hostCount = 1;
    double heardHosts = 1;
    double listedHosts = 1;
    Duration viewAge {};
};

} // namespace berylwing
