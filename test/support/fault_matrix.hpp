#pragma once

#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/step.hpp"
#include "support/test_fleet.hpp"
#include <functional>
#include <string>

namespace berylwing::test {

/** @brief Faults that the matrix injects at each step of request handling. */
enum class Fault {
    KillHost,
    PauseHost,
    /** Messages to and from the host are dropped. */
    CutHostSilently,
    /** Messages to and from the host fail with an error. */
    CutHostRefusing,
    CutHostFromPlatform,
    PlatformDown,
    PlatformAnswersLost,
    PlatformWritesDelayed,
    PlatformSlow,
    EndpointRestarts,
    EndpointDown,
    EndpointFrozen,
    KillHostAndPlatformDown,
    PauseHostAndAnswersLost,
    /** The platform is down, and the host is killed before the platform recovers. */
    PlatformDownThenHostKilled,
    /** Responses of the platform are lost, and the host is killed before the platform recovers. */
    AnswersLostThenHostKilled,
};

inline constexpr EnumNames<Fault, 16> kFaultNames { {
    "kill_host",
    "pause_host",
    "cut_host_silently",
    "cut_host_refusing",
    "cut_host_from_platform",
    "platform_down",
    "platform_answers_lost",
    "platform_writes_delayed",
    "platform_slow",
    "endpoint_restarts",
    "endpoint_down",
    "endpoint_frozen",
    "kill_host_and_platform_down",
    "pause_host_and_answers_lost",
    "platform_down_then_host_killed",
    "answers_lost_then_host_killed",
} };

/** @brief One cell of the fault matrix: injects a fault when any host first reaches a step. */
class FaultCell {
public:
    /**
     * @brief Installs the step observer that injects the fault.
     * @param fleet Fleet under test.
     * @param step Step at which the fault is injected.
     * @param fault Fault.
     * @param endpoint Endpoint that the endpoint faults affect.
     */
    FaultCell(TestFleet& fleet, Step step, Fault fault, std::string endpoint);

    ~FaultCell();
    FaultCell(const FaultCell&) = delete;
    FaultCell& operator=(const FaultCell&) = delete;

    /** @brief Checks if a host has reached the step. */
    [[nodiscard]] bool wasReached() const noexcept { return !this->victim.empty(); }

    /** @brief Ends the fault and restarts a killed host. */
    void end();

private:
    /** Injects the fault at the host that has reached the step. */
    void begin(const std::string& host);

    TestFleet& fleet;
    Step step;
    Fault fault;
    std::string endpoint;
    std::string victim;
    std::string domain;
};

/** @brief Calls a function for each combination of the steps in `kStepNames` and the faults in `kFaultNames`. */
void forEachCell(const std::function<void(Step, Fault)>& run);

} // namespace berylwing::test
