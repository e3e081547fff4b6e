#pragma once

#include "berylwing/core/clock.hpp"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Divides an endpoint's limit fairly between workspaces.
 *
 * Each workspace may use its weighted share. It may use more while the endpoint is not nearly full: as long as several
 * workspaces are active, the last slots are reserved for those below their share. A surge of one workspace thus does
 * not make another one wait.
 */
class FairShares {
    struct Usage {
        std::uint32_t inFlight = 0;
        double weight = 1;
        TimePoint seenAt;
    };

    /** Removes workspaces that have nothing in flight and have sent no request for a while. */
    void dropIdle(TimePoint now);

public:
    /**
     * @brief Checks if a workspace may have one more request in flight, and marks it as active.
     * @param workspace Workspace.
     * @param weight Weight of its contract.
     * @param inFlight Number of requests in flight at the endpoint, from all workspaces.
     * @param limit Maximum number of requests in flight at the endpoint.
     * @param now Current time.
     * @return False if the remaining slots are reserved for other workspaces.
     */
    [[nodiscard]] bool canAdmit(
        std::string_view workspace, double weight, std::uint32_t inFlight, std::uint32_t limit, TimePoint now);

    /** @brief Counts an admitted request as in flight. @param workspace Workspace. */
    void add(std::string_view workspace);

    /** @brief Counts a request as ended. @param workspace Workspace. */
    void remove(std::string_view workspace);

private:
    std::map<std::string, Usage, std::less<>> usages;
};

} // namespace berylwing
