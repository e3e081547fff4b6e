#pragma once

#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace berylwing {

/** @brief Lifecycle states of an endpoint, as its owner sees them. */
enum class LifecycleState {
    Unknown,
    Cold,
    Warming,
    Warm,
    Leaving,
    Gone,
};

/** @brief Names of the lifecycle states, as the status page shows them. */
inline constexpr EnumNames<LifecycleState, 6> kLifecycleNames { {
    "unknown",
    "cold",
    "warming",
    "warm",
    "leaving",
    "gone",
} };

/**
 * @brief Lifecycle of one endpoint and the resulting limit of concurrent requests.
 *
 * An endpoint is cold until it reports that it is warm. Its limit then doubles with each successful request until it
 * reaches the full limit. A new boot id or a broken connection makes the endpoint cold again.
 */
class EndpointLifecycle {
public:
    /**
     * @brief Creates the lifecycle of an endpoint in the state Unknown.
     * @param coldLimit Maximum number of concurrent requests while cold.
     * @param fullLimit Maximum number of concurrent requests while warm.
     */
    EndpointLifecycle(std::uint32_t coldLimit, std::uint32_t fullLimit);

    ~EndpointLifecycle();
    EndpointLifecycle(EndpointLifecycle&&) noexcept;
    EndpointLifecycle& operator=(EndpointLifecycle&&) noexcept;

    /** @brief Returns the current state. @return State. */
    [[nodiscard]] LifecycleState state() const noexcept;

    /** @brief Returns the current limit of concurrent requests. @return Limit; zero while no new request is taken. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /** @brief Returns the last boot id seen. @return Boot id; empty before the first one. */
    [[nodiscard]] const std::string& bootId() const noexcept;

    /** @brief Records a boot id; a new one means a restart. @param bootId Boot id. @return True if it turned cold. */
    bool observeBootId(const std::string& bootId);

    /** @brief Records that the endpoint reports itself as warm. */
    void observeWarm();

    /** @brief Records that the endpoint reports itself as cold. @return True if it was warm or warming before. */
    bool observeCold();

    /** @brief Records a request with a complete response. */
    void observeSuccess();

    /** @brief Records a refused or broken connection. @return True if the endpoint turned cold. */
    bool observeFailure();

    /** @brief Sets the limit to zero, so that no new request is admitted. */
    void leave();

    /** @brief Admits requests again after leave(), in the state Cold. */
    void rejoin();

    /** @brief Ends the lifecycle of a removed endpoint. */
    void remove();

    /**
     * @brief Adopts the state that the previous owner has sent.
     * @param bootId Boot id that the previous owner saw.
     * @param isWarm Whether the endpoint was warm.
     * @param warmingLimit Limit that the endpoint had reached while warming; zero if it was not warming.
     */
    void adoptState(const std::string& bootId, bool isWarm, std::uint32_t warmingLimit);

    /** @brief Sets the limits. @param coldLimit Limit while cold. @param fullLimit Limit while warm. */
    void configure(std::uint32_t coldLimit, std::uint32_t fullLimit);

private:
    struct Machine;

    std::unique_ptr<Machine> machine;
};

} // namespace berylwing
