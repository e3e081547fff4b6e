#pragma once

namespace berylwing {

class Admission;
class Authority;
class EndpointLifecycle;
class EndpointOwner;
class OwnedEndpoint;
class PlacementTable;
enum class LifecycleState;
struct EndpointCall;
struct EndpointConnection;
struct LoadReport;

} // namespace berylwing
