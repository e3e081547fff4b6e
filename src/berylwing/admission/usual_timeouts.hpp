#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylwing {

/**
 * @brief Learns with which timeouts callers send the first attempts of a route's requests.
 *
 * A caller that comes back has less time left than a new one, and its latency counts from its first attempt. Timeouts
 * are learned while nothing is refused, when almost all requests are first attempts.
 */
class UsualTimeouts {
    struct Candidate {
        Duration timeout {};
        std::uint32_t count = 0;
    };

public:
    /** @brief Learns the timeout of a request that is probably a first attempt. @param route Route. @param timeout
     * Time for which its caller waits. */
    void record(std::string_view route, Duration timeout);

    /**
     * @brief Estimates when the first attempt of a request was made.
     * @param route Route.
     * @param timeout Time for which its caller waits.
     * @return Time since then; zero for a first attempt, or if it cannot be told.
     */
    [[nodiscard]] Duration sinceFirstAttempt(std::string_view route, Duration timeout) const;

private:
    std::map<std::string, std::vector<Candidate>, std::less<>> routes;
};

} // namespace berylwing
