#pragma once

namespace berylwing {

class PlatformClient;
class PlatformError;
enum class PlatformFault;
struct HostListing;
struct PlatformCall;
struct PlatformReply;
struct StoredObject;

} // namespace berylwing
