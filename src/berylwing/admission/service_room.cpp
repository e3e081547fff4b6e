#include "berylwing/admission/service_room.hpp"

#include <algorithm>
#include <cmath>

namespace berylwing {

namespace {

/** Part of the objective for which a request may wait at an endpoint. */
constexpr double kWaitShare = 0.2;
/** Time in which the queue is led back to its length; views of other hosts are up to a third of it old. */
constexpr double kQueueCorrectionMs = 1500;
/** Bounds of the room, as parts of the slots. */
constexpr double kMinRoom = 0.25;
constexpr double kMaxRoom = 1.5;
/** Parts of the slots: demand from which on the service may be under pressure, and below which pressure ends. */
constexpr double kPressureLoad = 0.85;
constexpr double kCalmLoad = 0.7;
/** Part of the demand for which the room must suffice without pressure. */
constexpr double kSufficientRoom = 0.97;
/** Part of the slots that is free only if the service is not short of room. */
constexpr double kFreePart = 0.25;
/** Time without a shortage after which pressure ends. */
constexpr Duration kCalmTime { 500 };
/** Averaging time of the waits of this host's own answers. */
constexpr double kWaitAveragingMs = 700;
/** Least weight of an answer in that average. */
constexpr double kMinWaitWeight = 0.1;
/** Time after which an answer tells nothing any more. */
constexpr Duration kWaitTtl { 1500 };
/** Wait by which a rejection counts, as a multiple of the wait that is allowed. */
constexpr double kRejectionWait = 4;
/** Multiple of the allowed wait of own answers that shows a shortage that no view tells of. */
constexpr double kLongWait = 2;
/** Change of the correction in a millisecond of answers that wait too long, and the time in which it fades. */
constexpr double kCorrectionPerMs = 0.001;
/** The same while the loads of most hosts are known, which lead the queue to its length by themselves. */
constexpr double kReliableCorrectionPerMs = 0.0001;
constexpr double kCorrectionFadeMs = 3000;
constexpr double kCalmFadeMs = 500;
constexpr double kMaxCorrection = 3;
constexpr double kMaxUpdateMs = 1000;

} // namespace

bool ServiceRoom::isWaitKnown(TimePoint now) const noexcept
{
    return this->ownWaitAt != TimePoint {} && now < this->ownWaitAt + kWaitTtl;
}

void ServiceRoom::recordWait(double waitMs, TimePoint now)
{
    const auto age = static_cast<double>((now - this->ownWaitAt).count());
    const auto weight = this->isWaitKnown(now) ? std::max(kMinWaitWeight, 1 - std::exp(-age / kWaitAveragingMs)) : 1;
    this->ownWaitMs += weight * (std::max(waitMs, 0.0) - this->ownWaitMs);
    this->ownWaitAt = now;
}

void ServiceRoom::recordRejection(TimePoint now) { this->recordWait(kRejectionWait * this->targetWait, now); }

void ServiceRoom::updateCorrection(double elapsedMs, bool isViewReliable, TimePoint now)
{
    const auto fadeMs = this->isPressed ? kCorrectionFadeMs : kCalmFadeMs;
    this->correction -= this->correction * std::min(1.0, elapsedMs / fadeMs);
    if (this->isPressed && this->isWaitKnown(now)) {
        const auto excess = std::clamp((this->ownWaitMs - this->targetWait) / this->targetWait, -1.0, 1.0);
        this->correction -= (isViewReliable ? kReliableCorrectionPerMs : kCorrectionPerMs) * elapsedMs * excess;
    }
    this->correction = std::clamp(this->correction, -kMaxCorrection, kMaxCorrection);
}

void ServiceRoom::update(const RoomInputs& inputs, TimePoint now)
{
    const auto elapsedMs = std::clamp(static_cast<double>((now - this->updatedAt).count()), 0.0, kMaxUpdateMs);
    this->updatedAt = now;
    const auto& capacity = inputs.capacity;
    this->currentSlots = capacity.slots;
    if (capacity.slots <= 0 || inputs.slotMs <= 0 || inputs.objectiveMs <= 0) {
        this->isPressed = false;
        this->currentRoom = inputs.demand;
        return;
    }
    this->targetWait
        = std::max(1.0, std::min(kWaitShare * inputs.objectiveMs, (inputs.objectiveMs - inputs.slotMs) / 2));
    const auto load = capacity.load / std::clamp(inputs.knownHosts, 0.01, 1.0);
    const auto targetLoad = capacity.slots * (1 + this->targetWait / inputs.slotMs);
    const auto correctionMs = std::max(kQueueCorrectionMs, inputs.slotMs);
    const auto byQueue = std::clamp(capacity.slots + (targetLoad - load) * inputs.slotMs / correctionMs,
        kMinRoom * capacity.slots, kMaxRoom * capacity.slots);
    this->updateCorrection(elapsedMs, inputs.isViewReliable, now);
    this->currentRoom = std::exp(this->correction) * std::min(byQueue, inputs.demand);
    const bool hasFreeSlots = inputs.isViewReliable && capacity.freeSlots >= kFreePart * capacity.slots;
    // All hosts see free slots late and together, so that they fill them at a rate that is not much higher.
    if (hasFreeSlots)
        this->currentRoom = std::max(this->currentRoom, byQueue);
    if (this->currentRoom >= inputs.demand)
        this->currentRoom = std::max(this->currentRoom, byQueue);
    this->isQueueShort = load <= targetLoad;
    this->expectedWaitMs = std::max(0.0, load - capacity.slots) * inputs.slotMs / capacity.slots;
    if (this->isWaitKnown(now))
        this->expectedWaitMs = std::max(this->expectedWaitMs, this->ownWaitMs);

    const bool isWaitLong = this->isWaitKnown(now) && this->ownWaitMs > kLongWait * this->targetWait;
    const bool isLoaded = inputs.demand > kPressureLoad * capacity.slots || load > targetLoad;
    const bool isShort = !hasFreeSlots
        && ((isLoaded && this->currentRoom < kSufficientRoom * inputs.demand) || (isWaitLong && !inputs.isViewReliable)
            || (isWaitLong && isLoaded));
    // A host that hears few others takes them for like itself; its own answers tell if nothing is short.
    const bool isWaitShort = this->isWaitKnown(now) && this->ownWaitMs < this->targetWait / 2;
    if (isShort && (inputs.isViewReliable || !isWaitShort))
        this->isPressed = true;
    if (isShort || (!hasFreeSlots && inputs.demand > kCalmLoad * capacity.slots))
        this->calmSince = now;
    if (this->isPressed && now - this->calmSince >= kCalmTime)
        this->isPressed = false;
}

} // namespace berylwing
