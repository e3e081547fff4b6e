#include "berylwing/client/object_commands.hpp"

#include "berylwing/config/document_reader.hpp"
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <utility>
#include <vector>

namespace berylwing {

namespace {

struct NamedObject {
    ObjectKind kind;
    std::string name;
    nlohmann::json value;
};

const char* nameField(ObjectKind kind) { return kind == ObjectKind::Contract ? "workspace" : "name"; }

std::string readObjectName(ObjectKind kind, const nlohmann::json& value)
{
    return value.is_object() ? value.value(nameField(kind), std::string {}) : std::string {};
}

nlohmann::json readJson(const std::string& path, Findings& findings)
{
    std::ifstream file { path };
    if (!file) {
        findings.add(path, "no readable file", "a readable file");
        return nlohmann::json::object();
    }
    const std::string text { std::istreambuf_iterator<char> { file }, {} };
    return parseDocument(text, path, findings);
}

std::vector<NamedObject> readObjects(const std::string& path, Findings& findings)
{
    const auto document = readJson(path, findings);
    std::vector<NamedObject> objects;
    for (const auto& [kindName, list] : document.items()) {
        const auto kind = kObjectKindNames.find(kindName);
        if (!kind || !list.is_array()) {
            findings.add(path + "/" + kindName, "an unknown name", "lists named by the kind of their objects");
            continue;
        }
        for (const auto& value : list) {
            const auto name = readObjectName(*kind, value);
            findings.addAll(path + "/" + name, checkObject(*kind, name, value));
            objects.push_back({ *kind, name, value });
        }
    }
    return objects;
}

} // namespace

ObjectCommands::ObjectCommands(
    const ClientOptions& clientOptions, PlatformClient& platformClient, std::ostream& output, std::ostream& errors)
    : options { clientOptions }
    , platform { platformClient }
    , out { output }
    , err { errors }
{
}

Task<ExitCode> ObjectCommands::list(ObjectKind kind)
{
    const auto batch = co_await this->platform.watch(0, Duration {});
    auto listing = nlohmann::json::array();
    for (const auto& object : batch.changes) {
        if (object.kind == kind && !object.value.empty())
            listing.push_back({ { "name", object.name }, { "version", object.version } });
    }
    if (this->options.isJson) {
        this->out << listing.dump(2) << "\n";
        co_return ExitCode::Done;
    }
    for (const auto& entry : listing)
        this->out << entry.at("name").get<std::string>() << "\tversion " << entry.at("version") << "\n";
    co_return ExitCode::Done;
}

Task<ExitCode> ObjectCommands::show(ObjectKind kind, std::string name)
{
    const auto stored = co_await this->platform.get(kind, name);
    if (!stored) {
        this->err << name << ": does not exist\n";
        co_return ExitCode::NotFound;
    }
    this->out << nlohmann::json { { "version", stored->version }, { "value", stored->value } }.dump(2) << "\n";
    co_return ExitCode::Done;
}

Task<ExitCode> ObjectCommands::set(ObjectKind kind, std::string path)
{
    Findings findings;
    auto value = readJson(path, findings);
    const auto name = readObjectName(kind, value);
    if (findings.empty())
        findings.addAll(path, checkObject(kind, name, value));
    if (!findings.empty()) {
        this->err << findings.text();
        co_return ExitCode::Findings;
    }
    co_return co_await this->write(kind, name, std::move(value));
}

Task<ExitCode> ObjectCommands::remove(ObjectKind kind, std::string name)
{
    const auto stored = co_await this->platform.get(kind, name);
    if (!stored) {
        this->err << name << ": does not exist\n";
        co_return ExitCode::NotFound;
    }
    const bool hasExpectedVersion = this->options.expectedVersion >= 0;
    const auto expected
        = hasExpectedVersion ? static_cast<std::uint64_t>(this->options.expectedVersion) : stored->version;
    PlatformFault fault {};
    try {
        const auto revision = co_await this->platform.remove(kind, name, expected);
        this->out << name << ": removed at revision " << revision << "\n";
        co_return ExitCode::Done;
    } catch (const PlatformError& error) {
        fault = error.fault();
        if (fault == PlatformFault::Unavailable)
            throw;
    }
    if (fault == PlatformFault::Conflict)
        co_return this->reportConflict(name);
    if (!co_await this->platform.get(kind, name)) {
        this->out << name << ": removed\n";
        co_return ExitCode::Done;
    }
    this->err << name << ": the response was lost and the object still exists\n";
    co_return ExitCode::OutcomeUnknown;
}

Task<ExitCode> ObjectCommands::setOutOfService(ObjectKind kind, std::string name, bool isOutOfService)
{
    nlohmann::json value { { "name", name }, { "out", isOutOfService } };
    co_return co_await this->write(kind, std::move(name), std::move(value));
}

Task<ExitCode> ObjectCommands::apply(std::string path)
{
    Findings findings;
    const auto objects = readObjects(path, findings);
    if (!findings.empty()) {
        this->err << findings.text();
        co_return ExitCode::Findings;
    }
    for (const auto& object : objects) {
        const auto code = co_await this->write(object.kind, object.name, object.value);
        if (code != ExitCode::Done)
            co_return code;
    }
    co_return ExitCode::Done;
}

ExitCode ObjectCommands::check(const std::string& path)
{
    Findings findings;
    const auto objects = readObjects(path, findings);
    this->err << findings.text();
    if (!findings.empty())
        return ExitCode::Findings;
    this->out << path << ": no findings in " << objects.size() << " objects\n";
    return ExitCode::Done;
}

Task<ExitCode> ObjectCommands::write(ObjectKind kind, std::string name, nlohmann::json value)
{
    const auto stored = co_await this->platform.get(kind, name);
    const bool hasExpectedVersion = this->options.expectedVersion >= 0;
    const auto current = stored ? stored->version : 0;
    const auto expected = hasExpectedVersion ? static_cast<std::uint64_t>(this->options.expectedVersion) : current;
    if (stored && expected == current && stored->value == value) {
        this->out << name << ": unchanged at version " << current << "\n";
        co_return ExitCode::Done;
    }
    PlatformFault fault {};
    try {
        const auto version = co_await this->platform.put(kind, name, value, expected);
        this->out << name << ": accepted as version " << version << "\n";
        co_return ExitCode::Done;
    } catch (const PlatformError& error) {
        fault = error.fault();
        if (fault == PlatformFault::Unavailable)
            throw;
    }
    if (fault == PlatformFault::Conflict)
        co_return this->reportConflict(name);
    co_return co_await this->resolveUnknownOutcome(kind, std::move(name), std::move(value));
}

Task<ExitCode> ObjectCommands::resolveUnknownOutcome(ObjectKind kind, std::string name, nlohmann::json value)
{
    const auto stored = co_await this->platform.get(kind, name);
    if (stored && stored->value == value) {
        this->out << name << ": the response was lost; version " << stored->version << " contains the document\n";
        co_return ExitCode::Done;
    }
    this->err << name << ": the response was lost and the object has other contents; read it before a retry\n";
    co_return ExitCode::OutcomeUnknown;
}

ExitCode ObjectCommands::reportConflict(const std::string& name)
{
    this->err << name << ": not at the expected version; nothing was written, read it and try again\n";
    return ExitCode::Conflict;
}

} // namespace berylwing
