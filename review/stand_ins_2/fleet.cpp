#include "fleet.hpp"

#include "berylwing/http/http_call.hpp"
#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <iterator>
#include <unistd.h>

namespace review {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::uint16_t kCallerPort = 8227;
constexpr std::uint16_t kReadinessPort = 8220;
constexpr std::uint16_t kMetricsPort = 9102;
constexpr std::uint16_t kDigestPort = 7340;
constexpr std::uint16_t kStorePort = 8223;
constexpr std::uint16_t kEnginePort = 9000;
constexpr unsigned kHostGroup = 1;
constexpr unsigned kStoreGroup = 2;
constexpr unsigned kStoreLinkGroup = 3;
constexpr unsigned kEngineGroup = 4;
constexpr unsigned kDigestGroup = 5;
constexpr Duration kReadyTimeout { 30'000 };

/** Serves requests on one connection after the other; heads may be as long as a client's and what hosts add. */
Task<void> serveEngine(asio::ip::tcp::socket socket, const StandInHandler& handler)
{
    boost::beast::tcp_stream stream { std::move(socket) };
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(256 * 1024);
        parser.body_limit(boost::none);
        boost::system::error_code error;
        co_await http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        const auto request = parser.release();
        const bool canGoOn = co_await handler(stream, request);
        isOpen = canGoOn && request.keep_alive();
    }
}

/** Accepts connections until the acceptor is closed. */
Task<void> acceptEngine(Executor executor, std::shared_ptr<asio::ip::tcp::acceptor> acceptor, StandInHandler handler)
{
    while (acceptor->is_open()) {
        boost::system::error_code error;
        auto socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error)
            continue;
        boost::system::error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
        spawn(executor, "connection", serveEngine(std::move(socket), handler));
    }
}

} // namespace

bool hasTrouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string { trouble } != "0";
}

Fleet::Fleet(FleetOptions fleetOptions)
    : options { std::move(fleetOptions) }
    , block { 32 + static_cast<unsigned>(::getpid()) % 200 }
    , recordFile { this->options.folder + "/record.txt" }
{
    this->logFolder
        = (std::filesystem::temp_directory_path() / fmt::format("berylwing-review-{}", ::getpid())).string();
    std::filesystem::create_directories(this->logFolder);
    this->store.rewriteSpec = [this](const std::string& kind, json& spec) {
        // Datagrams between hosts go through a proxy, by which a case can cut them.
        for (const auto& host : this->hosts) {
            if (kind == "berylwing-hosts" && spec.value("address", "") == host->process.addresses().digests.address)
                spec["address"] = host->digestsOfOthers.address;
        }
    };
    unsigned number = 0;
    std::map<std::string, unsigned> inZone;
    for (const auto& zone : this->options.zones) {
        ++number;
        GatewayAddresses addresses;
        addresses.domain = zone;
        addresses.host = fmt::format("edge-{}-{}", zone, ++inZone[zone]);
        const auto own = this->address(kHostGroup, number);
        addresses.callers = { own, kCallerPort };
        addresses.readiness = { own, kReadinessPort };
        addresses.metrics = { own, kMetricsPort };
        addresses.digests = { own, kDigestPort };
        addresses.store = { this->address(kStoreLinkGroup, number), kStorePort };
        const SocketAddress storeAddress { this->address(kStoreGroup, number), kStorePort };
        const SocketAddress shown { this->address(kDigestGroup, number), kDigestPort };
        spawn(this->clock.executor(), "store",
            this->store.listen(storeAddress.address, storeAddress.port, addresses.host));
        this->digests.add(addresses.digests, shown);
        this->hosts.push_back(std::make_unique<FleetHost>(this->clock, this->options.program, addresses, storeAddress,
            shown, this->logFolder, this->options.settings));
    }
}

Fleet::~Fleet()
{
    this->hosts.clear();
    this->context.destroyPending();
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->logFolder, ignored);
}

std::string Fleet::address(unsigned group, unsigned number) const
{
    return fmt::format("127.{}.{}.{}", this->block, group, number);
}

void Fleet::listenEngine(unsigned number, StandInHandler handler)
{
    this->stopEngine(number);
    const asio::ip::tcp::endpoint own { asio::ip::make_address(this->address(kEngineGroup, number)), kEnginePort };
    auto acceptor = std::make_shared<asio::ip::tcp::acceptor>(this->clock.executor(), own);
    this->acceptors[number] = acceptor;
    spawn(this->clock.executor(), "engine", acceptEngine(this->clock.executor(), acceptor, std::move(handler)));
}

void Fleet::stopEngine(unsigned number)
{
    const auto found = this->acceptors.find(number);
    boost::system::error_code ignored;
    if (found != this->acceptors.end())
        found->second->close(ignored);
}

void Fleet::putEngine(const std::string& id, const std::string& service, const std::string& zone, unsigned number,
    const std::string& version, json more)
{
    json spec { { "service", service }, { "zone", zone }, { "version", version },
        { "address", this->address(kEngineGroup, number) + ":" + std::to_string(kEnginePort) }, { "slots", 64 },
        { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 } };
    spec.update(more);
    this->store.write("servers", id, spec);
}

Task<void> Fleet::limitProcessor(std::size_t host, double share)
{
    constexpr double kPeriodMs = 100;
    const auto& process = this->hosts[host]->process;
    const auto usedMs = [](pid_t pid) {
        std::ifstream file { fmt::format("/proc/{}/schedstat", pid) };
        double nanoseconds = 0;
        file >> nanoseconds;
        return nanoseconds / 1e6;
    };
    while (process.isRunning()) {
        const auto begun = std::chrono::steady_clock::now();
        const auto end = begun + std::chrono::milliseconds { 100 };
        const auto before = usedMs(process.id());
        bool isStopped = false;
        while (std::chrono::steady_clock::now() < end) {
            if (!isStopped && usedMs(process.id()) - before >= share * kPeriodMs) {
                process.signal(SIGSTOP);
                isStopped = true;
            }
            boost::asio::steady_timer timer { this->clock.executor(), std::chrono::milliseconds { 2 } };
            co_await timer.async_wait(asio::use_awaitable);
        }
        if (isStopped)
            process.signal(SIGCONT);
    }
}

Task<bool> Fleet::waitUntilReady(std::size_t host, Duration limit)
{
    const auto until = this->clock.now() + limit;
    while (this->clock.now() < until) {
        bool isReady = false;
        try {
            const HttpRequest request { http::verb::get, "/-/readyz", 11 };
            const auto response
                = co_await callHttp(this->hosts[host]->process.addresses().readiness, request, Duration { 1000 });
            isReady = response.result() == http::status::ok;
        } catch (const HttpCallError&) {
            isReady = false;
        }
        if (isReady)
            co_return true;
        co_await this->clock.sleepFor(Duration { 20 });
    }
    co_return false;
}

bool Fleet::start()
{
    bool areReady = true;
    for (auto& host : this->hosts)
        host->process.start();
    this->run([](Fleet& fleet, bool& result) -> Task<void> {
        for (std::size_t host = 0; host < fleet.hosts.size(); ++host) {
            const bool isReady = co_await fleet.waitUntilReady(host, kReadyTimeout);
            result = result && isReady;
        }
    }(*this, areReady));
    this->note(areReady ? "all hosts are ready" : "a host does not become ready");
    return areReady;
}

Task<ClientAnswer> Fleet::send(
    std::size_t host, std::string requestText, TimePoint deadline, std::function<void(const ClientAnswer&)> onProgress)
{
    ClientAnswer answer;
    boost::beast::tcp_stream stream { this->clock.executor() };
    const auto left = std::max(deadline - this->clock.now(), Duration { 1 });
    stream.expires_after(left);
    boost::system::error_code error;
    const auto& target = this->hosts[host]->process.addresses().callers;
    const asio::ip::tcp::endpoint endpoint { asio::ip::make_address(target.address), target.port };
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_await asio::async_write(stream, asio::buffer(requestText), asio::redirect_error(asio::use_awaitable, error));
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    while (!error && !parser.is_done()) {
        const auto size
            = co_await http::async_read_some(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        static_cast<void>(size);
        if (!parser.is_header_done())
            continue;
        auto& response = parser.get();
        answer.status = response.result_int();
        answer.body = response.body();
        const auto signature = response["Server-Signature"];
        answer.signature = { signature.data(), signature.size() };
        const auto retryAfter = response["Retry-After"];
        answer.retryAfterS = retryAfter.empty() ? 0 : std::atof(std::string { retryAfter }.c_str());
        if (onProgress)
            onProgress(answer);
    }
    answer.isComplete = parser.is_done();
    co_return answer;
}

void Fleet::run(Task<void> task)
{
    bool isDone = false;
    spawn(this->clock.executor(), "case", [](Task<void> inner, bool& done) -> Task<void> {
        try {
            co_await std::move(inner);
        } catch (...) {
            done = true;
            throw;
        }
        done = true;
    }(std::move(task), isDone));
    this->context.restart();
    while (!isDone)
        this->context.run_one();
}

void Fleet::note(const std::string& line)
{
    const auto now = std::chrono::steady_clock::now() - this->startedAt;
    this->recordFile << fmt::format("{:9.3f} {}\n", std::chrono::duration<double>(now).count(), line);
    this->recordFile.flush();
}

std::string Fleet::log(std::size_t host) const
{
    std::ifstream file { this->logFolder + "/" + this->hosts[host]->process.addresses().host + ".log" };
    return { std::istreambuf_iterator<char> { file }, {} };
}

} // namespace review
