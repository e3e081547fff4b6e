#pragma once

namespace berylwing {

class AttemptServer;
class CallerGoneError;
class Dispatcher;
class SeenLoads;
enum class Repeatability;
struct ResponseSink;
struct SeenLoad;

} // namespace berylwing
