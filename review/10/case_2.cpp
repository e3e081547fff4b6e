// Entries of another writer, as large as the store takes, keep hosts from starting: a host that lists the endpoints
// holds all documents of all pages at once, each in many times the memory of its text.

#include "fleet.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <list>

namespace {

using namespace review;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr unsigned kMemoryMb = 260;
constexpr unsigned kDescriptors = 4100;
/** Limit of a head in the configuration, as on the protocol's page. */
constexpr std::size_t kMaxHeaderBytes = 16384;
constexpr int kOddEntries = 12;
constexpr std::size_t kMaxValueBytes = 1'048'576;

/** Returns a line of /proc/PID/status in megabytes. */
double memoryOf(pid_t pid, const std::string& name)
{
    std::ifstream file { fmt::format("/proc/{}/status", pid) };
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(name + ":"))
            return std::atof(line.substr(name.size() + 1).c_str()) / 1024;
    }
    return 0;
}

/** Returns a document of nearly the largest size that the store takes, whose fields have other types. */
json makeOddEntry()
{
    json list = json::array();
    for (std::size_t number = 0; number < kMaxValueBytes / 3 - 100; ++number)
        list.push_back(json::object());
    return { { "service", "desk" }, { "models", std::move(list) } };
}

Task<void> play(Fleet& fleet, bool isTroubled, double& peakMb, bool& isAnswered, bool& isAlive)
{
    const auto pid = fleet.hosts[0]->process.id();
    fleet.note(fmt::format("before: {:.1f} MB resident", memoryOf(pid, "VmRSS")));
    const auto odd = makeOddEntry();
    for (int number = 0; isTroubled && number < kOddEntries; ++number) {
        fleet.store.write("servers", fmt::format("odd-{}", number), odd);
        co_await fleet.clock.sleepFor(Duration { 1000 });
        fleet.note(fmt::format("written: {} odd entries; {:.1f} MB resident, {:.1f} at the most", number + 1,
            memoryOf(pid, "VmRSS"), memoryOf(pid, "VmHWM")));
    }
    fleet.hosts[1]->process.start();
    const bool isReady = co_await fleet.waitUntilReady(1, Duration { 20000 });
    co_await fleet.clock.sleepFor(Duration { 1000 });
    isAlive = fleet.hosts[0]->process.isRunning() && fleet.hosts[1]->process.isRunning();
    peakMb = std::max(memoryOf(pid, "VmHWM"), memoryOf(fleet.hosts[1]->process.id(), "VmHWM"));
    fleet.note(fmt::format("the host that was restarted is {}; {:.1f} MB at the most, {:.1f} MB at the other",
        isReady ? "ready" : "not ready", memoryOf(fleet.hosts[1]->process.id(), "VmHWM"), memoryOf(pid, "VmHWM")));
    const std::string ordinary = "POST /order/2f HTTP/1.1\r\nHost: review.example\r\nAttempt-Id: ordinary\r\n"
                                 "Deadline-Ms: 5000\r\nContent-Length: 2\r\n\r\n11";
    const auto answer = co_await fleet.send(0, ordinary, fleet.clock.now() + Duration { 5000 });
    isAnswered = answer.status == 200;
    fleet.note(fmt::format("answered: an ordinary request got {}", answer.status));
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
        return 2;
    const bool isTroubled = hasTrouble();
    Fleet fleet { { arguments[1], arguments[2], { "knox-a", "knox-b" },
        json { { "memory_mb", kMemoryMb }, { "max_fds", kDescriptors } } } };
    fleet.store.write("config", "main",
        { { "version", 1 },
            { "routes",
                { { { "name", "order" }, { "hostname", "review.example" }, { "path_prefix", "/order/" },
                    { "route_kind", "non_idempotent" }, { "service", "desk" }, { "timeout_ms", 5000 },
                    { "target_latency_ms", 300 }, { "priority", 0 }, { "max_attempts", 1 }, { "sticky", false },
                    { "public", true }, { "resumable", false } } } },
            { "services", { { { "name", "desk" }, { "max_connections", 100 }, { "health_path", "/healthz" } } } },
            { "limits",
                { { "max_header_bytes", kMaxHeaderBytes }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } } });
    fleet.listenEngine(1, [&fleet](boost::beast::tcp_stream& stream, const StandInRequest& request) -> Task<bool> {
        const auto attempt = header(request, "Attempt-Id");
        fleet.note("run: " + attempt);
        StandInResponse answer { http::status::ok, 11 };
        answer.set("Attempt-Id", attempt);
        answer.set("Server-Signature", "desk." + attempt);
        answer.body() = "ok";
        co_await respond(stream, std::move(answer));
        co_return true;
    });
    fleet.putEngine("i-desk", "desk", "knox-a", 1, "v1");
    // A page of a list holds 1 MB at most, so one of these entries.
    fleet.store.maxPageItems = 1;
    if (!fleet.start())
        return 2;
    // One host is stopped as planned; it starts again once the entries are there.
    fleet.hosts[1]->process.signal(SIGTERM);
    while (!fleet.hosts[1]->process.pollExit())
        fleet.context.run_for(std::chrono::milliseconds { 10 });
    double peakMb = 0;
    bool isAnswered = false;
    bool isAlive = true;
    fleet.run(play(fleet, isTroubled, peakMb, isAnswered, isAlive));
    const bool isBroken = peakMb > kMemoryMb || !isAlive;
    const auto result = fmt::format("{:.1f} MB of {} MB at the most, an ordinary request {} answered: {}", peakMb,
        kMemoryMb, isAnswered ? "was" : "was not",
        isBroken ? "the process exceeds the memory of its machine" : "the process stays within its memory");
    fleet.note(result);
    std::cout << result << '\n';
    return isBroken ? 1 : 0;
}
