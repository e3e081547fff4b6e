#pragma once

namespace berylwing {

class Metrics;
enum class LogLevel;

} // namespace berylwing
