#pragma once

namespace berylwing {

class CommandLine;
class LoadAudit;
class ObjectCommands;
class RequestTimeline;
class StatusCommand;
enum class ExitCode;
struct LoggedEvent;

} // namespace berylwing
