#pragma once

namespace berylwing {

class ByteBudget;
class ByteReservation;
class CallerHold;
class ConnectionShedder;
enum class ByteKind;
enum class ShedReason;
struct HostCapacity;
struct HostMemory;
struct SheddableConnection;

} // namespace berylwing
