#pragma once

#include "berylwing/core/clock.hpp"

namespace berylwing {

/** @brief What the endpoints of a service that this host reaches can do. */
struct ServiceCapacity {
    /** Requests that they run at the same time; zero if they do not tell. */
    double slots = 0;
    /** Slots that are known to be free. */
    double freeSlots = 0;
    /** Requests of all hosts at the endpoints, running or waiting. */
    double load = 0;
};

/** @brief What the room of a service depends on at some time. */
struct RoomInputs {
    ServiceCapacity capacity;
    /** Work that callers ask of the service through all hosts, in slots. */
    double demand = 0;
    /** Time for which a request occupies a slot, on average. */
    double slotMs = 0;
    /** Latency objective of the requests, on average. */
    double objectiveMs = 0;
    /** Part of the hosts whose loads are included; those of the others are not known yet. */
    double knownHosts = 1;
    /** Whether most of the listed hosts were heard of late, so that slots without a known request are free. */
    bool isViewReliable = true;
};

/**
 * @brief Estimates how much work of all hosts a service can take so that its requests wait only for a short time.
 *
 * The endpoints' own queues are the only queue. Their length by all hosts' loads is kept near the length at which a
 * request waits for a part of its objective: a rate above what the slots can do while it is shorter, a rate below while
 * it is longer. What this host's own answers and rejections tell corrects the result, so that wrong loads, paces and
 * demands do no lasting harm. The estimate also tells when the service is under pressure; without pressure nothing is
 * refused.
 */
class ServiceRoom {
public:
    /** @brief Creates an estimate for a service without pressure. */
    ServiceRoom() = default;

    /** @brief Updates the estimate. @param inputs What is known now. @param now Current time. */
    void update(const RoomInputs& inputs, TimePoint now);

    /** @brief Records for how long an answer waited at its endpoint. @param waitMs Milliseconds. @param now Time. */
    void recordWait(double waitMs, TimePoint now);

    /** @brief Records that a full endpoint rejected a request. @param now Current time. */
    void recordRejection(TimePoint now);

    /** @brief Checks if the service has less room than is asked of it. @return True until demand is clearly lower. */
    [[nodiscard]] bool isUnderPressure() const noexcept { return this->isPressed; }

    /** @brief Returns the room. @return Slots' worth of work. */
    [[nodiscard]] double room() const noexcept { return this->currentRoom; }

    /** @brief Returns the slots of the endpoints in reach. @return Slots; zero if they do not tell. */
    [[nodiscard]] double slots() const noexcept { return this->currentSlots; }

    /** @brief Estimates the wait of a request that is sent now. @return Milliseconds. */
    [[nodiscard]] double waitMs() const noexcept { return this->expectedWaitMs; }

    /** @brief Checks if the queue has room, so that a rejected request may be sent again. */
    [[nodiscard]] bool hasQueueRoom() const noexcept { return !this->isPressed || this->isQueueShort; }

private:
    /** Adapts the correction to what this host's own answers tell. */
    void updateCorrection(double elapsedMs, bool isViewReliable, TimePoint now);
    [[nodiscard]] bool isWaitKnown(TimePoint now) const noexcept;

    bool isPressed = false;
    bool isQueueShort = true;
    double currentRoom = 0;
    double currentSlots = 0;
    double expectedWaitMs = 0;
    /** Mean wait of this host's own answers; a rejection counts as a long wait. */
    double ownWaitMs = 0;
    TimePoint ownWaitAt {};
    /** Logarithm of the factor by which this host's own answers correct the room. */
    double correction = 0;
    double targetWait = 0;
    TimePoint updatedAt {};
    /** Time since which the service could have left its pressure. */
    TimePoint calmSince {};
};

} // namespace berylwing
