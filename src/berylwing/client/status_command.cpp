#include "berylwing/client/status_command.hpp"

#include "berylwing/http/http_call.hpp"
#include <iomanip>
#include <string>

namespace berylwing {

namespace {

constexpr Duration kStatusTimeout { 1000 };
constexpr unsigned kHttpVersion = 11;
constexpr int kNameWidth = 18;

std::string formatField(const nlohmann::json& object, const char* name)
{
    const auto value = object.value(name, nlohmann::json {});
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

StatusCommand::StatusCommand(const ClientOptions& clientOptions, PlatformClient& platformClient, std::ostream& output)
    : options { clientOptions }
    , platform { platformClient }
    , out { output }
{
}

Task<ExitCode> StatusCommand::run()
{
    const auto batch = co_await this->platform.watch(0, Duration {});
    auto fleet = nlohmann::json { { "revision", batch.through }, { "hosts", nlohmann::json::array() },
        { "out", nlohmann::json::array() } };
    for (const auto& object : batch.changes) {
        Findings ignored;
        const bool isState = object.kind == ObjectKind::FailureDomain || object.kind == ObjectKind::Host;
        if (isState && readMaintenanceState(object.value, object.name, ignored).isOutOfService)
            fleet["out"].push_back(object.name);
        if (object.kind != ObjectKind::Roster)
            continue;
        const auto roster = readRoster(object.value, object.name, ignored);
        for (const auto& member : roster.members) {
            auto host = co_await this->fetchHostStatus(member);
            host["domain"] = object.name;
            fleet["hosts"].push_back(host);
        }
    }
    if (this->options.isJson)
        this->out << fleet.dump(2) << "\n";
    else
        this->print(fleet);
    co_return ExitCode::Done;
}

Task<nlohmann::json> StatusCommand::fetchHostStatus(const RosterMember& member)
{
    HttpRequest request { boost::beast::http::verb::get, "/status", kHttpVersion };
    const SocketAddress address { member.address, member.statusPort };
    try {
        const auto response = co_await callHttp(address, std::move(request), kStatusTimeout);
        co_return nlohmann::json::parse(response.body());
    } catch (const HttpCallError&) {
        co_return nlohmann::json { { "host", member.host }, { "reachable", false } };
    }
}

void StatusCommand::print(const nlohmann::json& fleet)
{
    this->out << "revision " << fleet.at("revision") << ", out of service:";
    for (const auto& name : fleet.at("out"))
        this->out << " " << name.get<std::string>();
    this->out << "\n\n" << std::left;
    const auto column = [this](const std::string& value) { this->out << std::setw(kNameWidth) << value; };
    for (const auto* title : { "HOST", "DOMAIN", "READY", "CONFIGURATION", "ROSTER" })
        column(title);
    this->out << "\n";
    for (const auto& host : fleet.at("hosts")) {
        const bool isReachable = host.value("reachable", true);
        column(formatField(host, "host"));
        column(formatField(host, "domain"));
        column(isReachable ? formatField(host, "ready") : "unreachable");
        column(isReachable ? formatField(host, "configuration") : "-");
        column(isReachable ? formatField(host, "roster") : "-");
        this->out << "\n";
    }
    this->out << "\n";
    for (const auto* title : { "ENDPOINT", "OWNER", "LIFECYCLE", "IN FLIGHT", "ALLOWANCE" })
        column(title);
    this->out << "\n";
    for (const auto& host : fleet.at("hosts")) {
        for (const auto& endpoint : host.value("endpoints", nlohmann::json::array())) {
            column(formatField(endpoint, "name"));
            column(formatField(host, "host"));
            column(formatField(endpoint, "lifecycle"));
            column(formatField(endpoint, "in_flight"));
            column(formatField(endpoint, "allowance"));
            this->out << "\n";
        }
    }
}

} // namespace berylwing
