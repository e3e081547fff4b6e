// Streams that callers take up again at another host than the one that began them, on hosts with their real exchange of
// messages and a store.
#include "berylwing/relay/response_sink.hpp"
#include "support/gateway_fleet.hpp"
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kRouteTimeout { 3000 };
/** Time for which streams of a version can be open after its last entry is gone. */
constexpr Duration kLifetime = 2 * kRouteTimeout + Duration { 4000 };
constexpr Duration kSettleDelay { 500 };
/** Time in which hosts in touch learn of endpoints, and keepers of streams. */
constexpr Duration kNewsDelay { 300 };
/** Time in which a host reports its streams, and a host that starts lists endpoints and others. */
constexpr Duration kReportDelay { 150 };
constexpr int kEndpoints = 4;

/** Hosts of three domains before endpoints that send one event and then nothing. */
class StreamHosts {
public:
    /** Attempt of a caller. */
    struct Attempt {
        GatewayRequest request;
        ResponseWriter sink;
        /** Events received, each with the version of its endpoint. */
        std::string body;
        std::optional<Outcome> outcome;
    };

    StreamHosts()
    {
        this->fleet.makePlan = makePlan;
        this->fleet.open = [this](const GatewayEndpoint& endpoint, ConnectionReuse) {
            return this->openSession(endpoint.record.version);
        };
        this->fleet.putPlan(1);
        this->putVersion("v1");
    }

    void putVersion(const std::string& version)
    {
        for (int number = 0; number < kEndpoints; ++number)
            this->fleet.putEndpointOfVersion(version + "-" + std::to_string(number), version);
    }

    void removeVersion(const std::string& version)
    {
        for (int number = 0; number < kEndpoints; ++number)
            this->fleet.remove(ObjectKind::Endpoint, version + "-" + std::to_string(number));
    }

    /** Replaces the first version by the second one, and waits until no stream of the first can be open. */
    void release()
    {
        this->fleet.advance(kLifetime + Duration { 2000 });
        this->putVersion("v2");
        this->fleet.advance(Duration { 3000 });
        this->removeVersion("v1");
        this->fleet.advance(kLifetime + Duration { 1500 });
    }

    GatewayFleet::Host& host(std::size_t index)
    {
        return *std::next(this->fleet.hosts.begin(), static_cast<std::ptrdiff_t>(index))->second;
    }

    /** Returns a host that does not watch the store itself. */
    std::size_t findFollower()
    {
        const auto watchers = this->fleet.watchers();
        std::size_t index = 0;
        while (std::find(watchers.begin(), watchers.end(), &this->host(index)) != watchers.end())
            ++index;
        return index;
    }

    /** Kills a host for good. */
    void kill(std::size_t index)
    {
        this->host(index).isIsolated = true;
        this->host(index).isSuspended = true;
    }

    std::shared_ptr<Attempt> send(
        std::size_t index, const std::string& attemptId, const std::string& resumed = {}, Duration wait = kSettleDelay)
    {
        auto attempt = std::make_shared<Attempt>();
        attempt->request.method = "POST";
        attempt->request.target = "/chat/1";
        attempt->request.hostname = "hooks.example";
        attempt->request.arrivedAt = this->fleet.time;
        attempt->request.metadata.attemptId = attemptId;
        attempt->request.metadata.resumedAttemptId = resumed;
        attempt->request.metadata.lastEventId = resumed.empty() ? "" : "1";
        attempt->sink.head = [](const ResponseHead&) -> Task<void> { co_return; };
        attempt->sink.body = [received = attempt.get()](std::string_view bytes) -> Task<void> {
            received->body += bytes;
            co_return;
        };
        spawn(this->fleet.runtimeClock().executor(), "caller",
            [](Gateway* gateway, std::shared_ptr<Attempt> sent) -> Task<void> {
                const auto outcome = co_await gateway->handle(sent->request, sent->sink);
                sent->outcome = outcome;
            }(this->host(index).gateway.get(), attempt));
        this->attempts.push_back(attempt);
        this->fleet.advance(wait);
        return attempt;
    }

    GatewayFleet fleet { 2, { "knox", "ohio", "utah" } };

private:
    static RoutingPlan makePlan(std::uint64_t version)
    {
        RoutingPlan plan { version };
        Route route;
        route.name = "chat";
        route.hostname = "hooks.example";
        route.pathPrefix = "/chat/";
        route.kind = RouteKind::Streaming;
        route.timeout = kRouteTimeout;
        route.services = { { "engines", 1 } };
        route.maxAttempts = 2;
        route.isPublic = true;
        route.isResumable = true;
        plan.add(route);
        plan.add(ServiceTraits { "engines", 100, 0, Duration {} });
        return plan;
    }

    [[nodiscard]] Task<std::shared_ptr<EndpointSession>> openSession(std::string version)
    {
        const auto session = std::make_shared<EndpointSession>();
        const auto isRead = std::make_shared<bool>(false);
        session->send = [](const EndpointRequest&) -> Task<void> { co_return; };
        session->readHead = [](TimePoint) -> Task<ResponseHead> {
            ResponseHead head;
            head.status = 200;
            head.metadata.isSigned = true;
            head.fields.set("Content-Type", "text/event-stream");
            co_return head;
        };
        session->readBody = [this, isRead, version](TimePoint) -> Task<std::optional<std::string>> {
            if (std::exchange(*isRead, true))
                co_await this->fleet.runtimeClock().sleepFor(kRouteTimeout);
            co_return "id: 1\ndata: " + version + "\n\n";
        };
        session->abort = [] {};
        co_return session;
    }

    std::vector<std::shared_ptr<Attempt>> attempts;
};

bool isOfVersion(const StreamHosts::Attempt& attempt, const std::string& version)
{
    return attempt.body.find("data: " + version) != std::string::npos;
}

} // namespace

// Guards against streams that cannot go on at a host restarted after a release although one version serves (review/7).
TEST_CASE("Streams go on at a host that was restarted after a release has ended", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.release();
    hosts.fleet.restart(hosts.host(1));
    hosts.fleet.advance(Duration { 3300 });
    const auto stream = hosts.send(0, "one");
    REQUIRE(isOfVersion(*stream, "v2"));
    hosts.kill(0);
    CHECK(isOfVersion(*hosts.send(1, "again", "one"), "v2"));
}

// Guards against streams of the first seconds of a fleet that no host can tell the version of.
TEST_CASE("Streams that begin soon after a start of the whole fleet go on at another host", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.fleet.advance(Duration { 2000 });
    SECTION("at its first start") { }
    SECTION("after a release")
    {
        hosts.release();
        for (std::size_t index = 0; index < hosts.fleet.hosts.size(); ++index)
            hosts.fleet.restart(hosts.host(index));
        hosts.fleet.advance(Duration { 2000 });
    }
    SECTION("after an outage of the store")
    {
        hosts.fleet.platform.failureMode = PlatformFailureMode::Down;
        hosts.fleet.advance(Duration { 4500 });
        hosts.fleet.platform.failureMode = PlatformFailureMode::None;
        hosts.fleet.advance(Duration { 2000 });
    }
    const auto stream = hosts.send(0, "one");
    REQUIRE_FALSE(stream->body.empty());
    const std::string version = isOfVersion(*stream, "v1") ? "v1" : "v2";
    hosts.kill(0);
    for (const std::size_t other : { 1, 3 })
        CHECK(isOfVersion(*hosts.send(other, "again" + std::to_string(other), "one"), version));
}

// Guards against streams that go on at another version at a host that has missed the one that began them (ORDER).
TEST_CASE("A host that has missed a new version sends none of its streams to another one", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.fleet.advance(kLifetime + Duration { 2000 });
    const auto late = hosts.findFollower();
    const std::size_t other = late == 0 ? 1 : 0;
    hosts.host(late).isIsolated = true;
    hosts.putVersion("v2");
    hosts.removeVersion("v1");
    hosts.fleet.advance(kNewsDelay);
    const auto stream = hosts.send(other, "one", {}, kNewsDelay);
    REQUIRE(isOfVersion(*stream, "v2"));
    REQUIRE(hosts.host(late).logText.find("v2-0") == std::string::npos);
    SECTION("if it hears the others again, before their news")
    {
        hosts.host(late).isIsolated = false;
        const auto attempt = hosts.send(late, "again", "one");
        CHECK(isOfVersion(*attempt, "v2"));
    }
    SECTION("if it hears nobody but the store")
    {
        const auto attempt = hosts.send(late, "again", "one");
        CHECK(attempt->body.empty());
        REQUIRE(attempt->outcome);
        CHECK(attempt->outcome->reason == Refusal::StreamVersionUnknown);
    }
    SECTION("if it hears nobody at all")
    {
        hosts.fleet.platform.unreachableHosts.insert(hosts.host(late).settings.host);
        const auto attempt = hosts.send(late, "again", "one");
        CHECK(attempt->body.empty());
        REQUIRE(attempt->outcome);
        CHECK(attempt->outcome->reason == Refusal::StreamVersionUnknown);
    }
}

// Guards against a keeper's answer that stands for what the keeper cannot know, as it has just started (ORDER).
TEST_CASE("A host that has missed a new version does not rely on keepers that have just started", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.fleet.advance(kLifetime + Duration { 2000 });
    const auto late = hosts.findFollower();
    hosts.host(late).isIsolated = true;
    hosts.putVersion("v2");
    hosts.removeVersion("v1");
    hosts.fleet.advance(kNewsDelay);
    const auto stream = hosts.send(late == 0 ? 1 : 0, "one", {}, kReportDelay);
    REQUIRE(isOfVersion(*stream, "v2"));
    for (std::size_t index = 0; index < hosts.fleet.hosts.size(); ++index) {
        if (index != late)
            hosts.fleet.restart(hosts.host(index));
    }
    hosts.fleet.advance(kReportDelay);
    REQUIRE(hosts.host(late).logText.find("v2-0") == std::string::npos);
    hosts.host(late).isIsolated = false;
    const auto attempt = hosts.send(late, "again", "one");
    CHECK_FALSE(isOfVersion(*attempt, "v1"));
    REQUIRE(attempt->outcome);
    CHECK(attempt->outcome->reason == Refusal::StreamVersionUnknown);
}

// Guards against a check of the version that refuses what can go on.
TEST_CASE("A stream goes on at the only version although the hosts that keep it are down", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.fleet.advance(kLifetime + Duration { 2000 });
    const auto stream = hosts.send(0, "one");
    REQUIRE(isOfVersion(*stream, "v1"));
    for (std::size_t index = 0; index < 5; ++index) {
        if (index != 2)
            hosts.kill(index);
    }
    SECTION("and another host tells") { }
    SECTION("and the store tells") { hosts.kill(5); }
    CHECK(isOfVersion(*hosts.send(2, "again", "one"), "v1"));
}

// Guards against streams that go on at a guess once hosts tell each other which version is left.
TEST_CASE("A stream that no host knows is refused while streams of two versions can be open", "[gateway][versions]")
{
    StreamHosts hosts;
    hosts.fleet.advance(kLifetime + Duration { 2000 });
    hosts.putVersion("v2");
    hosts.fleet.advance(Duration { 1000 });
    hosts.removeVersion("v1");
    hosts.fleet.advance(Duration { 1000 });
    hosts.fleet.restart(hosts.host(1));
    hosts.fleet.advance(Duration { 3300 });
    for (const std::size_t index : { 0, 1, 4 }) {
        const auto attempt = hosts.send(index, "again" + std::to_string(index), "elsewhere");
        REQUIRE(attempt->outcome);
        CHECK(attempt->outcome->reason == Refusal::StreamVersionUnknown);
        CHECK(attempt->outcome->execution == Execution::NotRun);
    }
}
