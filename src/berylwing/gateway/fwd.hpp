#pragma once

namespace berylwing {

class AnnouncementQueue;
class AnswerTimes;
class BrittleEndpoints;
class ColdRateLimit;
class CrashEvidence;
class CrashQuarantine;
class DemandExchange;
class DocumentHistory;
class IsolationDetector;
class EndpointDirectory;
class EndpointRateLimits;
class EndpointReach;
class EventSplitter;
class FleetExchange;
class FleetRetryBudget;
class FleetView;
class Forwarder;
class Gateway;
class GatewayEndpoint;
class HostRegistration;
class HostRoster;
class Placement;
class PlanLease;
class PromptCacheIndex;
class ReachabilityProber;
class RelayHosts;
class RoutingPlan;
class ServiceVersions;
class StopSchedule;
class StoreEra;
class StoreFeed;
class StreamKeepers;
class StreamVersionIndex;
class UnseenRequests;
class VersionExchange;
struct CrashSuspect;
struct EndpointNote;
struct EndpointRecord;
struct EndpointSession;
struct GatewayProtocol;
struct GatewayRequest;
struct HostEntry;
struct LoadBelief;
struct RequestMetadata;
struct ResponseHead;
struct ResponseMetadata;
struct RelayOrigin;
struct Route;
struct ServiceTraits;
struct ServiceVersionsHooks;
struct StreamVersion;

} // namespace berylwing
