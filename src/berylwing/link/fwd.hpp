#pragma once

namespace berylwing {

class Link;
class ZmqTransport;
struct PeerAddress;

} // namespace berylwing
