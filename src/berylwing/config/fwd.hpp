#pragma once

namespace berylwing {

class Catalog;
class DocumentReader;
enum class EndpointKind;
enum class ObjectKind;
struct Contract;
struct EndpointObject;
struct MaintenanceState;
struct Roster;
struct RosterMember;
struct ServiceObject;
struct Settings;

} // namespace berylwing
