#pragma once

#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/step.hpp"
#include "support/test_fleet.hpp"
#include <functional>
#include <string>

namespace berylwing::test {

/** @brief Faults that the matrix brings about at each step. */
enum class Fault {
    KillHost,
    PauseHost,
    CutHostSilently,
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
    /** The platform is down, and the host is killed before the platform returns. */
    PlatformDownThenHostKilled,
    /** Answers are lost, and the host is killed before they come again. */
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

/** @brief One cell of the matrix: a fault brought about when a step is reached for the first time. */
class FaultCell {
public:
    /** @brief Arms the cell. @param endpoint Endpoint at which endpoint faults are brought about. */
    FaultCell(TestFleet& fleet, Step step, Fault fault, std::string endpoint);

    ~FaultCell();
    FaultCell(const FaultCell&) = delete;
    FaultCell& operator=(const FaultCell&) = delete;

    /** @brief Tells whether the step was reached. */
    [[nodiscard]] bool wasReached() const noexcept { return !this->victim.empty(); }

    /** @brief Ends the fault; a killed host is started again. */
    void end();

private:
    void begin(const std::string& host);

    TestFleet& fleet;
    Step step;
    Fault fault;
    std::string endpoint;
    std::string victim;
    std::string domain;
};

/** @brief Runs every fault at every step; a new step or fault is covered without being listed anywhere. */
void forEachCell(const std::function<void(Step, Fault)>& run);

} // namespace berylwing::test
