#pragma once

namespace berylwing {

class Clock;
class Event;
class Findings;
class Steps;
enum class Execution;
enum class Incident;
enum class Refusal;
enum class Retry;
enum class Step;
struct Finding;
struct Outcome;

} // namespace berylwing
