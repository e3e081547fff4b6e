#pragma once

namespace berylwing {

class CallerServer;
class EndpointPool;
class HttpCallError;
class StatusServer;
enum class HttpFault;
struct CallerLimits;
struct PooledConnection;

} // namespace berylwing
