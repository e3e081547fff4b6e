#pragma once

#include "berylwing/core/enum_names.hpp"
#include "berylwing/gateway/routing_plan.hpp"
#include <string>
#include <vector>

namespace berylwing {

/** @brief Lists how serious a finding about a routing plan is. */
enum class PlanSeverity {
    /** A part of the plan cannot work, or nobody can tell what it does. */
    Error,
    /** The plan works, but a part of it has no effect or contradicts another one. */
    Warning,
};

/** @brief Names of the severities. */
inline constexpr EnumNames<PlanSeverity, 2> kPlanSeverityNames { {
    "error",
    "warning",
} };

/** @brief Finding about a routing plan that its parser accepts. */
struct PlanFinding {
    PlanSeverity severity = PlanSeverity::Error;
    /** Path of the entry in its document. */
    std::string place;
    std::string text;
};

/**
 * @brief Searches a routing plan for entries that can never match, contradictions and ambiguities.
 * @param plan Entries in the order of the document.
 * @return Findings in the order of the document; none names an API key.
 */
[[nodiscard]] std::vector<PlanFinding> checkPlan(const PlanListing& plan);

} // namespace berylwing
