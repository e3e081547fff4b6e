#pragma once

#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <memory>
#include <string>

namespace berylwing {

/** @brief States of an endpoint, as its owner sees it. */
enum class LifecycleState {
    Unknown,
    Cold,
    Warming,
    Warm,
    Leaving,
    Gone,
};

/** @brief Names of the lifecycle states. */
inline constexpr EnumNames<LifecycleState, 6> kLifecycleNames { {
    "unknown",
    "cold",
    "warming",
    "warm",
    "leaving",
    "gone",
} };

/**
 * @brief Lifecycle of one endpoint and the number of requests that it can bear.
 *
 * An endpoint is cold until it has shown otherwise. A change of its boot id or a broken connection makes it cold again.
 */
class EndpointLifecycle {
public:
    /**
     * @brief Creates the lifecycle of an endpoint of which nothing is known.
     * @param coldLimit Requests that a cold endpoint bears.
     * @param fullLimit Requests that a warm endpoint bears.
     */
    EndpointLifecycle(std::uint32_t coldLimit, std::uint32_t fullLimit);

    ~EndpointLifecycle();
    EndpointLifecycle(EndpointLifecycle&&) noexcept;
    EndpointLifecycle& operator=(EndpointLifecycle&&) noexcept;

    /** @brief Tells the state. @return State. */
    [[nodiscard]] LifecycleState state() const noexcept;

    /** @brief Tells how many requests the endpoint bears now. @return Requests; zero while it takes no new work. */
    [[nodiscard]] std::uint32_t limit() const noexcept;

    /** @brief Tells the boot id. @return Last boot id seen; empty before the first. */
    [[nodiscard]] const std::string& bootId() const noexcept;

    /** @brief Takes note of a boot id. @param bootId Boot id. @return True if the endpoint has turned cold by it. */
    bool observeBootId(const std::string& bootId);

    /** @brief Takes note of the endpoint's own word that it is warm. */
    void observeWarm();

    /** @brief Takes note of the endpoint's own word that it is cold. @return True if it has turned cold by it. */
    bool observeCold();

    /** @brief Takes note of a request that was answered whole. */
    void observeSuccess();

    /** @brief Takes note of a refused or broken connection. @return True if the endpoint has turned cold by it. */
    bool observeFailure();

    /** @brief Stops new work. */
    void leave();

    /** @brief Allows new work again after leave(), beginning cold. */
    void rejoin();

    /** @brief Ends the lifecycle of a removed endpoint. */
    void remove();

    /**
     * @brief Takes over what another owner knew.
     * @param bootId Boot id that the other owner saw.
     * @param isWarm Whether the endpoint was warm.
     * @param warmingLimit Requests that the endpoint bore while warming.
     */
    void adoptState(const std::string& bootId, bool isWarm, std::uint32_t warmingLimit);

    /** @brief Changes the limits. @param coldLimit Limit while cold. @param fullLimit Limit while warm. */
    void configure(std::uint32_t coldLimit, std::uint32_t fullLimit);

private:
    struct Machine;

    std::unique_ptr<Machine> machine;
};

} // namespace berylwing
