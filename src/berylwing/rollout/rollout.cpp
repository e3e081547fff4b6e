#include "berylwing/rollout/rollout.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

/** Part of the share that is used, as some of the counted requests are refused before they reach an endpoint. */
constexpr double kShareMargin = 0.9;
/** Part of the other versions' slots that the version needs before all requests move to it. */
constexpr double kMinSlotRatio = 0.5;
/** Answers to requests that were sent before the end of the move arrive within this time, or digests tell of them. */
constexpr Duration kSettleTime { 1500 };

} // namespace

Rollout::Rollout(RolloutOrder rolloutOrder, double roundingPosition, double maxShare, TimePoint now)
    : exposure { roundingPosition }
    , current { std::move(rolloutOrder) }
    , trialShare { kShareMargin * maxShare }
    , startedAt { now }
    , stageSince { now }
    , schedule { this->current.duration, {} }
{
    if (this->current.state != RolloutState::New) {
        // Until another host tells the age, half of the time counts as over.
        this->isStartAssumed = true;
        this->startedAt -= this->current.duration / 2;
    }
    this->setStored(this->current.state, this->current.revision, now);
    if (!this->isDecided() && this->current.duration <= Duration {})
        this->halt(HaltReason::DeadlinePassed, now);
}

void Rollout::enter(RolloutStage next, TimePoint since, HaltReason why)
{
    if (next <= this->currentStage || this->isDecided())
        return;
    this->currentStage = next;
    this->stageSince = since;
    this->reason = why;
    if (next == RolloutStage::Halted)
        this->wanted = RolloutState::Reverted;
}

void Rollout::halt(HaltReason why, TimePoint now) { this->enter(RolloutStage::Halted, now, why); }

void Rollout::setStored(RolloutState state, std::uint64_t revision, TimePoint now)
{
    this->current.revision = revision;
    this->current.state = state;
    if (this->isDecided()) {
        this->wanted = this->verdict;
        return;
    }
    if (!isFinal(state))
        return;
    if (state == RolloutState::Reverted)
        this->enter(RolloutStage::Halted, now, HaltReason::Verdict);
    this->verdict = state;
    this->wanted = state;
}

void Rollout::merge(const RolloutProgress& progress, TimePoint now)
{
    if (progress.age) {
        const auto start = now - *progress.age;
        this->startedAt = this->isStartAssumed ? start : std::min(this->startedAt, start);
        this->isStartAssumed = false;
    }
    const auto since = now - progress.stageAge;
    if (progress.stage > this->currentStage)
        this->enter(
            progress.stage, since, progress.stage == RolloutStage::Halted ? HaltReason::OtherHost : HaltReason::None);
    else if (progress.stage == this->currentStage)
        this->stageSince = std::min(this->stageSince, since);
}

RolloutProgress Rollout::progress(TimePoint now) const
{
    RolloutProgress told { this->currentStage, std::nullopt, now - this->stageSince };
    if (!this->isStartAssumed)
        told.age = this->age(now);
    return told;
}

void Rollout::update(const RolloutView& view, Duration promotionDelay, TimePoint now)
{
    if (this->isDecided() || this->currentStage == RolloutStage::Halted)
        return;
    this->schedule = RolloutSchedule { this->current.duration, view.longestAnswer };
    this->test.update(this->evidence.all(), now);
    if (this->test.isBad()) {
        this->halt(HaltReason::Evidence, now);
        return;
    }
    if (this->currentStage == RolloutStage::Trial) {
        this->updateTrial(view, promotionDelay, now);
        return;
    }
    const auto stageAge = now - this->stageSince;
    const bool isSettled
        = stageAge >= this->schedule.shiftLength + kSettleTime && view.otherInFlight == 0 && view.isInTouch;
    const bool isDue = this->age(now) >= this->schedule.verdictAt && stageAge >= this->schedule.shiftLength;
    if ((isSettled || isDue) && !this->test.isDoubtful())
        this->wanted = RolloutState::Completed;
    else if (this->age(now) >= this->current.duration && this->test.isDoubtful())
        this->halt(HaltReason::Doubt, now);
}

void Rollout::updateTrial(const RolloutView& view, Duration promotionDelay, TimePoint now)
{
    const auto age = this->age(now);
    const bool hasEndpoints = view.trialEndpoints > 0
        && static_cast<double>(view.trialSlots) >= kMinSlotRatio * static_cast<double>(view.otherSlots);
    // A host that hears neither the others nor the store cannot tell that they have stopped the version.
    const bool isInformed = view.isInTouch || view.isStoreCurrent;
    if (age >= this->schedule.trialEnd + promotionDelay && hasEndpoints && isInformed && !this->test.isDoubtful()) {
        this->enter(RolloutStage::Shift, now);
        return;
    }
    if (age >= this->schedule.doubtEnd && this->test.isDoubtful())
        this->halt(HaltReason::Doubt, now);
    else if (age >= this->schedule.verdictAt && !hasEndpoints)
        this->halt(HaltReason::NoEndpoints, now);
}

double Rollout::share(TimePoint now) const
{
    if (this->verdict == RolloutState::Completed)
        return 1;
    switch (this->currentStage) {
    case RolloutStage::Trial:
        return this->trialShare;
    case RolloutStage::Shift: {
        const auto length = static_cast<double>(this->schedule.shiftLength.count());
        const auto moved = static_cast<double>((now - this->stageSince).count()) / std::max(length, 1.0);
        return std::clamp(this->trialShare + (1 - this->trialShare) * moved, this->trialShare, 1.0);
    }
    default:
        return 0;
    }
}

} // namespace berylwing
