#include "platform/store_transport.hpp"

#include "berylwing/store/platform_error.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "platform/store_stand_in.hpp"
#include "support/loopback_address.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kShortWait { 1 };
constexpr Duration kLongWait { 400 };
/** So long that a call does not time out while the process of the test stands still. */
constexpr Duration kCallTimeout { 600'000 };

/** Makes a transport to the store that waits longer for answers than the calls ask. */
PlatformClient::Transport makePatientTransport(const SocketAddress& address)
{
    return [transport = platform::makeStoreTransport(address)](const PlatformCall& call) {
        auto patientCall = call;
        patientCall.timeout = kCallTimeout;
        return transport(patientCall);
    };
}

/** Client of a store that listens on a port of this process. */
class TransportFixture {
public:
    TransportFixture()
    {
        spawn(this->context.get_executor(), "store",
            this->store.listen(this->address.address, this->address.port, "host"));
    }

    ~TransportFixture() { this->context.destroyPending(); }

    /** Runs a call to its end. */
    void run(Task<WatchBatch> call)
    {
        bool hasEnded = false;
        spawn(this->context.get_executor(), "call", this->complete(std::move(call), hasEnded));
        while (!hasEnded) {
            this->clock.fireDue();
            this->context.restart();
            this->context.run_for(std::chrono::milliseconds { 2 });
        }
    }

    Task<void> complete(Task<WatchBatch> call, bool& hasEnded)
    {
        this->fault.reset();
        try {
            this->batch = co_await std::move(call);
            this->era = this->batch.era;
        } catch (const PlatformError& error) {
            UNSCOPED_INFO("the call failed: " << error.what());
            this->fault = error.fault();
            this->era = error.era();
        }
        hasEnded = true;
    }

    RuntimeContext context;
    Clock clock { this->context.get_executor(),
        [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); } };
    SocketAddress address { loopbackAddressOfProcess(), 8224 };
    StoreStandIn store { this->clock };
    Metrics metrics;
    PlatformClient client { makePatientTransport(this->address), this->metrics };
    WatchBatch batch;
    std::uint64_t era = 0;
    std::optional<PlatformFault> fault;
};

} // namespace

TEST_CASE("The store's transport reads the era of each answer, of refusals too", "[platform][restore]")
{
    TransportFixture fixture;
    fixture.store.write("servers", "i-1", { { "service", "s1" } });
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK(fixture.era == 1);
    const auto copy = fixture.store.copy();
    for (int write = 0; write < 3; ++write)
        fixture.store.write("servers", "i-2", { { "sequence", write } });
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    const auto before = fixture.batch.through;
    fixture.store.restore(copy);

    fixture.run(fixture.client.watchKind(ObjectKind::Endpoint, before, kShortWait));
    CHECK(fixture.fault == PlatformFault::HistoryGone);
    CHECK(fixture.era == 2);
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK_FALSE(fixture.fault);
    CHECK(fixture.era == 2);
    CHECK(fixture.batch.through < before);
    CHECK(fixture.batch.changes.size() == 1);
    fixture.run(fixture.client.watchKind(ObjectKind::Endpoint, fixture.batch.through, kLongWait));
    CHECK(fixture.era == 2);
    fixture.store.fault.isDown = true;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK(fixture.fault == PlatformFault::Unavailable);
    CHECK(fixture.era == 2);
}

// Guards against lists that fail for good, or go on elsewhere, because of the name that ends a page.
TEST_CASE("A list goes on after any name that ends a page", "[platform][odd]")
{
    const std::vector<std::string> names { "Stock room 7", "a\r\nHost: b", "a#b", "a&watch=1", "a+b", "a/b?c=d", "a=b",
        "caf\u00e9", "fifty%", "fifty%25" };
    TransportFixture fixture;
    for (const auto& name : names)
        fixture.store.write("servers", name, { { "service", "s1" } });
    fixture.store.maxPageItems = 1;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK_FALSE(fixture.fault);
    std::vector<std::string> listed;
    listed.reserve(names.size());
    for (const auto& object : fixture.batch.changes)
        listed.push_back(object.name);
    CHECK(listed == names);
}

// Guards against entries that vanish behind a page on which no object has a readable name.
TEST_CASE("A list goes on after a name that is not UTF-8", "[platform][odd]")
{
    TransportFixture fixture;
    for (const auto* name : { "a", "b", "c" })
        fixture.store.write("servers", name, { { "service", "s1" } });
    fixture.store.rewriteBody = [](std::string& body) {
        const std::string mark = R"("name":"b")";
        if (const auto at = body.find(mark); at != std::string::npos)
            body.replace(at, mark.size(), "\"name\":\"b\xff\"");
    };
    for (const std::size_t pageItems : { 1, 2 }) {
        CAPTURE(pageItems);
        fixture.store.maxPageItems = pageItems;
        fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
        CHECK_FALSE(fixture.fault);
        REQUIRE(fixture.batch.changes.size() == 2);
        CHECK(fixture.batch.changes.back().name == "c");
    }
}

// Guards against a watch that fails for good because its changes are larger than what a host reads at once.
TEST_CASE("A watch whose changes are too large for one response asks for a list", "[platform][odd]")
{
    constexpr std::size_t kObjectBytes = 1024 * 1024;
    TransportFixture fixture;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    const auto before = fixture.batch.through;
    for (int number = 0; number < 10; ++number)
        fixture.store.write(
            "servers", "large-" + std::to_string(number), { { "note", std::string(kObjectBytes, 'a') } });
    fixture.run(fixture.client.watchKind(ObjectKind::Endpoint, before, kShortWait));
    CHECK(fixture.fault == PlatformFault::HistoryGone);
    fixture.store.maxPageItems = 1;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK_FALSE(fixture.fault);
    CHECK(fixture.batch.changes.size() == 10);
}

TEST_CASE("A list keeps what hosts read of the objects of each kind", "[platform][odd]")
{
    TransportFixture fixture;
    const auto read = [&fixture](ObjectKind kind, const std::string& name, nlohmann::json spec) {
        spec["models"] = nlohmann::json::array({ nlohmann::json::object() });
        fixture.store.write(name, "one", spec);
        fixture.run(fixture.client.listAll(kind, false));
        REQUIRE_FALSE(fixture.fault);
        return fixture.batch.changes.back().value;
    };
    const nlohmann::json endpoint { { "service", "s1" }, { "version", "v1" }, { "address", "10.0.0.1:80" },
        { "zone", "nabeul" }, { "slots", 4 }, { "state", "ready" }, { "cold_remaining_ms", 5 }, { "born", 7 } };
    CHECK(read(ObjectKind::Endpoint, "servers", endpoint) == endpoint);
    const nlohmann::json host { { "domain", "nabeul" }, { "address", "10.0.0.2" }, { "port", 7000 } };
    CHECK(read(ObjectKind::Host, "berylwing-hosts", host) == host);
    const nlohmann::json versions { { "versions", { "v1", "v2" } } };
    CHECK(read(ObjectKind::ServiceVersions, "berylwing-versions", versions) == versions);
    const auto order
        = read(ObjectKind::Rollout, "rollouts", { { "service", "s1" }, { "to", "v2" }, { "duration_s", 14 } });
    CHECK(order.at("service") == "s1");
    CHECK(order.at("version") == "v2");
    CHECK(order.at("duration_ms") == 14'000);
    CHECK(read(ObjectKind::FailureDomain, "evacuations", {}) == nlohmann::json::object());
}

// Guards against a configuration that was never given under the name that the pages name.
TEST_CASE("A host follows no plan but the object with the name of the plan", "[platform][odd]")
{
    TransportFixture fixture;
    fixture.store.write("config", "main", { { "version", 7 } });
    fixture.store.write("config", "main-copy", { { "version", 9 } });
    fixture.run(fixture.client.listAll(ObjectKind::RoutingPlan, false));
    REQUIRE(fixture.batch.changes.size() == 2);
    CHECK(fixture.batch.changes[0].value == nlohmann::json { { "version", 7 } });
    CHECK(fixture.batch.changes[1].value.is_discarded());
}

// Guards against a list that is taken for complete although the store has more objects.
TEST_CASE("A list fails if a page names no object after which it goes on", "[platform][odd]")
{
    TransportFixture fixture;
    for (const auto* name : { "a", "b", "c" })
        fixture.store.write("servers", name, { { "service", "s1" } });
    fixture.store.rewriteBody = [](std::string& body) {
        const std::string mark = R"("name":"b")";
        if (const auto at = body.find(mark); at != std::string::npos)
            body.replace(at, mark.size(), R"("name":5)");
    };
    fixture.store.maxPageItems = 1;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK(fixture.fault == PlatformFault::Protocol);
    fixture.store.maxPageItems = 2;
    fixture.run(fixture.client.listAll(ObjectKind::Endpoint, false));
    CHECK_FALSE(fixture.fault);
    REQUIRE(fixture.batch.changes.size() == 2);
    CHECK(fixture.batch.changes.back().name == "c");
}
