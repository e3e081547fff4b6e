// Objects of another writer, each nearly as large as the store takes, against a host as a real process. The number of
// objects and the bound are fixed; the cases are run like those of the callers that keep to no limit.
#include "platform/daemon_harness.hpp"
#include "platform/names.hpp"
#include "platform/process_memory.hpp"
#include <catch2/catch.hpp>
#include <iostream>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;
namespace http = boost::beast::http;
namespace names = platform::names;
using nlohmann::json;

constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kDescriptors = 300;
constexpr int kObjects = 12;
/** Size of the largest object that the store takes, in bytes. */
constexpr std::size_t kMaxObjectBytes = 1024 * 1024;
constexpr Duration kRetryInterval { 100 };
/** Attempts after which the test gives up; a host on a busy machine needs seconds for a store whose answers are large.
 */
constexpr int kMaxAttempts = 600;

/** Returns a list whose parsed form takes many times the memory of its text. */
json makeLargeList()
{
    json list = json::array();
    for (std::size_t bytes = 0; bytes + 1000 < kMaxObjectBytes; bytes += 3)
        list.push_back(json::object());
    return list;
}

/** A host of little memory, with one endpoint for ordinary requests. */
class SmallHost {
public:
    SmallHost()
    {
        this->harness.listen(1, [](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
            StandInResponse response { http::status::ok, 11 };
            response.set(std::string { names::kAttemptId }, header(request, std::string { names::kAttemptId }.c_str()));
            response.set(std::string { names::kSignature }, "signed");
            response.body() = "whole";
            co_await respond(stream, std::move(response));
            co_return true;
        });
        this->harness.store.maxPageItems = 1;
    }

    /** Writes objects that have a field of their kind and a large list. */
    void writeOdd(std::string_view kind, const std::string& field, const json& value)
    {
        const json odd { { field, value }, { "models", makeLargeList() } };
        for (int number = 0; number < kObjects; ++number)
            this->harness.store.write(std::string { kind }, "odd-" + std::to_string(number), odd);
    }

    /** Checks that the host serves once it has read all objects, and that it has stayed within its memory. */
    void check()
    {
        // The endpoint was written last, so that the host has read the others when it knows it.
        auto status = http::status::unknown;
        for (int attempt = 0; attempt < kMaxAttempts && status != http::status::ok; ++attempt) {
            this->harness.runFor(kRetryInterval);
            auto request = DaemonHarness::makeRequest("/order/one", "ordinary-" + std::to_string(attempt));
            status = this->harness.call(std::move(request)).result();
        }
        CHECK(status == http::status::ok);
        CHECK_FALSE(this->harness.process->pollExit());
        const auto peak = peakMegabytes(this->harness.process->id());
        std::cout << "peak " << peak << " MB\n";
        CHECK(peak <= kMemoryMegabytes);
    }

    DaemonHarness harness { json { { "memory_mb", kMemoryMegabytes }, { "max_fds", kDescriptors } } };
};

} // namespace

// Guards against hosts that hold the parsed documents of a whole list while they start (review/10).
TEST_CASE("Large odd objects of any kind cost a host that starts no more than its memory", "[memory]")
{
    SmallHost host;
    SECTION("endpoints") { host.writeOdd(names::kServersKind, "service", "desk"); }
    SECTION("endpoints whose own fields are large") { host.writeOdd(names::kServersKind, "service", makeLargeList()); }
    SECTION("withdrawn domains") { host.writeOdd(names::kEvacuationsKind, "reason", "none"); }
    SECTION("hosts") { host.writeOdd(names::kHostsKind, "domain", "knox-a"); }
    SECTION("plans") { host.writeOdd(names::kConfigKind, "version", 0); }
    host.harness.putEndpoint("ordinary", "desk", 1);
    host.harness.start();
    host.check();
}

// Guards against hosts that hold all documents of a watch's answer at once, and against a watch that fails for good
// because its answer is too large.
TEST_CASE("Large odd objects that come in one watch cost a host no more than its memory", "[memory]")
{
    SmallHost host;
    host.harness.start();
    host.writeOdd(names::kServersKind, "service", "desk");
    const bool isHistoryDropped = GENERATE(false, true);
    CAPTURE(isHistoryDropped);
    if (isHistoryDropped)
        host.harness.store.dropHistory();
    host.harness.putEndpoint("ordinary", "desk", 1);
    host.check();
}

// Guards against a bound that refuses the entries of sound endpoints.
TEST_CASE("An endpoint whose entry has a large field that hosts do not read is used", "[memory]")
{
    SmallHost host;
    host.harness.store.write(std::string { names::kServersKind }, "ordinary",
        { { "service", "desk" }, { "zone", "knox-a" }, { "version", "v1" },
            { "address", host.harness.endpointAddress(1).toText() }, { "slots", 16 }, { "state", "ready" },
            { "models", makeLargeList() } });
    host.harness.start();
    host.check();
}
