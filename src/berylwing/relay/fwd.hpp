#pragma once

namespace berylwing {

class AttemptServer;
class CallerGoneError;
class Dispatcher;
class ObservedLoads;
enum class Repeatability;
struct ObservedLoad;
struct ResponseSink;

} // namespace berylwing
