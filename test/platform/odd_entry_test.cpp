#include "berylwing/gateway/gateway.hpp"
#include "berylwing/http/endpoint_session.hpp"
#include "platform/names.hpp"
#include "platform/platform.hpp"
#include "platform/store_stand_in.hpp"
#include "platform/store_transport.hpp"
#include "support/loopback_address.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>

namespace {

using namespace berylwing;
using namespace berylwing::test;
using nlohmann::json;

constexpr std::uint16_t kStorePort = 8224;
/** Time in which a change has to be in force; the first list of a host takes as long as a watch. */
constexpr std::chrono::milliseconds kApplyTimeout { 2000 };
constexpr std::chrono::milliseconds kPollInterval { 5 };

json makeServer(const std::string& address = "10.128.0.9:8080")
{
    return { { "service", "s1" }, { "address", address }, { "zone", "nabeul" }, { "version", "v1" }, { "slots", 64 },
        { "state", "ready" } };
}

/** A gateway that reads from a store over HTTP, in which another writer leaves documents as text. */
class StoreReader {
public:
    StoreReader()
    {
        this->settings.host = "knox-a-1";
        this->settings.domain = "nabeul";
        this->settings.planLease = Duration { 5000 };
        this->store.rewriteBody = [this](std::string& body) {
            for (const auto& [mark, text] : this->oddTexts) {
                for (auto at = body.find(mark); at != std::string::npos; at = body.find(mark, at + text.size()))
                    body.replace(at, mark.size(), text);
            }
        };
        spawn(this->context.get_executor(), "store", this->store.listen(this->ip, kStorePort, "knox-a-1"));
    }

    ~StoreReader() { this->context.destroyPending(); }

    void start()
    {
        GatewayDependencies dependencies;
        dependencies.platform = platform::makeStoreTransport({ this->ip, kStorePort });
        dependencies.open = makeSessionFactory(this->clock, this->protocol);
        dependencies.sendToHost
            = [this](const SocketAddress& to, const std::string&) { this->portsSentTo[to.address] = to.port; };
        dependencies.logWriter = [this](std::string_view lines) {
            this->log += lines;
            return lines.size();
        };
        this->gateway = std::make_unique<Gateway>(this->clock, this->settings, this->protocol, std::move(dependencies));
        this->gateway->start();
    }

    void writeOdd(const std::string& kind, const std::string& name, const std::string& text)
    {
        const auto mark = "odd-text-" + std::to_string(this->oddTexts.size());
        this->oddTexts.emplace('"' + mark + '"', text);
        this->store.write(kind, name, mark);
    }

    /** Runs the host until its log has a line with both texts. */
    [[nodiscard]] bool waitForLog(const std::string& event, const std::string& detail)
    {
        for (std::chrono::milliseconds waited {}; waited < kApplyTimeout; waited += kPollInterval) {
            if (this->hasLine("\"event\":\"" + event + "\"", detail))
                return true;
            this->context.run_for(kPollInterval);
        }
        return false;
    }

    /** Sends a request and returns whether it got an answer or a refusal. */
    [[nodiscard]] bool isAnswered(const std::string& target)
    {
        GatewayRequest request;
        request.method = "POST";
        request.target = target;
        request.hostname = "a.example";
        request.arrivedAt = this->clock.now();
        request.metadata.attemptId = "one";
        const ResponseWriter sink { [](const ResponseHead&) -> Task<void> { co_return; },
            [](std::string_view) -> Task<void> { co_return; } };
        std::optional<Outcome> outcome;
        spawn(this->context.get_executor(), "caller",
            [](StoreReader* reader, GatewayRequest& sent, const ResponseWriter& writer,
                std::optional<Outcome>& result) -> Task<void> {
                const auto received = co_await reader->gateway->handle(sent, writer);
                result = received;
            }(this, request, sink, outcome));
        this->context.run_for(kApplyTimeout);
        return outcome.has_value();
    }

    RuntimeContext context;
    Clock clock { this->context.get_executor() };
    StoreStandIn store { this->clock };
    std::map<std::string, std::string> oddTexts;
    /** Last port of each address to which messages for other hosts were sent. */
    std::map<std::string, std::uint16_t> portsSentTo;
    std::string log;

private:
    [[nodiscard]] bool hasLine(const std::string& event, const std::string& detail) const
    {
        for (auto at = this->log.find(event); at != std::string::npos; at = this->log.find(event, at + 1)) {
            if (this->log.substr(at, this->log.find('\n', at) - at).find(detail) != std::string::npos)
                return true;
        }
        return false;
    }

    std::string ip = loopbackAddressOfProcess();
    GatewaySettings settings;
    GatewayProtocol protocol = platform::makeProtocol();
    std::unique_ptr<Gateway> gateway;
};

/** Writes an odd object of each kind before and after the host starts, and checks that the host follows the others. */
void checkOthersHold(const std::string& odd)
{
    StoreReader reader;
    reader.store.write("servers", "i-1", makeServer());
    reader.writeOdd("servers", "i-odd-1", odd);
    reader.store.write("config", "main", { { "version", 7 } });
    reader.writeOdd("config", "odd", odd);
    reader.writeOdd(std::string { platform::names::kHostsKind }, "odd-host-1", odd);
    reader.start();
    CHECK(reader.waitForLog("endpoints_listed", "\"endpoints\":\"i-1\""));
    CHECK(reader.waitForLog("endpoint_rejected", "i-odd-1"));
    CHECK(reader.waitForLog("plan_taken", "\"plan\":7"));
    CHECK(reader.waitForLog("plan_rejected", "odd"));
    CHECK(reader.waitForLog("hosts_counted", "\"hosts\":2"));
    reader.writeOdd("servers", "i-1", odd);
    CHECK(reader.waitForLog("endpoint_gone", "i-1"));
    reader.store.write("servers", "i-2", makeServer());
    CHECK(reader.waitForLog("endpoint_seen", "i-2"));
    reader.writeOdd("config", "odd", odd);
    reader.store.write("config", "main", { { "version", 8 } });
    CHECK(reader.waitForLog("plan_taken", "\"plan\":8"));
    reader.writeOdd("evacuations", "kelibia", odd);
    reader.store.write("evacuations", "menzel", json::object());
    CHECK(reader.waitForLog("domain_withdrawn", "kelibia"));
    CHECK(reader.waitForLog("domain_withdrawn", "menzel"));
    CHECK(reader.log.find("dependency_lost") == std::string::npos);
}

} // namespace

TEST_CASE("A number out of range in one object hides no other object of the store", "[platform][odd]")
{
    checkOthersHold(R"({"service":"s1","slots":1e999})");
}

TEST_CASE("Bytes that are not UTF-8 in one object hide no other object of the store", "[platform][odd]")
{
    checkOthersHold("{\"service\":\"\xff\xfe\",\"slots\":4}");
}

TEST_CASE("An escape that stands for no character in one object hides no other object of the store", "[platform][odd]")
{
    checkOthersHold(R"({"service":"\ud800","slots":4})");
}

TEST_CASE("A document nested so deeply that the stack cannot hold it ends no host", "[platform][odd]")
{
    constexpr std::size_t kDepth = 250'000;
    const auto nested = std::string(kDepth, '[') + std::string(kDepth, ']');
    checkOthersHold(R"({"service":"s1","slots":)" + nested + "}");
    checkOthersHold(nested);
}

TEST_CASE("A host whose entry has a port out of range gets no messages at another port", "[platform][odd]")
{
    StoreReader reader;
    const std::string kind { platform::names::kHostsKind };
    for (const auto& port : { json(70'000), json(-1), json(1e300), json("7000") })
        reader.store.write(
            kind, "odd-" + port.dump(), { { "domain", "nabeul" }, { "address", "127.0.0.2" }, { "port", port } });
    reader.store.write(kind, "sound", { { "domain", "nabeul" }, { "address", "127.0.0.3" }, { "port", 7000 } });
    reader.start();
    REQUIRE(reader.waitForLog("hosts_counted", "\"hosts\":6"));
    reader.context.run_for(std::chrono::seconds { 1 });
    CHECK(reader.portsSentTo == std::map<std::string, std::uint16_t> { { "127.0.0.3", 7000 } });
}

TEST_CASE("A request gets its answer while an entry of its service has a host name for an address", "[platform][odd]")
{
    StoreReader reader;
    reader.store.write("config", "main", json::parse(R"({"version":1,"routes":[{"name":"r","hostname":"a.example",
        "path_prefix":"/x/","route_kind":"non_idempotent","timeout_ms":1000,"service":"s1"}]})"));
    reader.store.write("servers", "i-odd", makeServer("engine.example:8080"));
    reader.start();
    CHECK(reader.waitForLog("plan_taken", "\"plan\":1"));
    CHECK(reader.waitForLog("endpoint_rejected", "i-odd"));
    CHECK(reader.isAnswered("/x/1"));
}

// Guards against hosts that never serve after a restart because one entry has an odd name.
TEST_CASE("A host that starts learns of all endpoints behind an entry whose name has spaces", "[platform][odd]")
{
    StoreReader reader;
    reader.store.maxPageItems = 1;
    reader.store.write("config", "main", { { "version", 7 } });
    reader.store.write("servers", "Stock room 7", { { "note", "twelve cans" } });
    reader.store.write("servers", "i-1", makeServer());
    reader.start();
    CHECK(reader.waitForLog("endpoint_rejected", "Stock room 7"));
    CHECK(reader.waitForLog("endpoints_listed", "\"endpoints\":\"i-1\""));
    CHECK(reader.log.find("dependency_lost") == std::string::npos);
}
