#include "berylwing/client/check_plan_command.hpp"

#include "berylwing/config/document_reader.hpp"
#include <algorithm>
#include <fstream>
#include <iterator>
#include <utility>

namespace berylwing {

namespace {

using nlohmann::json;

constexpr std::string_view kStore = "store";

std::size_t count(const std::vector<PlanFinding>& findings, PlanSeverity severity)
{
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(),
        [severity](const PlanFinding& finding) { return finding.severity == severity; }));
}

void addErrors(const Findings& errors, std::vector<PlanFinding>& findings)
{
    for (const auto& error : errors.all())
        findings.push_back(
            { PlanSeverity::Error, error.place, "found " + error.found + ", allowed: " + error.allowed });
}

/** Removes the quotation from a syntax error, which may be a part of an API key. */
Finding withoutQuotation(Finding error)
{
    error.found = error.found.substr(0, error.found.find("; last read"));
    return error;
}

json toJson(const PlanChange& change)
{
    auto fields = json::array();
    for (const auto& field : change.fields)
        fields.push_back({ { "name", field.name }, { "before", field.before }, { "after", field.after } });
    return { { "entry", change.entry }, { "change", kPlanChangeKindNames[change.kind] }, { "fields", fields } };
}

} // namespace

CheckPlanCommand::CheckPlanCommand(
    const ClientOptions& clientOptions, const PlanLister& planLister, PlatformClient& storeClient, std::ostream& output)
    : options { clientOptions }
    , list { planLister }
    , store { storeClient }
    , out { output }
{
}

std::optional<PlanListing> CheckPlanCommand::read(
    const json& document, const std::string& source, std::vector<PlanFinding>& findings) const
{
    try {
        return this->list(document);
    } catch (const ConfigurationError& error) {
        Findings errors;
        errors.addAll(source, error.findings());
        addErrors(errors, findings);
        return std::nullopt;
    }
}

std::optional<PlanListing> CheckPlanCommand::readFile(const std::string& path, std::vector<PlanFinding>& findings) const
{
    std::ifstream file { path };
    if (!file) {
        findings.push_back({ PlanSeverity::Error, path, "is not a readable file" });
        return std::nullopt;
    }
    const std::string text { std::istreambuf_iterator<char> { file }, {} };
    Findings errors;
    const auto document = parseDocument(text, path, errors);
    Findings shown;
    for (const auto& error : errors.all()) {
        const auto finding = withoutQuotation(error);
        shown.add(finding.place, finding.found, finding.allowed);
    }
    addErrors(shown, findings);
    return errors.empty() ? this->read(document, path, findings) : std::nullopt;
}

Task<std::optional<PlanListing>> CheckPlanCommand::readStored(std::vector<PlanFinding>& findings)
{
    const auto batch = co_await this->store.listAll(ObjectKind::RoutingPlan, false);
    std::optional<PlanListing> newest;
    for (const auto& object : batch.changes) {
        if (object.value.is_null())
            continue;
        std::vector<PlanFinding> errors;
        auto plan = this->read(object.value, "store", errors);
        // Hosts ignore an invalid object as well, so it is no fault of the checked plan.
        for (auto& error : errors) {
            error.severity = PlanSeverity::Warning;
            findings.push_back(std::move(error));
        }
        if (plan && (!newest || plan->version > newest->version))
            newest = std::move(plan);
    }
    co_return newest;
}

void CheckPlanCommand::compare(Report& report) const
{
    report.changes = comparePlans(*report.inForce, *report.plan);
    const bool isNewer = report.plan->version > report.inForce->version;
    if (!isNewer && !report.changes.empty())
        report.findings.push_back({ PlanSeverity::Error, "version",
            "hosts keep version " + std::to_string(report.inForce->version) + ", as "
                + std::to_string(report.plan->version) + " is not higher" });
}

Task<ExitCode> CheckPlanCommand::run(std::string path)
{
    Report report;
    report.plan = this->readFile(path, report.findings);
    if (report.plan) {
        auto found = checkPlan(*report.plan);
        std::move(found.begin(), found.end(), std::back_inserter(report.findings));
    }
    const bool isAgainstStore = this->options.against == kStore;
    if (isAgainstStore)
        report.inForce = co_await this->readStored(report.findings);
    else if (!this->options.against.empty())
        report.inForce = this->readFile(this->options.against, report.findings);
    if (report.plan && report.inForce)
        this->compare(report);
    if (this->options.isJson)
        this->printJson(path, report);
    else
        this->print(path, report);
    if (count(report.findings, PlanSeverity::Error) > 0)
        co_return ExitCode::Findings;
    co_return isAgainstStore && !report.inForce ? ExitCode::NotFound : ExitCode::Done;
}

void CheckPlanCommand::print(const std::string& path, const Report& report)
{
    if (report.plan)
        this->out << path << ": version " << report.plan->version << ", " << report.plan->routes.size() << " routes, "
                  << report.plan->services.size() << " services, " << report.plan->workspaces.size() << " workspaces\n";
    for (const auto& finding : report.findings)
        this->out << kPlanSeverityNames[finding.severity] << ": " << finding.place << ": " << finding.text << "\n";
    if (report.inForce)
        this->out << "compared with version " << report.inForce->version << " (" << this->options.against << "):\n";
    else if (!this->options.against.empty())
        this->out << "not compared: " << this->options.against << " has no valid plan\n";
    for (const auto& change : report.changes) {
        this->out << "  " << change.entry << ": " << kPlanChangeKindNames[change.kind] << "\n";
        for (const auto& field : change.fields)
            this->out << "    " << field.name << ": " << field.before << " -> " << field.after << "\n";
    }
    this->out << count(report.findings, PlanSeverity::Error) << " errors, "
              << count(report.findings, PlanSeverity::Warning) << " warnings";
    if (report.inForce)
        this->out << ", " << report.changes.size() << " changes";
    this->out << "\n";
}

void CheckPlanCommand::printJson(const std::string& path, const Report& report)
{
    json document { { "file", path }, { "findings", json::array() } };
    if (report.plan)
        document["version"] = report.plan->version;
    for (const auto& finding : report.findings)
        document["findings"].push_back({ { "severity", kPlanSeverityNames[finding.severity] },
            { "place", finding.place }, { "text", finding.text } });
    if (report.inForce) {
        document["against"] = { { "source", this->options.against }, { "version", report.inForce->version } };
        document["changes"] = json::array();
        for (const auto& change : report.changes)
            document["changes"].push_back(toJson(change));
    }
    this->out << document.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

} // namespace berylwing
