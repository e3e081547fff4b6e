#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Keeps a part of an endpoint's limit free for workspaces that use less than their share of it.
 *
 * While others have been seen lately, a workspace that holds its weighted share may not take the last places, so that
 * a surge of one workspace does not make another one wait.
 */
class FairShares {
    struct Usage {
        std::uint32_t inFlight = 0;
        double weight = 1;
        TimePoint seenAt;
    };

    void dropIdle(TimePoint now);

public:
    /**
     * @brief Tells whether a workspace may take one more place.
     * @param workspace Workspace.
     * @param weight Weight of its contract.
     * @param inFlight Requests in flight at the endpoint from all workspaces.
     * @param limit Most requests in flight.
     * @param now Current time.
     * @return False if the remaining places are kept for others.
     */
    [[nodiscard]] bool canAdmit(
        std::string_view workspace, double weight, std::uint32_t inFlight, std::uint32_t limit, TimePoint now);

    /** @brief Counts a request that was admitted. @param workspace Workspace. */
    void add(std::string_view workspace);

    /** @brief Counts a request that has ended. @param workspace Workspace. */
    void remove(std::string_view workspace);

private:
    std::map<std::string, Usage, std::less<>> usages;
};

} // namespace berylwing
