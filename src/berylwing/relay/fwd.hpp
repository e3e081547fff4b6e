#pragma once

namespace berylwing {

class AttemptServer;
class CallerGoneError;
class Dispatcher;
enum class Repeatability;
struct ResponseSink;

} // namespace berylwing
