#pragma once

namespace berylwing {

class CheckPlanCommand;
class CommandLine;
class LoadAudit;
class ObjectCommands;
class RequestTimeline;
class StatusCommand;
enum class ExitCode;
enum class PlanChangeKind;
enum class PlanSeverity;
struct LoggedEvent;
struct PlanChange;
struct PlanFinding;

} // namespace berylwing
