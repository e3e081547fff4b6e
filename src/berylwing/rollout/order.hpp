#pragma once

#include "berylwing/core/clock.hpp"
#include "berylwing/core/enum_names.hpp"
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace berylwing {

/** @brief State of an order as the store has it. */
enum class RolloutState {
    /** No host has taken the order up. */
    New,
    /** Hosts try the version. */
    Active,
    /** All requests go to the version; the other endpoints of the service may stop. */
    Completed,
    /** No request goes to the version any more. */
    Reverted,
};

/** @brief Names of the states. */
inline constexpr EnumNames<RolloutState, 4> kRolloutStateNames { {
    "new",
    "active",
    "completed",
    "reverted",
} };

/** @brief Checks if a state is a verdict. @param state State. @return True if the state never changes again. */
[[nodiscard]] constexpr bool isFinal(RolloutState state) noexcept
{
    return state == RolloutState::Completed || state == RolloutState::Reverted;
}

/** @brief Operator's order to move a service to a version of its software within a time. */
struct RolloutOrder {
    /** Name of the object in the store. */
    std::string name;
    std::string service;
    std::string version;
    /** Time from the order to its deadline; zero or less if the deadline has passed. */
    Duration duration {};
    RolloutState state = RolloutState::New;
    /** Revision of the object. */
    std::uint64_t revision = 0;
    /** Revision at which the object was created; zero if unknown. */
    std::uint64_t createdAt = 0;

    /** @brief Identifies the order among all. @return Hash of what it asks for and of its object. */
    [[nodiscard]] std::uint64_t id() const;
};

/**
 * @brief Parses an order.
 * @param name Name of the object.
 * @param revision Revision of the object.
 * @param value Document with `service`, `version`, `duration_ms`, `state` and optionally `created`.
 * @return Order.
 * @throws ConfigurationError If a field is missing or has another type.
 */
[[nodiscard]] RolloutOrder readRolloutOrder(
    const std::string& name, std::uint64_t revision, const nlohmann::json& value);

} // namespace berylwing
