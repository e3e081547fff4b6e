#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include "berylwing/rollout/evidence_pool.hpp"
#include "berylwing/rollout/exposure.hpp"
#include "berylwing/rollout/order.hpp"
#include "berylwing/rollout/schedule.hpp"
#include "berylwing/rollout/version_comparison.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace berylwing {

/** @brief Stage of an order at a host. The later one of two hosts' stages holds for both. */
enum class RolloutStage {
    /** The version gets a small share of the requests. */
    Trial,
    /** The requests move to the version. */
    Shift,
    /** The version gets no requests. */
    Halted,
};

/** @brief Names of the stages. */
inline constexpr EnumNames<RolloutStage, 3> kRolloutStageNames { {
    "trial",
    "shift",
    "halted",
} };

/** @brief Reason for which a version gets no requests. */
enum class HaltReason {
    None,
    /** The evidence suffices for a bad version. */
    Evidence,
    /** The evidence pointed to a bad version until the time was over. */
    Doubt,
    /** Another host has stopped it. */
    OtherHost,
    /** The store has the verdict. */
    Verdict,
    /** The deadline had passed when the order came. */
    DeadlinePassed,
    /** No endpoint of the version could take the requests in time, or the service is unknown. */
    NoEndpoints,
    /** Another order for the service was in progress. */
    OtherOrder,
    /** The order was removed or replaced. */
    Withdrawn,
};

/** @brief Names of the reasons. */
inline constexpr EnumNames<HaltReason, 9> kHaltReasonNames { {
    "none",
    "evidence",
    "doubt",
    "other_host",
    "verdict",
    "deadline_passed",
    "no_endpoints",
    "other_order",
    "withdrawn",
} };

/** @brief What a host sees of the endpoints of an order's service. */
struct RolloutView {
    /** Endpoints of other versions that are listed, and the slots of those that may get requests. */
    std::size_t otherEndpoints = 0;
    std::uint64_t otherSlots = 0;
    /** The same of the version on trial. */
    std::size_t trialEndpoints = 0;
    std::uint64_t trialSlots = 0;
    /** Requests of all hosts at endpoints of other versions. */
    std::uint64_t otherInFlight = 0;
    /** Whether recent loads of all hosts are known. */
    bool isInTouch = false;
    /** Whether the orders are known as the store has them, so that a verdict of others is known, too. */
    bool isStoreCurrent = false;
    /** Longest time for which a request of the service may last. */
    Duration longestAnswer {};
};

/** @brief What hosts tell each other of an order, besides the evidence. */
struct RolloutProgress {
    RolloutStage stage = RolloutStage::Trial;
    /** Time since the order; nothing if the sender does not know it. */
    std::optional<Duration> age;
    /** Time since the stage began. */
    Duration stageAge {};
};

/**
 * @brief Progress of one order at this host: stage, share of the version, and the verdict that it calls for.
 *
 * A host alone decides from what it knows; stages are told to the others, and the later one holds. A host that knows
 * enough bad answers stops the version by itself. The move of all requests begins at the host that comes first for the
 * order; others follow it, or begin a little later if they hear nothing.
 */
class Rollout {
    void enter(RolloutStage next, TimePoint since, HaltReason why = HaltReason::None);
    void updateTrial(const RolloutView& view, Duration promotionDelay, TimePoint now);

public:
    /**
     * @brief Takes an order up.
     * @param rolloutOrder Order.
     * @param roundingPosition Position of this host for Exposure.
     * @param maxShare Share of the version before the verdict.
     * @param now Current time.
     */
    Rollout(RolloutOrder rolloutOrder, double roundingPosition, double maxShare, TimePoint now);

    /** @brief Returns the order. @return Order with the state that the store has. */
    [[nodiscard]] const RolloutOrder& order() const noexcept { return this->current; }

    /**
     * @brief Takes the state of the order in the store.
     * @param state State. A verdict is final; a store that was restored from a copy gets it again.
     * @param revision Revision.
     * @param now Current time.
     */
    void setStored(RolloutState state, std::uint64_t revision, TimePoint now);

    /** @brief Merges what another host tells. @param progress Its progress. @param now Current time. */
    void merge(const RolloutProgress& progress, TimePoint now);

    /** @brief Returns what this host tells others. @param now Current time. @return Progress. */
    [[nodiscard]] RolloutProgress progress(TimePoint now) const;

    /**
     * @brief Draws the conclusions from what is known.
     * @param view Endpoints of the service.
     * @param promotionDelay Time for which this host lets others begin the move of the requests.
     * @param now Current time.
     */
    void update(const RolloutView& view, Duration promotionDelay, TimePoint now);

    /** @brief Stops the version. @param why Reason. @param now Current time. */
    void halt(HaltReason why, TimePoint now);

    /** @brief Returns the share of this host's requests that the version may get. @return Part from 0 to 1. */
    [[nodiscard]] double share(TimePoint now) const;

    /** @brief Returns the state that the store should have. @return State; the store's own if it needs no write. */
    [[nodiscard]] RolloutState wantedState() const noexcept { return this->wanted; }

    /** @brief Checks if the store lacks the state that it should have. @return True until it has been written. */
    [[nodiscard]] bool isWriteDue() const noexcept { return this->wanted != this->current.state; }

    /** @brief Returns the verdict. @return Completed or Reverted once it is written; before, New. */
    [[nodiscard]] RolloutState finalState() const noexcept { return this->verdict; }

    /** @brief Returns the stage. @return Stage. */
    [[nodiscard]] RolloutStage stage() const noexcept { return this->currentStage; }

    /** @brief Returns why the version was stopped. @return Reason; None if it was not. */
    [[nodiscard]] HaltReason haltReason() const noexcept { return this->reason; }

    /** @brief Checks if the verdict is written. @return True once it is final. */
    [[nodiscard]] bool isDecided() const noexcept { return isFinal(this->verdict); }

    /** @brief Checks if the version may get no requests. @return True after a stop and after a verdict against it. */
    [[nodiscard]] bool isHalted() const noexcept
    {
        return this->currentStage == RolloutStage::Halted && this->verdict != RolloutState::Completed;
    }

    /** @brief Returns the sequential test. @return Test. */
    [[nodiscard]] const VersionComparison& comparison() const noexcept { return this->test; }

    /** @brief Returns the time since the order as far as it is known. @return Age. */
    [[nodiscard]] Duration age(TimePoint now) const { return now - this->startedAt; }

    Exposure exposure;
    EvidencePool evidence;

private:
    RolloutOrder current;
    double trialShare;
    TimePoint startedAt;
    /** Whether the time of the order is only assumed, since its first host was another one. */
    bool isStartAssumed = false;
    RolloutStage currentStage = RolloutStage::Trial;
    TimePoint stageSince;
    HaltReason reason = HaltReason::None;
    /** Verdict that was written; New without one. */
    RolloutState verdict = RolloutState::New;
    RolloutState wanted = RolloutState::Active;
    RolloutSchedule schedule;
    VersionComparison test;
};

} // namespace berylwing
