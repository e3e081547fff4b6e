#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/store/platform_client.hpp"
#include "berylwing/telemetry/decision_log.hpp"
#include <cstdint>
#include <functional>
#include <random>
#include <vector>

namespace berylwing {

/** @brief What a feed tells about the objects of its kind. */
struct StoreFeedHooks {
    /** Takes the complete list of objects. */
    std::function<void(const std::vector<VersionedObject>&)> replaceAll;
    /** Takes one change; the value of a removed object is null. */
    std::function<void(const VersionedObject&)> change;
    /** Takes note that all changes up to a moment are known. */
    std::function<void(TimePoint)> confirm;
    /** Takes note that a call to the store has failed. */
    std::function<void()> lose;
};

/** @brief How a feed asks the store. */
struct StoreFeedPace {
    /** Time for which one watch waits, which is also how long a silent connection goes unnoticed. */
    Duration wait {};
    /** Pause after a change, in which further ones gather. */
    Duration pauseAfterChange {};
    /** Whether each change is followed by a short call that confirms the moment. */
    bool confirmsChanges = false;
};

/** @brief Follows the objects of one kind in the platform's store. */
class StoreFeed {
    [[nodiscard]] Task<void> list();
    [[nodiscard]] Task<void> watch();
    [[nodiscard]] Duration nextPause();

public:
    /**
     * @brief Creates a feed that has not begun.
     * @param hostClock Clock of the host.
     * @param storeClient Client of the store.
     * @param objectKind Kind of the objects.
     * @param feedPace How the store is asked.
     * @param feedHooks Takes what the store tells.
     * @param decisionLog Log of the host.
     */
    StoreFeed(Clock& hostClock, PlatformClient& storeClient, ObjectKind objectKind, const StoreFeedPace& feedPace,
        StoreFeedHooks feedHooks, DecisionLog& decisionLog);

    /** @brief Follows the objects for ever. @return Awaitable. */
    [[nodiscard]] Task<void> run();

    /** @brief Tells whether the objects have been listed. @return True after the first complete list. */
    [[nodiscard]] bool isListed() const noexcept { return this->hasList; }

private:
    Clock& clock;
    PlatformClient& client;
    ObjectKind kind;
    StoreFeedPace pace;
    StoreFeedHooks hooks;
    DecisionLog& log;
    std::minstd_rand random;
    std::uint64_t revision = 0;
    bool hasList = false;
    bool mustList = true;
    bool mustConfirm = false;
    unsigned failures = 0;
};

} // namespace berylwing
