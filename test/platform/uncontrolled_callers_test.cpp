// Callers that do not keep to any limit, against a host as a real process. Each case fixes a crowd and two bounds,
// which stand for the memory and the descriptors of a small machine. The cases are run one at a time, apart from other
// load, and in release builds only, as sanitizers multiply the memory of a process.
#include "platform/daemon_harness.hpp"
#include "platform/names.hpp"
#include "platform/process_memory.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <filesystem>
#include <iostream>
#include <list>
#include <sstream>
#include <string>
#include <sys/resource.h>

namespace {

using namespace berylwing;
using namespace berylwing::test;
namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace names = platform::names;
using Tcp = asio::ip::tcp;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kMegabyte = 1024 * kKilobyte;
/** Memory and descriptors of the machine. */
constexpr std::size_t kMemoryMegabytes = 64;
constexpr std::size_t kDescriptors = 300;
/** Callers of a crowd, and what each of them sends at most. */
constexpr int kCrowd = 24;
constexpr std::size_t kSentBytes = 12 * kMegabyte;
constexpr int kIdleCrowd = 400;
/** A crowd whose callers send little each, the descriptors that let all of them in, and the fields of their heads. */
constexpr int kLargeCrowd = 300;
constexpr std::size_t kManyDescriptors = 900;
constexpr int kFields = 3000;
/** Fields of an ordinary request with many of them: the stand-in of an endpoint reads heads of 8 KB. */
constexpr int kOrdinaryFields = 1200;
/** Chunks of one byte that a caller sends. */
constexpr int kTinyChunks = 1'000'000;
/** Descriptors of a process that has fewer than its settings say: some more than those of a host without callers. */
constexpr std::size_t kFewDescriptors = 32;
/** Size of the largest allowed body. */
constexpr std::size_t kMaxBodyBytes = 4 * kMegabyte;
constexpr std::size_t kPieceBytes = 64 * kKilobyte;
constexpr std::size_t kLargeAnswerBytes = 8 * kMegabyte;
/** How long the crowd goes on if the host neither takes its bytes nor closes its connections. */
constexpr Duration kCrowdLength { 4000 };
constexpr Duration kStep { 50 };
/** Time in which what was sent arrives at the endpoint. */
constexpr Duration kSettleTime { 500 };
constexpr Duration kHeldTime { 60'000 };

/** What each caller of a crowd sends: a start, pieces up to a size, and nothing after that. */
struct Script {
    std::string start;
    std::string piece;
    std::size_t bytes = 0;
};

/** A host with endpoints for the crowd and one for ordinary requests. */
class CallerCrowd {
    Task<void> send(Tcp::socket& socket, const Script& script, const SocketAddress& address)
    {
        const Tcp::endpoint target { asio::ip::make_address(address.address), address.port };
        boost::system::error_code error;
        co_await socket.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (!error)
            co_await asio::async_write(
                socket, asio::buffer(script.start), asio::redirect_error(asio::use_awaitable, error));
        for (std::size_t sent = 0; !error && sent < script.bytes; sent += script.piece.size()) {
            const auto size = std::min(script.piece.size(), script.bytes - sent);
            co_await asio::async_write(
                socket, asio::buffer(script.piece, size), asio::redirect_error(asio::use_awaitable, error));
        }
        ++this->ended;
    }

    static Task<bool> serve(CallerCrowd* crowd, boost::beast::tcp_stream& stream, const StandInRequest& request)
    {
        const std::string target { request.target().data(), request.target().size() };
        if (target.find("held") != std::string::npos)
            co_await crowd->harness.clock.sleepFor(kHeldTime);
        StandInResponse response { http::status::ok, 11 };
        response.set(std::string { names::kAttemptId }, header(request, std::string { names::kAttemptId }.c_str()));
        response.set(std::string { names::kSignature }, "signed");
        response.body() = target.find("large") == std::string::npos ? "whole" : std::string(kLargeAnswerBytes, 'a');
        co_await respond(stream, std::move(response));
        co_return true;
    }

public:
    explicit CallerCrowd(std::size_t descriptorLimit = kDescriptors)
        : maxDescriptors { descriptorLimit }
    {
        const auto handler = [this](boost::beast::tcp_stream& stream, const StandInRequest& request) {
            return serve(this, stream, request);
        };
        for (const std::uint16_t number : { 1, 2, 3 }) {
            this->harness.listen(number, handler);
            this->harness.putEndpoint("crowd-" + std::to_string(number), "engines", number);
        }
        this->harness.listen(4, handler);
        this->harness.putEndpoint("ordinary", "desk", 4);
        this->harness.start();
    }

    /** Lets a crowd send to the address for callers, and keeps its connections open. */
    void play(int callers, const Script& script) { this->play(callers, script, this->harness.callerAddress()); }

    /** Lets a crowd send to an address, and keeps its connections open. */
    void play(int callers, const Script& script, const SocketAddress& address)
    {
        for (int caller = 0; caller < callers; ++caller) {
            auto& socket = this->sockets.emplace_back(this->harness.executor());
            spawn(this->harness.executor(), "crowd", this->send(socket, script, address));
        }
        for (Duration waited {}; waited < kCrowdLength && this->ended < callers; waited += kStep)
            this->step(kStep);
        this->step(kSettleTime);
    }

    /** Leaves the process fewer descriptors than its settings say. */
    void limitDescriptors(rlim_t count) const
    {
        const rlimit limit { count, count };
        REQUIRE(prlimit(this->harness.process->id(), RLIMIT_NOFILE, &limit, nullptr) == 0);
    }

    /** Sends one request on a new connection. */
    [[nodiscard]] bool isServed(const std::string& body, int moreFields = 0)
    {
        auto request = DaemonHarness::makeRequest("/order/one", "ordinary");
        for (int field = 0; field < moreFields; ++field)
            request.insert("a", "");
        request.body() = body;
        request.prepare_payload();
        try {
            const auto response = this->harness.call(std::move(request));
            return response.result() == http::status::ok && response.body() == "whole";
        } catch (const HttpCallError& error) {
            WARN(error.what());
            return false;
        }
    }

    /** Checks what must hold of the host whatever callers send. */
    void check()
    {
        CHECK_FALSE(this->harness.process->pollExit());
        CHECK(this->isServed("ordinary"));
        const auto peak = peakMegabytes(this->harness.process->id());
        std::cout << "peak " << peak << " MB, " << this->peakDescriptors << " descriptors\n";
        CHECK(peak <= kMemoryMegabytes);
        CHECK(this->peakDescriptors <= this->maxDescriptors);
    }

    /** Returns the addresses of the host. */
    [[nodiscard]] const GatewayAddresses& addresses() const { return this->harness.process->addresses(); }

    /** Returns the head of a request of the crowd without its framing. */
    [[nodiscard]] std::string head(const std::string& path) const
    {
        return "POST " + path + " HTTP/1.1\r\nHost: " + this->harness.callerAddress().address + "\r\n"
            + std::string { names::kAttemptId } + ": crowd\r\n";
    }

    /** Returns the head of a request of the crowd with many short fields. */
    [[nodiscard]] std::string headOfFields(const std::string& path, std::size_t length) const
    {
        auto text = this->head(path) + "Content-Length: " + std::to_string(length) + "\r\n";
        for (int field = 0; field < kFields; ++field)
            text += "a:\r\n";
        return text + "\r\n";
    }

    /** Returns the head of a request of the crowd whose body is in chunks. */
    [[nodiscard]] std::string chunkedHead() const
    {
        return this->head("/order/crowd") + "Transfer-Encoding: chunked\r\n\r\n";
    }

    [[nodiscard]] std::string headWithLength(const std::string& path, std::size_t length) const
    {
        return this->head(path) + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
    }

private:
    void step(Duration length)
    {
        this->harness.runFor(length);
        const std::filesystem::directory_iterator open { this->folder() + "/fd" };
        this->peakDescriptors
            = std::max(this->peakDescriptors, static_cast<std::size_t>(std::distance(begin(open), end(open))));
    }

    [[nodiscard]] std::string folder() const { return "/proc/" + std::to_string(this->harness.process->id()); }

    std::size_t maxDescriptors;
    DaemonHarness harness { nlohmann::json { { "memory_mb", kMemoryMegabytes }, { "max_fds", this->maxDescriptors } } };
    std::list<Tcp::socket> sockets;
    int ended = 0;
    std::size_t peakDescriptors = 0;
};

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string repeated;
    while (repeated.size() < bytes)
        repeated += text;
    return repeated;
}

std::string chunkOf(std::size_t bytes)
{
    std::ostringstream text;
    text << std::hex << bytes << "\r\n" << std::string(bytes, 'a') << "\r\n";
    return text.str();
}

} // namespace

TEST_CASE("Trailers without end cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.chunkedHead() + "0\r\n", repeat("X-More: and more\r\n", kPieceBytes), kSentBytes });
    crowd.check();
}

TEST_CASE("One trailer line without end costs a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.chunkedHead() + "0\r\nX-More: ", std::string(kPieceBytes, 'a'), kSentBytes });
    crowd.check();
}

TEST_CASE("A chunk extension without end costs a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.chunkedHead() + "5;", std::string(kPieceBytes, 'a'), kSentBytes });
    crowd.check();
}

TEST_CASE("Bodies announced far over the limit cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd,
        { crowd.headWithLength("/order/crowd", 25 * kMaxBodyBytes), std::string(kPieceBytes, 'a'), kSentBytes });
    crowd.check();
}

TEST_CASE("Bodies sent in chunks far over the limit cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.chunkedHead(), chunkOf(kPieceBytes), kSentBytes });
    crowd.check();
}

TEST_CASE("Bodies of legal size that stop a byte short cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd,
        { crowd.headWithLength("/order/crowd", kMaxBodyBytes), std::string(kPieceBytes, 'a'), kMaxBodyBytes - 1 });
    crowd.check();
}

TEST_CASE(
    "Bodies of legal size that come in chunks without the last one cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    const auto chunk = chunkOf(kPieceBytes);
    crowd.play(kCrowd, { crowd.chunkedHead(), chunk, kMaxBodyBytes / kPieceBytes * chunk.size() });
    crowd.check();
}

TEST_CASE("Whole bodies of legal size that wait for their answers cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(
        kCrowd, { crowd.headWithLength("/chat/held", kMaxBodyBytes), std::string(kPieceBytes, 'a'), kMaxBodyBytes });
    crowd.check();
}

TEST_CASE("Callers that read none of their large answers cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.headWithLength("/chat/large", 0), "", 0 });
    crowd.check();
}

TEST_CASE("Requests sent ahead of an answer cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    const auto request = crowd.headWithLength("/chat/held", 0);
    crowd.play(kCrowd, { request, repeat(request, kPieceBytes), kSentBytes });
    crowd.check();
}

TEST_CASE("Heads of many fields cost a host no more than its memory while their bodies stop a byte short", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    crowd.play(kLargeCrowd, { crowd.headOfFields("/order/crowd", 2) + "a", "", 0 });
    crowd.check();
}

TEST_CASE("Heads of many fields cost a host no more than its memory while they wait for answers", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    crowd.play(kLargeCrowd, { crowd.headOfFields("/chat/held", 0), "", 0 });
    crowd.check();
}

TEST_CASE("Heads of many fields sent ahead of an answer cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    const auto request = crowd.headOfFields("/chat/held", 0);
    crowd.play(kLargeCrowd, { request, repeat(request, kPieceBytes), kSentBytes / 100 });
    crowd.check();
}

TEST_CASE("Heads of many fields at the address for metrics cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    crowd.play(kLargeCrowd, { crowd.headOfFields("/metrics", 2) + "a", "", 0 }, crowd.addresses().metrics);
    crowd.check();
}

TEST_CASE("Trailers of many fields cost a host no more than its memory while they wait for answers", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    const auto start = crowd.head("/chat/held") + "Transfer-Encoding: chunked\r\n\r\n" + chunkOf(1) + "0\r\n";
    crowd.play(kLargeCrowd, { start + repeat("a:\r\n", kFields * std::string { "a:\r\n" }.size()) + "\r\n", "", 0 });
    crowd.check();
}

TEST_CASE("Requests sent ahead by a large crowd cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd { kManyDescriptors };
    const auto request = crowd.headWithLength("/chat/held", 0);
    crowd.play(kLargeCrowd, { request, repeat(request, kPieceBytes), kSentBytes / 10 });
    crowd.check();
}

TEST_CASE("Bodies that come in chunks of a byte cost a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kCrowd, { crowd.chunkedHead(), repeat(chunkOf(1), kPieceBytes), kTinyChunks * chunkOf(1).size() });
    crowd.check();
}

TEST_CASE("One request with many fields is served in calm", "[memory]")
{
    CallerCrowd crowd;
    CHECK(crowd.isServed("ordinary", kOrdinaryFields));
    crowd.check();
}

TEST_CASE("Connections without requests cost a host no more than its descriptors", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kIdleCrowd, {});
    crowd.check();
}

TEST_CASE("Connections that stop in the middle of their heads cost a host no more than its descriptors", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kIdleCrowd, { crowd.head("/order/crowd"), "", 0 });
    crowd.check();
}

TEST_CASE("A chunk extension without end at the address for metrics costs a host no more than its memory", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(
        kCrowd, { crowd.chunkedHead() + "5;", std::string(kPieceBytes, 'a'), kSentBytes }, crowd.addresses().metrics);
    crowd.check();
}

TEST_CASE("Connections to the readiness check cost a host no more than its descriptors", "[memory]")
{
    CallerCrowd crowd;
    crowd.play(kIdleCrowd, {}, crowd.addresses().readiness);
    crowd.check();
}

TEST_CASE("A host whose process runs out of descriptors goes on", "[memory]")
{
    CallerCrowd crowd;
    crowd.limitDescriptors(kFewDescriptors);
    crowd.play(kIdleCrowd, {});
    crowd.check();
}

TEST_CASE("One body of the largest allowed size is served in calm", "[memory]")
{
    CallerCrowd crowd;
    CHECK(crowd.isServed(std::string(kMaxBodyBytes, 'a')));
    crowd.check();
}
