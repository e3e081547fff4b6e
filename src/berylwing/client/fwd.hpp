#pragma once

namespace berylwing {

class CommandLine;
class ObjectCommands;
class RequestStory;
class StatusCommand;
enum class ExitCode;

} // namespace berylwing
