#include "berylwing/client/object_commands.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "support/object_store.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <sstream>

namespace {

using namespace berylwing;
using namespace berylwing::test;

/** Commands on an object store, with a hook before each write and responses that can be lost. */
struct ClientFixture {
    ClientFixture()
        : platform { [this](const PlatformCall& call) { return this->send(call); }, metrics }
        , commands { options, platform, out, err }
    {
    }

    Task<PlatformReply> send(PlatformCall call)
    {
        const bool isWrite = call.operation == PlatformOperation::Put || call.operation == PlatformOperation::Remove;
        if (isWrite && this->beforeWrite)
            this->beforeWrite();
        auto reply = this->store.apply(call);
        if (isWrite && this->isReplyLost)
            throw PlatformError { PlatformFault::OutcomeUnknown, "response lost" };
        co_return reply;
    }

    ExitCode run(Task<ExitCode> task)
    {
        boost::asio::io_context context;
        ExitCode code {};
        boost::asio::co_spawn(
            context, std::move(task), [&code](const std::exception_ptr&, ExitCode result) { code = result; });
        context.run();
        return code;
    }

    ObjectStore store;
    std::function<void()> beforeWrite;
    bool isReplyLost = false;
    Metrics metrics;
    ClientOptions options;
    std::ostringstream out;
    std::ostringstream err;
    PlatformClient platform;
    ObjectCommands commands;
};

} // namespace

TEST_CASE("A write fails with a conflict if the object changes between its read and the write", "[client]")
{
    ClientFixture client;
    client.beforeWrite = [&client] {
        client.store.write(ObjectKind::FailureDomain, "knox", { { "name", "knox" }, { "out", false } });
    };
    CHECK(client.run(client.commands.setOutOfService(ObjectKind::FailureDomain, "knox", true)) == ExitCode::Conflict);
    CHECK(client.store.body(ObjectKind::FailureDomain, "knox").find("true") == std::string::npos);
    client.beforeWrite = {};
    CHECK(client.run(client.commands.setOutOfService(ObjectKind::FailureDomain, "knox", true)) == ExitCode::Done);
    CHECK(client.store.body(ObjectKind::FailureDomain, "knox").find("true") != std::string::npos);
}

TEST_CASE("A write whose response is lost is confirmed by reading the object", "[client]")
{
    ClientFixture client;
    client.isReplyLost = true;
    CHECK(client.run(client.commands.setOutOfService(ObjectKind::Host, "knox-0", true)) == ExitCode::Done);
    CHECK(client.out.str().find("the response was lost") != std::string::npos);
}

TEST_CASE("A write fails with a conflict if the object does not have the expected version", "[client]")
{
    ClientFixture client;
    client.store.write(ObjectKind::Host, "knox-0", { { "name", "knox-0" }, { "out", false } });
    client.options.expectedVersion = 17;
    CHECK(client.run(client.commands.setOutOfService(ObjectKind::Host, "knox-0", true)) == ExitCode::Conflict);
}
