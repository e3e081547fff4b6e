#pragma once

#include "berylwing/core/enum_names.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <string>
#include <vector>

namespace berylwing {

/** @brief Lists how an entry differs between two plans. */
enum class PlanChangeKind {
    Added,
    Removed,
    Changed,
};

/** @brief Names of the kinds of changes. */
inline constexpr EnumNames<PlanChangeKind, 3> kPlanChangeKindNames { {
    "added",
    "removed",
    "changed",
} };

/** @brief Field that differs; a value that the entry does not have is empty. */
struct FieldChange {
    std::string name;
    std::string before;
    std::string after;
};

/** @brief Entry that differs between two plans. */
struct PlanChange {
    PlanChangeKind kind = PlanChangeKind::Changed;
    /** Kind and name of the entry. */
    std::string entry;
    /** Differing fields; all of them if the entry was added or removed. */
    std::vector<FieldChange> fields;
};

/**
 * @brief Compares two routing plans entry by entry and field by field, without their versions.
 * @param before Plan in force.
 * @param after Plan that is to replace it.
 * @return Changes in the order of the plans, removed entries last; API keys are only counted.
 */
[[nodiscard]] std::vector<PlanChange> comparePlans(const PlanListing& before, const PlanListing& after);

} // namespace berylwing
