#pragma once

namespace berylwing {

class ColdLimit;
class EndpointDirectory;
class EventSplitter;
class Forwarder;
class Gateway;
class GatewayEndpoint;
class Placement;
class PlanLease;
class PromptHolders;
class ReachProber;
class RetryAllowance;
class RoutingPlan;
class StoreFeed;
struct AnswerFacts;
struct AnswerHead;
struct EndpointRecord;
struct EndpointSession;
struct GatewayProtocol;
struct GatewayRequest;
struct RequestFacts;
struct Route;
struct ServiceTraits;

} // namespace berylwing
