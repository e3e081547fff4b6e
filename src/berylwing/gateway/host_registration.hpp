#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/event.hpp"
#include "berylwing/store/platform_client.hpp"
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>

namespace berylwing {

/**
 * @brief Keeps this host's entry in the platform's store until the host stops.
 *
 * The entry can vanish while the host runs: a restore of the store loses it, and a delayed removal by an earlier
 * process of the host may take effect late.
 */
class HostRegistration {
public:
    /**
     * @brief Creates a registration; run() starts it.
     * @param hostClock Clock of the host.
     * @param storeClient Client of the store.
     * @param hostName Name of the host.
     * @param hostDescription Document of the entry.
     */
    HostRegistration(
        Clock& hostClock, PlatformClient& storeClient, std::string hostName, nlohmann::json hostDescription);

    /** @brief Writes the entry, and again each time that it has vanished. @return Awaitable; completes after stop(). */
    [[nodiscard]] Task<void> run();

    /** @brief Waits until the entry has been written. @param deadline Time at which the wait ends anyway. */
    [[nodiscard]] Task<void> waitUntilWritten(TimePoint deadline);

    /** @brief Checks if the host is to be in the list of hosts. @return False after stop(). */
    [[nodiscard]] bool isWanted() const noexcept { return !this->isStopping; }

    /** @brief Removes the entry, and no longer writes it. @return Awaitable. */
    [[nodiscard]] Task<void> stop();

    /** @brief Takes note of a complete list of hosts. @param names Hosts that have an entry. */
    void applyList(const std::set<std::string, std::less<>>& names);

    /** @brief Takes note of the removal of an entry. @param name Host whose entry was removed. */
    void applyRemoval(std::string_view name);

private:
    Clock& clock;
    PlatformClient& client;
    std::string name;
    nlohmann::json description;
    Event changed;
    /** Whether the store has acknowledged the entry and it has not been seen to be missing since. */
    bool isRegistered = false;
    /** Whether the store has acknowledged the entry at least once. */
    bool hasBeenWritten = false;
    bool isStopping = false;
};

} // namespace berylwing
