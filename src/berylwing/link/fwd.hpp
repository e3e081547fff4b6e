#pragma once

namespace berylwing {

class Link;
class ZmqTransport;
struct Identity;

} // namespace berylwing
