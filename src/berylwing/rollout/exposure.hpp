#pragma once

#include <algorithm>
#include <cstdint>

namespace berylwing {

/**
 * @brief Keeps the part of a host's own requests that a version on trial gets.
 *
 * Each host keeps its part alone, so that the sum over all hosts holds whatever they know of each other. It answers the
 * load of many hosts with few requests each: a part of one request is rounded up at some hosts and down at others, by a
 * position that each host has for each order, so that the fleet as a whole gets the share from the first second on.
 */
class Exposure {
    /** Limit of the requests that were allowed for and not sent; more would reach cold endpoints in a burst. */
    static constexpr double kMaxCredit = 2;

public:
    /** @brief Creates an exposure without requests. @param roundingPosition Position of the host, from 0 to 1. */
    explicit Exposure(double roundingPosition)
        : credit { roundingPosition }
    {
    }

    /** @brief Counts a request of the service, once for all its sends. @param share Part that the version may get. */
    void countRequest(double share) noexcept
    {
        ++this->requestCount;
        this->credit = std::min(this->credit + share, std::max(this->credit, kMaxCredit));
    }

    /** @brief Checks if a request may go to the version. @param share Part that it may get. @return True if so. */
    [[nodiscard]] bool hasRoom(double share) const noexcept { return share >= 1 || (share > 0 && this->credit >= 1); }

    /** @brief Counts a send to the version, also one that the share did not allow for; later requests make up for it.
     */
    void countExposed() noexcept
    {
        ++this->exposedCount;
        this->credit -= 1;
    }

    /** @brief Returns the number of requests. @return Requests of this host for the service since the order. */
    [[nodiscard]] std::uint64_t requests() const noexcept { return this->requestCount; }

    /** @brief Returns the number of sends to the version. @return Sends of this host since the order. */
    [[nodiscard]] std::uint64_t exposed() const noexcept { return this->exposedCount; }

private:
    /** Sends to the version that the requests so far allow for and that were not made. */
    double credit;
    std::uint64_t requestCount = 0;
    std::uint64_t exposedCount = 0;
};

} // namespace berylwing
