#pragma once

namespace berylwing {

class CommandLine;
class ObjectCommands;
class RequestTimeline;
class StatusCommand;
enum class ExitCode;

} // namespace berylwing
