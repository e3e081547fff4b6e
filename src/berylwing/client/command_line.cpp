#include "berylwing/client/command_line.hpp"

#include "berylwing/client/check_plan_command.hpp"
#include "berylwing/client/load_audit.hpp"
#include "berylwing/client/object_commands.hpp"
#include "berylwing/client/request_timeline.hpp"
#include "berylwing/client/status_command.hpp"
#include "berylwing/http/platform_transport.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

namespace berylwing {

const char* const kClientHelp = R"(berylwing reads and changes the configuration of the fleet and shows its state.

  berylwing contract list|show NAME|set FILE|remove NAME
  berylwing endpoint list|show NAME|set FILE|remove NAME
  berylwing service  list|show NAME|set FILE|remove NAME
  berylwing domain   out|in|status NAME     take a failure domain out of or into service, or show it
  berylwing host     out|in|status NAME     the same for one host
  berylwing status                          the fleet: hosts, endpoints, load
  berylwing apply FILE                      write all objects of a file
  berylwing check FILE                      validate the objects of a file without writing
  berylwing check-plan FILE                 check a gateway's routing plan; --against=FILE or --against=store
                                            also shows what differs from the plan in force
  berylwing explain ID [FILE...]            show a request's timeline from the hosts' logs
  berylwing loads [FILE...]                 compare the loads that hosts believed in with the true ones, from all logs

Options: --platform=ADDRESS:PORT (or FLAGS_platform in the environment), --json,
--expected_version=N to write only over version N (0: only if there is none).

A write replaces the version read just before it. If the object was changed in between, nothing is written.
Exit codes: 0 done, 1 platform unreachable, 2 usage, 3 findings, 4 conflict, 5 not found, 6 outcome unknown.

Example:  berylwing --platform=127.0.0.1:7000 domain out knox-a
)";

namespace {

std::optional<ObjectKind> parseObjectKind(const std::string& word)
{
    if (word == "contract")
        return ObjectKind::Contract;
    if (word == "endpoint")
        return ObjectKind::Endpoint;
    if (word == "service")
        return ObjectKind::Service;
    if (word == "domain")
        return ObjectKind::FailureDomain;
    if (word == "host")
        return ObjectKind::Host;
    return std::nullopt;
}

/** Checks if operators take objects of this kind out of service instead of writing them. */
bool hasMaintenanceState(ObjectKind kind) { return kind == ObjectKind::FailureDomain || kind == ObjectKind::Host; }

/** Creates the task of an object command; empty if the arguments are invalid. */
std::optional<Task<ExitCode>> makeObjectTask(
    ObjectCommands& commands, ObjectKind kind, const std::string& verb, const std::string& argument)
{
    if (verb == "list")
        return commands.list(kind);
    if (argument.empty())
        return std::nullopt;
    if (verb == "show" || verb == "status")
        return commands.show(kind, argument);
    if (hasMaintenanceState(kind) && (verb == "out" || verb == "in"))
        return commands.setOutOfService(kind, argument, verb == "out");
    if (!hasMaintenanceState(kind) && verb == "set")
        return commands.set(kind, argument);
    if (!hasMaintenanceState(kind) && verb == "remove")
        return commands.remove(kind, argument);
    return std::nullopt;
}

ExitCode runTask(boost::asio::io_context& context, Task<ExitCode> task)
{
    ExitCode code = ExitCode::Done;
    std::exception_ptr failure;
    boost::asio::co_spawn(context, std::move(task), [&](const std::exception_ptr& error, ExitCode result) {
        failure = error;
        code = result;
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return code;
}

/**
 * Reads logs from the files that the arguments name from an index on, or from standard input if there is none.
 * Returns false, after reporting it, if a file cannot be read.
 */
template <typename Reader>
bool readLogs(Reader& reader, const std::vector<std::string>& arguments, std::size_t first, std::ostream& errors)
{
    for (std::size_t index = first; index < arguments.size(); ++index) {
        std::ifstream file { arguments[index] };
        if (!file) {
            errors << "cannot read " << arguments[index] << "\n";
            return false;
        }
        reader.read(file);
    }
    if (arguments.size() == first)
        reader.read(std::cin);
    return true;
}

} // namespace

CommandLine::CommandLine(ClientOptions clientOptions, PlanAccess planAccess, std::ostream& output, std::ostream& errors)
    : options { std::move(clientOptions) }
    , plans { std::move(planAccess) }
    , out { output }
    , err { errors }
{
}

ExitCode CommandLine::run(const std::vector<std::string>& arguments)
{
    try {
        return this->dispatch(arguments);
    } catch (const PlatformError& error) {
        this->err << "the platform is unavailable: " << error.what() << "\n";
        return ExitCode::Unavailable;
    }
}

ExitCode CommandLine::explain(const std::vector<std::string>& arguments)
{
    RequestTimeline timeline { arguments[1] };
    if (!readLogs(timeline, arguments, 2, this->err))
        return ExitCode::Usage;
    if (!timeline.isKnown()) {
        this->err << "no log line found for request " << arguments[1] << "\n";
        return ExitCode::NotFound;
    }
    timeline.print(this->out);
    return ExitCode::Done;
}

ExitCode CommandLine::auditLoads(const std::vector<std::string>& arguments)
{
    LoadAudit audit;
    if (!readLogs(audit, arguments, 1, this->err))
        return ExitCode::Usage;
    audit.print(this->out);
    return ExitCode::Done;
}

ExitCode CommandLine::checkPlan(const std::string& path)
{
    boost::asio::io_context context { 1 };
    Metrics metrics;
    PlatformClient store { this->plans.connect(this->options.platform), metrics };
    CheckPlanCommand command { this->options, this->plans.list, store, this->out };
    return runTask(context, command.run(path));
}

ExitCode CommandLine::dispatch(const std::vector<std::string>& arguments)
{
    boost::asio::io_context context { 1 };
    Metrics metrics;
    PlatformClient platform { makePlatformTransport(this->options.platform), metrics };
    ObjectCommands commands { this->options, platform, this->out, this->err };
    StatusCommand status { this->options, platform, this->out };
    const auto argument
        = [&arguments](std::size_t index) { return index < arguments.size() ? arguments[index] : std::string {}; };
    if (argument(0) == "explain" && arguments.size() >= 2)
        return this->explain(arguments);
    if (argument(0) == "loads")
        return this->auditLoads(arguments);
    if (argument(0) == "status")
        return runTask(context, status.run());
    if (argument(0) == "apply" && arguments.size() == 2)
        return runTask(context, commands.apply(argument(1)));
    if (argument(0) == "check" && arguments.size() == 2)
        return commands.check(argument(1));
    if (argument(0) == "check-plan" && arguments.size() == 2)
        return this->checkPlan(argument(1));
    if (const auto kind = parseObjectKind(argument(0))) {
        if (auto task = makeObjectTask(commands, *kind, argument(1), argument(2)))
            return runTask(context, std::move(*task));
    }
    this->err << kClientHelp;
    return ExitCode::Usage;
}

} // namespace berylwing
