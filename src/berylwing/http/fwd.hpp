#pragma once

namespace berylwing {

class CallerServer;
class ConnectionPool;
class HttpCallError;
class StatusServer;
enum class HttpFault;
struct CallerLimits;
struct PooledConnection;

} // namespace berylwing
