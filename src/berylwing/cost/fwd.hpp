#pragma once

namespace berylwing {

class CostModel;
class DecayedLine;
class DecayedMoments;
class EndpointPace;
class ExpectedDelay;
class RelativePaces;
struct AnswerObservation;
struct CostEstimate;
struct Estimate;
struct PaceReport;
struct RequestShape;

} // namespace berylwing
