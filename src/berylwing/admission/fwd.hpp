#pragma once

namespace berylwing {

class AdmissionControl;
class AdmissionMetrics;
class DemandMeter;
class DemandView;
class ServiceRoom;
class Thinning;
class UsualTimeouts;
struct AdmissionDecision;
struct AdmissionRequest;
struct ClassDemand;
struct ClassShare;
struct DemandReport;
struct ServiceCapacity;
struct ServiceDemand;
struct WorkspaceDemand;

} // namespace berylwing
