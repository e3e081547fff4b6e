#pragma once

namespace berylwing {

class Clock;
class Event;
class EventRate;
class Findings;
class Steps;
class TokenBucket;
enum class Execution;
enum class Incident;
enum class Refusal;
enum class Retry;
enum class Step;
struct Finding;
struct Outcome;

} // namespace berylwing
