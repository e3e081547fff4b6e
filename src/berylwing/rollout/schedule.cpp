#include "berylwing/rollout/schedule.hpp"

#include <algorithm>

namespace berylwing {

namespace {

constexpr Duration kMinShiftLength { 500 };
constexpr Duration kMaxShiftLength { 10'000 };
/** Part of an order's time that the move takes: one in twelve. */
constexpr int kShiftPart = 12;
/** Time for the write of a verdict, which may have to be repeated. */
constexpr Duration kMinWriteTime { 500 };
constexpr Duration kMaxWriteTime { 2000 };
constexpr int kWritePart = 8;
/** Largest part of an order's time that is kept for answers: a third. */
constexpr int kAnswerPart = 3;
/** Part of an order's time by which the trial of a doubtful version is extended: one in eight. */
constexpr int kDoubtPart = 8;

} // namespace

RolloutSchedule::RolloutSchedule(Duration duration, Duration longestAnswer)
{
    const auto length = std::max(duration, Duration {});
    const auto writeTime = std::clamp(length / kWritePart, kMinWriteTime, kMaxWriteTime);
    this->verdictAt = std::max(length - writeTime, Duration {});
    this->shiftLength = std::clamp(length / kShiftPart, kMinShiftLength, kMaxShiftLength);
    const auto answerTime = std::min(longestAnswer, length / kAnswerPart);
    this->trialEnd = std::max(this->verdictAt - answerTime - this->shiftLength, Duration {});
    this->doubtEnd = std::min(this->trialEnd + length / kDoubtPart, this->verdictAt);
}

} // namespace berylwing
