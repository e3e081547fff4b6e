#pragma once

namespace berylwing {

class ColdLimit;
class CrashNotes;
class EndpointDirectory;
class EventSplitter;
class FleetExchange;
class FleetView;
class Forwarder;
class Gateway;
class GatewayEndpoint;
class HostRoster;
class Placement;
class PlanLease;
class PromptHolders;
class ReachProber;
class RetryAllowance;
class RoutingPlan;
class StoreFeed;
class UseQueue;
struct AnswerFacts;
struct AnswerHead;
struct EndpointRecord;
struct EndpointSession;
struct GatewayProtocol;
struct GatewayRequest;
struct HostEntry;
struct PromptUse;
struct RequestFacts;
struct Route;
struct ServiceTraits;

} // namespace berylwing
