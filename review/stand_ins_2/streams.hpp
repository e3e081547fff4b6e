#pragma once

#include "fleet.hpp"

/** Engines that stream numbered events, and clients that take their streams up again. */
namespace review {

/** Timeout of the route with streams that may be resumed, and of its clients. */
inline constexpr Duration kStreamTimeout { 3000 };

/** What a client has of one stream over its tries. */
struct Stream {
    std::string attempt;
    std::string text;
    bool isComplete = false;
    unsigned tries = 0;
    /** Whether the client had events of the stream when it sent it again. */
    bool isTakenUp = false;
    /** Whether a later try brought further events. */
    bool hasGoneOn = false;
};

/** Writes a configuration with one resumable route to the service `pool`. */
void writeStreamRoute(Fleet& fleet);

/** Returns an engine whose events name its version; it goes on after Last-Event-Id. */
[[nodiscard]] StandInHandler makeStreamEngine(Fleet& fleet, std::string id, std::string version);

/** Sends one request for a stream to a host, and takes it up at a second host if its connection breaks. */
[[nodiscard]] Task<void> runStreamClient(
    Fleet& fleet, Stream& stream, std::size_t first, std::size_t second, unsigned& done);

} // namespace review
