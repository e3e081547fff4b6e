#pragma once

#include "berylwing/core/clock.hpp"
#include <cstddef>
#include <cstdint>

namespace berylwing {

/** @brief Descriptors of a process that sockets cannot take. */
inline constexpr std::int64_t kFileDescriptors = 200;

/** @brief Returns the connections of callers that a process's descriptors allow. @param maxDescriptors Descriptors. */
[[nodiscard]] constexpr std::int64_t callerConnectionsOf(std::int64_t maxDescriptors)
{
    // Each request in progress takes a connection to an endpoint as well.
    return (maxDescriptors - kFileDescriptors) / 2;
}

/** @brief Limits of what callers' connections may take of a host. */
struct HostCapacity {
    /**
     * Bytes that callers and endpoints may hold, in the sum of all connections. Half of the memory is for the program,
     * its view of the fleet, what the allocator keeps, and bytes that were received and not read.
     */
    std::size_t bytes = std::size_t { 80 } * 1024 * 1024;
    std::size_t connections = 1950;
    /** Bytes of a body that have to arrive within each window, unless it ends. */
    std::size_t bodyProgressBytes = std::size_t { 10 } * 1024;
    Duration bodyProgressWindow { 10'000 };
};

} // namespace berylwing
