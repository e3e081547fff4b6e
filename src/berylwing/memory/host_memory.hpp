#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/memory/byte_budget.hpp"
#include "berylwing/memory/connection_shedder.hpp"
#include "berylwing/memory/host_capacity.hpp"
#include <memory>

namespace berylwing {

/** @brief Memory and descriptors that all callers' connections of one process share. */
struct HostMemory {
    /** @brief Creates the budget and the shedder. @param clock Clock of the host. @param hostCapacity Limits. */
    HostMemory(const Clock& clock, const HostCapacity& hostCapacity)
        : capacity { hostCapacity }
        , budget { hostCapacity.bytes }
        , shedder { clock, hostCapacity.connections }
    {
    }

    HostCapacity capacity;
    ByteBudget budget;
    ConnectionShedder shedder;
};

/** @brief What one caller's connection holds of the memory of its host. */
class CallerHold {
public:
    /** @brief Holds nothing yet. @param memory Memory of the host. */
    explicit CallerHold(std::shared_ptr<HostMemory> memory);

    /**
     * @brief Grows a reservation, for which other connections are closed if there is no room.
     * @param reservation One of the reservations of this hold.
     * @param bytes Bytes to be held.
     * @return False if there is no room, or if this connection is the one that holds most and moved least.
     */
    [[nodiscard]] Task<bool> grow(ByteReservation& reservation, std::size_t bytes);

    /** @brief Returns the bytes that closing the connection gives back. @return Bytes. */
    [[nodiscard]] std::size_t size() const noexcept;

    std::shared_ptr<HostMemory> host;
    SheddableConnection connection;
    ByteReservation connectionBytes;
    ByteReservation fieldBytes;
    ByteReservation bodyBytes;
    ByteReservation pipelinedBytes;
    ByteReservation endpointBytes;
};

} // namespace berylwing
