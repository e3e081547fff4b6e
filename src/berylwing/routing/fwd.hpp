#pragma once

namespace berylwing {

class Admission;
class EndpointLifecycle;
class EndpointRegistry;
class Handoffs;
class OwnershipPolicy;
class PlacementTable;
class RegisteredEndpoint;
enum class LifecycleState;
struct EndpointCall;
struct EndpointConnection;
struct LoadReport;

} // namespace berylwing
