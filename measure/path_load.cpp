#include "berylwing/http/http_call.hpp"
#include "figure.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <vector>

DEFINE_string(direct, "127.0.2.1:9000", "Address and port of an engine.");
DEFINE_string(fleet, "127.0.1.1:8080", "Address and port of an entry host.");
DEFINE_string(daemons, "", "Comma-separated process ids of the daemons.");
DEFINE_int32(requests, 400, "Number of streaming requests of each comparison.");
DEFINE_int32(streams, 20, "Number of concurrent streams while CPU time is measured.");
DEFINE_int32(stream_tokens, 2000, "Number of tokens of each of these streams.");

namespace berylwing::measure {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using SteadyClock = std::chrono::steady_clock;

constexpr double kMaxAddedMs = 1.0;
constexpr double kMaxChunkMicroseconds = 10.0;
constexpr double kMinShortRequests = 5000;
constexpr double kMicro = 1e6;

/** Times measured for one or more streams. */
struct StreamTimes {
    std::vector<double> firstMs;
    std::vector<double> betweenMs;
    std::size_t chunks = 0;
    std::size_t failed = 0;
};

SocketAddress parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

double getMillisecondsSince(SteadyClock::time_point begin)
{
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - begin).count();
}

/** Sends one streaming request and records the times of its chunks. */
Task<void> streamOnce(SocketAddress address, int index, int tokens, StreamTimes& times)
{
    beast::tcp_stream stream { co_await asio::this_coro::executor };
    co_await connectHttp(stream, address);
    HttpRequest request { http::verb::post, "/v1/chat/completions", 11 };
    request.set(http::field::host, "measure");
    request.set(http::field::authorization, "Bearer hill-key");
    request.set("X-Chat-Id", "measure-" + std::to_string(index));
    request.body()
        = R"({"model":"shelf-7b","max_tokens":)" + std::to_string(tokens) + R"(,"n":)" + std::to_string(index) + "}";
    request.prepare_payload();
    const auto begin = SteadyClock::now();
    boost::system::error_code error;
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    std::string bytes(16 * 1024, '\0');
    std::string end;
    bool isFirst = true;
    auto last = begin;
    while (!error && !parser.is_done()) {
        parser.get().body() = { bytes.data(), bytes.size(), true };
        co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer)
            error = {};
        const auto size = bytes.size() - parser.get().body().size;
        if (size == 0)
            continue;
        (isFirst ? times.firstMs : times.betweenMs).push_back(getMillisecondsSince(isFirst ? begin : last));
        isFirst = false;
        last = SteadyClock::now();
        end = bytes.substr(0, size);
        ++times.chunks;
    }
    times.failed += error || !end.ends_with("data: [DONE]\n\n") ? 1 : 0;
}

Task<void> streamMany(SocketAddress address, int first, int count, int tokens, StreamTimes& times)
{
    for (int index = first; index < first + count; ++index)
        co_await streamOnce(address, index, tokens, times);
}

/** Runs `count` requests one after the other on each of `parallel` lanes. */
StreamTimes runStreams(const std::string& target, int parallel, int count, int tokens)
{
    asio::io_context context { 1 };
    StreamTimes times;
    for (int lane = 0; lane < parallel; ++lane)
        asio::co_spawn(context, streamMany(parseAddress(target), lane * count, count, tokens, times), asio::detached);
    context.run();
    return times;
}

double computeQuantile(std::vector<double> values, double part)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

/** Returns the CPU seconds used by the daemons, from utime and stime (fields 14 and 15) of /proc/PID/stat. */
double readDaemonSeconds()
{
    double ticks = 0;
    std::istringstream list { FLAGS_daemons };
    std::string process;
    while (std::getline(list, process, ',')) {
        std::ifstream file { "/proc/" + process + "/stat" };
        std::string word;
        for (int field = 1; field <= 15 && file >> word; ++field)
            ticks += field >= 14 ? std::stod(word) : 0;
    }
    return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/** Compares requests through the fleet with requests sent directly to the engine. */
void measurePath(Report& report)
{
    constexpr int kTokens = 20;
    static_cast<void>(runStreams(FLAGS_fleet, 1, FLAGS_requests / 4, kTokens));
    const auto direct = runStreams(FLAGS_direct, 1, FLAGS_requests, kTokens);
    const auto fleet = runStreams(FLAGS_fleet, 1, FLAGS_requests, kTokens);
    for (const double part : { 0.5, 0.95, 0.99 }) {
        const auto suffix = ".p" + std::to_string(static_cast<int>(part * 100));
        const auto first = computeQuantile(direct.firstMs, part);
        report.add({ "path.first_token_added" + suffix, computeQuantile(fleet.firstMs, part) - first, "ms", kMaxAddedMs,
            {}, first });
        const auto between = computeQuantile(direct.betweenMs, part);
        report.add({ "path.between_tokens_added" + suffix, computeQuantile(fleet.betweenMs, part) - between, "ms",
            kMaxAddedMs, {}, between });
    }
    report.add({ "path.failed", static_cast<double>(fleet.failed), "of " + std::to_string(FLAGS_requests), 0.0 });
    auto before = readDaemonSeconds();
    const auto streams = runStreams(FLAGS_fleet, FLAGS_streams, 1, FLAGS_stream_tokens);
    report.add({ "path.chunk", (readDaemonSeconds() - before) / static_cast<double>(streams.chunks) * kMicro,
        "us of CPU a relayed chunk, both hops", kMaxChunkMicroseconds });
    report.add({ "path.chunks", static_cast<double>(streams.chunks), "chunks relayed" });
    before = readDaemonSeconds();
    const auto shortStreams = runStreams(FLAGS_fleet, FLAGS_streams, FLAGS_requests, 1);
    report.add(
        { "path.short_requests", static_cast<double>(shortStreams.firstMs.size()) / (readDaemonSeconds() - before),
            "requests/s a core of the daemons, both hops", {}, kMinShortRequests });
}

} // namespace

} // namespace berylwing::measure

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    berylwing::measure::Report report;
    berylwing::measure::measurePath(report);
    return report.countMisses() == 0 ? 0 : 1;
}
