#pragma once

#include "berylwing/client/command_line.hpp"
#include "berylwing/client/plan_check.hpp"
#include "berylwing/client/plan_difference.hpp"
#include "berylwing/core/task.hpp"
#include "berylwing/store/platform_client.hpp"
#include <nlohmann/json.hpp>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace berylwing {

/** @brief Implements the command that checks a routing plan before operators send it. */
class CheckPlanCommand {
    /** What the command tells. */
    struct Report {
        std::vector<PlanFinding> findings;
        std::optional<PlanListing> plan;
        /** Plan to which the checked one is compared. */
        std::optional<PlanListing> inForce;
        std::vector<PlanChange> changes;
    };

    /** Reads a plan; adds its errors to the findings and returns nothing if it is invalid. */
    [[nodiscard]] std::optional<PlanListing> read(
        const nlohmann::json& document, const std::string& source, std::vector<PlanFinding>& findings) const;
    [[nodiscard]] std::optional<PlanListing> readFile(
        const std::string& path, std::vector<PlanFinding>& findings) const;
    /** Reads the newest plan of the store, the one that hosts serve. */
    [[nodiscard]] Task<std::optional<PlanListing>> readStored(std::vector<PlanFinding>& findings);
    void compare(Report& report) const;
    void print(const std::string& path, const Report& report);
    void printJson(const std::string& path, const Report& report);

public:
    /**
     * @brief Creates the command.
     * @param clientOptions Options that apply to every command; `against` names the plan in force.
     * @param planLister Parser of the platform's plans.
     * @param storeClient Client of the platform's store.
     * @param output Receives the report.
     */
    CheckPlanCommand(const ClientOptions& clientOptions, const PlanLister& planLister, PlatformClient& storeClient,
        std::ostream& output);

    /**
     * @brief Checks a plan and compares it to the one in force if the options name one; prints no API key.
     * @param path File of the plan.
     * @return Findings if the plan has errors; NotFound if the store has no plan; otherwise Done, also with warnings.
     * @throws PlatformError If the store does not respond.
     */
    [[nodiscard]] Task<ExitCode> run(std::string path);

private:
    const ClientOptions& options;
    const PlanLister& list;
    PlatformClient& store;
    std::ostream& out;
};

} // namespace berylwing
