#pragma once

namespace berylwing {

class WatchedAnswer;
class AnswerWatch;
class EvidencePool;
class Rollout;
class Rollouts;
class VersionClearance;
class VersionComparison;
struct Evidence;
struct RolloutOrder;

} // namespace berylwing
