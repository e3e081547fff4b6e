#pragma once

namespace berylwing {

class CommandLine;
class ObjectCommands;
class StatusCommand;
enum class ExitCode;

} // namespace berylwing
