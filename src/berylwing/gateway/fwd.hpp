#pragma once

namespace berylwing {

class ColdLimit;
class CrashNotes;
class DomainIsolation;
class EndpointDirectory;
class EventSplitter;
class FleetExchange;
class FleetView;
class Forwarder;
class Gateway;
class GatewayEndpoint;
class HostRoster;
class NoteQueue;
class Placement;
class PlanLease;
class PromptHolders;
class ReachProber;
class RetryAllowance;
class RoutingPlan;
class StoreFeed;
struct AnswerFacts;
struct AnswerHead;
struct EndpointNote;
struct EndpointRecord;
struct EndpointSession;
struct GatewayProtocol;
struct GatewayRequest;
struct HostEntry;
struct RequestFacts;
struct Route;
struct ServiceTraits;

} // namespace berylwing
