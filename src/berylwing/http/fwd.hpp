#pragma once

namespace berylwing {

class CallerServer;
class HttpCallError;
class StatusServer;
enum class HttpFault;
struct CallerLimits;

} // namespace berylwing
