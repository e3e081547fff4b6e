#pragma once

namespace berylwing {

class Admission;
class Authority;
class EndpointLifecycle;
class EndpointRegistry;
class Handoffs;
class OwnedEndpoint;
class PlacementTable;
enum class LifecycleState;
struct EndpointCall;
struct EndpointConnection;
struct LoadReport;

} // namespace berylwing
