#pragma once

namespace berylwing {

class Admission;
class EndpointLifecycle;
class EndpointRegistry;
class Handoffs;
class RegisteredEndpoint;
class OwnershipPolicy;
class PlacementTable;
enum class LifecycleState;
struct EndpointCall;
struct EndpointConnection;
struct LoadReport;

} // namespace berylwing
