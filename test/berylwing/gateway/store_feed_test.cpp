#include "berylwing/gateway/store_feed.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <stdexcept>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kStep { 5 };
constexpr Duration kWatchTimeout { 2500 };

/** A watcher, which always calls the store, and a follower, which relies on its news while hasWatcher is set. */
class FeedFixture {
public:
    struct Host {
        Host(FeedFixture& fixture, const std::string& name)
            : clock { fixture.clock }
            , log { fixture.clock, [](std::string_view lines) { return lines.size(); }, "" }
            , client { this->counting(fixture.platform.createTransport(name, fixture.clock)), this->metrics }
            , feed { fixture.clock, this->client, ObjectKind::Endpoint, { kWatchTimeout, {}, false, {} },
                this->hooks(fixture), this->era, this->log }
        {
            spawn(fixture.context.get_executor(), "feed", this->feed.run());
        }

        PlatformClient::Transport counting(PlatformClient::Transport transport)
        {
            return [this, transport = std::move(transport)](const PlatformCall& call) {
                ++this->calls;
                this->refreshes += call.reason == PlatformCallReason::Refresh ? 1 : 0;
                return this->delayAnswer(transport(call));
            };
        }

        Task<PlatformReply> delayAnswer(Task<PlatformReply> call)
        {
            auto reply = co_await std::move(call);
            if (this->answerDelay > Duration {})
                co_await this->clock.sleepFor(this->answerDelay);
            co_return reply;
        }

        StoreFeedHooks hooks(FeedFixture& fixture)
        {
            StoreFeedHooks result;
            result.replaceAll = [this](const std::vector<VersionedObject>& objects) {
                this->objects.clear();
                for (const auto& object : objects)
                    this->apply(object);
            };
            result.change = [this](const VersionedObject& object) { this->apply(object); };
            result.readDocument = [this](ObjectKind, std::string_view name, std::string_view text) {
                auto value = readDocument(text, name);
                if (!this->ignoredMember.empty() && value.is_object())
                    value.erase(this->ignoredMember);
                return value;
            };
            result.confirm = [this](TimePoint when) { this->confirmedAt = std::max(this->confirmedAt, when); };
            result.reportFailure = [this] { this->isLost = true; };
            result.reportOutageEnd = [this](TimePoint endedAt) { this->outageEndedAt = endedAt; };
            result.isWatchedByPeer = [this] { return this->hasWatcher; };
            result.isProbedByPeer = [this, &fixture](TimePoint triedAt) {
                return this->hasWatcher && fixture.time < triedAt + Duration { 3000 };
            };
            return result;
        }

        void apply(const VersionedObject& object)
        {
            if (object.name == this->rejectedName)
                throw std::runtime_error { "cannot apply" };
            if (object.value.is_null())
                this->objects.erase(object.name);
            else
                this->objects[object.name] = object.value;
        }

        Clock& clock;
        /** Time that answers of the store are on their way. */
        Duration answerDelay {};
        Metrics metrics;
        DecisionLog log;
        int calls = 0;
        int refreshes = 0;
        bool hasWatcher = false;
        bool isLost = false;
        TimePoint confirmedAt {};
        TimePoint outageEndedAt {};
        std::map<std::string, nlohmann::json> objects;
        /** Member of relayed documents that the host does not keep. */
        std::string ignoredMember;
        /** Object whose changes cannot be applied. */
        std::string rejectedName;
        PlatformClient client;
        StoreEra era { this->metrics, this->log, [this] { this->feed.requireList(); } };
        StoreFeed feed;
    };

    ~FeedFixture() { this->context.destroyPending(); }

    void advance(Duration length, Duration newsInterval = Duration { 200 })
    {
        for (const auto until = this->time + length; this->time < until;) {
            this->time += kStep;
            this->clock.fireDue();
            this->context.restart();
            this->context.poll();
            if (newsInterval > Duration {} && this->time.time_since_epoch() % newsInterval == Duration {})
                this->follower.feed.receiveNews(this->watcher.feed.makeRecentNews(), this->time);
        }
    }

    void write(const std::string& name, const nlohmann::json& value)
    {
        this->platform.store.write(ObjectKind::Endpoint, name, value);
    }

    void remove(const std::string& name)
    {
        PlatformCall call;
        call.operation = PlatformOperation::Get;
        call.kind = ObjectKind::Endpoint;
        call.name = name;
        call.expectedVersion = this->platform.store.apply(call).version;
        call.operation = PlatformOperation::Remove;
        static_cast<void>(this->platform.store.apply(call));
    }

    RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    FakePlatform platform;
    Host watcher { *this, "watcher" };
    Host follower { *this, "follower" };
};

} // namespace

// Guards against a host that decides by objects that it could have known to be outdated.
TEST_CASE("StoreFeed fetches the changes of the last moment beside a watch that gets no answer", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    auto& host = fixture.follower;
    host.hasWatcher = true;
    fixture.advance(Duration { 3000 }, {});
    const auto refresh = [&fixture, &host](std::optional<bool>& result) {
        spawn(
            fixture.context.get_executor(), "refresh", [](StoreFeed& feed, std::optional<bool>& isDone) -> Task<void> {
                const bool isRefreshed = co_await feed.refresh();
                isDone = isRefreshed;
            }(host.feed, result));
    };
    fixture.platform.silentHosts.insert("follower");
    fixture.advance(Duration { 500 }, {});
    fixture.platform.silentHosts.clear();
    fixture.write("engine-2", { { "slots", 2 } });
    std::array<std::optional<bool>, 3> results;
    for (auto& result : results)
        refresh(result);
    fixture.advance(Duration { 50 }, {});
    for (const auto& result : results)
        CHECK(result == true);
    CHECK(host.refreshes == 1);
    CHECK(host.objects.contains("engine-2"));

    fixture.platform.failureMode = PlatformFailureMode::Down;
    std::array<std::optional<bool>, 3> failures;
    for (auto& result : failures) {
        refresh(result);
        fixture.advance(Duration { 50 }, {});
        CHECK(result == false);
    }
    CHECK(host.refreshes == 2);
}

// Guards against a host that has found the history dropped, ignores all news, and leaves probing the store to others.
TEST_CASE("StoreFeed lists at once after a refresh that finds the history dropped", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    auto& host = fixture.follower;
    fixture.platform.unreachableHosts.insert("follower");
    fixture.advance(Duration { 3000 }, {});
    REQUIRE_FALSE(host.feed.isStoreReachable());
    host.hasWatcher = true;
    fixture.advance(Duration { 1000 }, {});
    fixture.write("engine-2", { { "slots", 2 } });
    fixture.platform.store.dropHistory();
    fixture.platform.unreachableHosts.clear();
    spawn(fixture.context.get_executor(), "refresh",
        [](StoreFeed& feed) -> Task<void> { static_cast<void>(co_await feed.refresh()); }(host.feed));
    fixture.advance(Duration { 300 }, {});
    CHECK(host.objects.contains("engine-2"));
    CHECK(host.feed.isStoreReachable());
}

// Guards against changes that a host never fetches because late replies about earlier ones arrive again and again.
TEST_CASE("StoreFeed goes on missing changes after news that tell less", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.advance(Duration { 1000 });
    auto& host = fixture.follower;
    host.hasWatcher = true;
    fixture.advance(Duration { 3000 });
    const auto late = fixture.watcher.feed.makeRecentNews();
    fixture.write("engine-1", { { "text", std::string(2000, 'x') } });
    fixture.advance(Duration { 50 }, {});
    host.feed.receiveNews(fixture.watcher.feed.makeRecentNews(), fixture.time);
    REQUIRE(host.feed.missingAfter());
    host.feed.receiveNews(late, std::nullopt);
    CHECK(host.feed.missingAfter());
    for (int count = 0; count < 4; ++count) {
        host.feed.receiveNews(late, fixture.time);
        fixture.advance(Duration { 50 }, {});
    }
    CHECK(host.objects.contains("engine-1"));
    CHECK_FALSE(host.feed.missingAfter());
}

// Guards against hosts that keep whole documents of another writer because another host relays them.
TEST_CASE("StoreFeed keeps of a relayed document what its host reads", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.advance(Duration { 1000 });
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 3000 });
    fixture.follower.ignoredMember = "models";
    fixture.write("engine-1", { { "slots", 1 }, { "models", { 1, 2, 3 } } });
    fixture.advance(Duration { 1000 });
    CHECK(fixture.follower.objects.at("engine-1") == nlohmann::json { { "slots", 1 } });
    const auto relayed = fixture.follower.feed.makeRecentNews();
    REQUIRE(relayed.changes_size() == 1);
    CHECK(relayed.changes(0).value() == R"({"slots":1})");
}

TEST_CASE("StoreFeed applies changes and removals from news without calling the store", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 3000 });
    const auto calls = fixture.follower.calls;
    for (int round = 0; round < 10; ++round) {
        fixture.write("engine-2", { { "slots", round } });
        // Writing objects of other kinds also raises the store's revision.
        fixture.platform.store.write(ObjectKind::Host, "host", { { "round", round } });
        fixture.advance(Duration { 600 });
        CHECK(fixture.follower.objects.at("engine-2").at("slots") == round);
    }
    fixture.remove("engine-1");
    fixture.advance(Duration { 600 });
    CHECK_FALSE(fixture.follower.objects.contains("engine-1"));
    CHECK(fixture.follower.calls == calls);
    CHECK(fixture.watcher.calls > 10);
}

TEST_CASE("StoreFeed watches the store itself soon after news stop arriving", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1700 }, Duration {});
    CHECK(fixture.follower.objects.contains("engine-1"));
}

TEST_CASE("StoreFeed fetches a change whose document is too large for news", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    const auto calls = fixture.follower.calls;
    fixture.write("engine-1", { { "text", std::string(5000, 'x') } });
    fixture.advance(Duration { 400 });
    CHECK(fixture.follower.objects.contains("engine-1"));
    CHECK(fixture.follower.calls == calls + 1);
}

TEST_CASE("StoreFeed fetches the changes that it missed while news were lost", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    fixture.platform.unreachableHosts.insert("follower");
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 2500 }, Duration {});
    CHECK_FALSE(fixture.follower.objects.contains("engine-1"));
    fixture.platform.unreachableHosts.clear();
    fixture.advance(Duration { 800 });
    CHECK(fixture.follower.objects.contains("engine-1"));
}

TEST_CASE("StoreFeed takes news as confirmation only up to the last successful call of their sender", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 8000 });
    CHECK(fixture.follower.confirmedAt <= fixture.watcher.confirmedAt);
    CHECK(fixture.follower.confirmedAt + Duration { 3000 } > fixture.time);
    fixture.platform.failureMode = PlatformFailureMode::Down;
    fixture.advance(Duration { 6000 });
    CHECK(fixture.follower.confirmedAt + Duration { 5500 } < fixture.time);
}

TEST_CASE("StoreFeed reports an outage of the store to other hosts", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    fixture.platform.unreachableHosts.insert("watcher");
    fixture.advance(Duration { 1000 });
    fixture.platform.unreachableHosts.clear();
    const auto returned = fixture.time;
    fixture.advance(Duration { 1500 });
    CHECK(fixture.follower.outageEndedAt >= returned);
    CHECK(fixture.follower.outageEndedAt <= returned + Duration { 700 });
}

TEST_CASE("StoreFeed that cannot reach the store retries rarely while another host reaches it", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.platform.unreachableHosts.insert("follower");
    fixture.advance(Duration { 200 });
    // Without a first list it has to keep retrying.
    CHECK(fixture.follower.calls > 1);
    fixture.platform.unreachableHosts.clear();
    fixture.advance(Duration { 4000 });
    fixture.platform.unreachableHosts.insert("follower");
    fixture.follower.hasWatcher = false;
    fixture.advance(Duration { 500 });
    fixture.follower.hasWatcher = true;
    const auto calls = fixture.follower.calls;
    fixture.advance(Duration { 9000 });
    CHECK(fixture.follower.calls <= calls + 4);
    CHECK_FALSE(fixture.follower.feed.isStoreReachable());
    fixture.platform.unreachableHosts.clear();
    fixture.advance(Duration { 4000 });
    CHECK(fixture.follower.feed.isStoreReachable());
}

TEST_CASE("StoreFeed sends requested changes regardless of their size", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-0", { { "slots", 1 } });
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    const auto calls = fixture.follower.calls;
    fixture.platform.unreachableHosts.insert("follower");
    fixture.write("engine-1", { { "text", std::string(5000, 'x') } });
    // Waits until news report the change without its document.
    while (!fixture.follower.feed.missingAfter() && fixture.time < TimePoint { Duration { 1'010'000 } })
        fixture.advance(Duration { 5 }, Duration { 5 });
    REQUIRE(fixture.follower.feed.missingAfter());
    const auto news = fixture.watcher.feed.makeNewsAfter(1, *fixture.follower.feed.missingAfter());
    REQUIRE(news);
    fixture.follower.feed.receiveNews(*news, std::nullopt);
    CHECK(fixture.follower.objects.contains("engine-1"));
    CHECK_FALSE(fixture.follower.feed.missingAfter());
    CHECK(fixture.follower.calls <= calls + 1);
    CHECK_FALSE(fixture.watcher.feed.makeNewsAfter(1, 0));
    fixture.advance(Duration { 15'000 });
    CHECK_FALSE(fixture.watcher.feed.makeNewsAfter(1, news->after()));
}

TEST_CASE("StoreFeed calls the store for missing changes only if the watcher has other objects", "[gateway][feed]")
{
    const bool hasRemoval = GENERATE(false, true);
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.write("engine-2", { { "slots", 1 } });
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    const auto calls = fixture.follower.calls;
    // The watcher starts again while objects of other kinds change, so that its list begins at a later revision.
    fixture.platform.store.write(ObjectKind::Host, "knox-a-1", { { "port", 1 } });
    if (hasRemoval) {
        fixture.advance(Duration { 10 }, Duration {});
        fixture.remove("engine-2");
    }
    fixture.watcher.feed.requireList();
    fixture.advance(Duration { 4000 });
    CHECK_FALSE(fixture.follower.feed.missingAfter());
    CHECK(fixture.follower.objects.contains("engine-2") == !hasRemoval);
    if (!hasRemoval)
        CHECK(fixture.follower.calls == calls);
}

TEST_CASE("StoreFeed sends only the last of many versions, which together do not fit into a reply", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-0", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    const auto before = fixture.watcher.feed.makeRecentNews().through();
    for (int version = 1; version <= 12; ++version) {
        fixture.write("engine-1", { { "text", std::string(20'000, 'x') }, { "version", version } });
        fixture.advance(Duration { 250 });
    }
    const auto news = fixture.watcher.feed.makeNewsAfter(1, before);
    REQUIRE(news);
    REQUIRE(news->changes_size() == 1);
    CHECK(news->changes(0).value().find("\"version\":12") != std::string::npos);
}

TEST_CASE("StoreFeed lists the objects at once when the store has dropped its history", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.advance(Duration { 1000 });
    fixture.follower.hasWatcher = true;
    fixture.platform.failureMode = PlatformFailureMode::Down;
    fixture.advance(Duration { 300 }, Duration {});
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.platform.store.dropHistory();
    fixture.platform.failureMode = PlatformFailureMode::None;
    fixture.advance(Duration { 4000 }, Duration {});
    CHECK(fixture.follower.objects.contains("engine-1"));
    CHECK(fixture.follower.feed.isStoreReachable());
}

TEST_CASE("StoreFeed survives news of a document nested so deeply that the stack cannot hold it", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    auto news = fixture.watcher.feed.makeRecentNews();
    const auto addChange = [&news](const std::string& name, const std::string& value) {
        auto& change = *news.add_changes();
        change.set_name(name);
        change.set_revision(news.through() + 1);
        change.set_value(value);
        news.set_through(change.revision());
    };
    constexpr std::size_t kDepth = 31 * 1024;
    addChange("odd", std::string(kDepth, '[') + std::string(kDepth, ']'));
    addChange("engine-1", R"({"slots":1})");
    fixture.follower.feed.receiveNews(news, std::nullopt);
    CHECK(fixture.follower.objects.at("odd").is_discarded());
    CHECK(fixture.follower.objects.contains("engine-1"));
    CHECK_FALSE(fixture.follower.feed.missingAfter());
    const auto relayed = fixture.follower.feed.makeRecentNews();
    REQUIRE(relayed.changes_size() == 2);
    CHECK(relayed.changes(0).value().size() < kDepth);
}

TEST_CASE("StoreFeed follows the other objects after one cannot be applied", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.advance(Duration { 1000 });
    fixture.follower.hasWatcher = true;
    fixture.watcher.rejectedName = "odd";
    fixture.follower.rejectedName = "odd";
    fixture.advance(Duration { 3000 });
    fixture.write("odd", { { "slots", 1 } });
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    fixture.write("engine-2", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    for (const auto* host : { &fixture.watcher, &fixture.follower }) {
        CHECK(host->objects.contains("engine-1"));
        CHECK(host->objects.contains("engine-2"));
        CHECK(host->feed.isStoreReachable());
    }
}

TEST_CASE("StoreFeed lists the objects again after a list could not be applied", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("a-odd", { { "slots", 1 } });
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.watcher.rejectedName = "a-odd";
    fixture.advance(Duration { 1000 });
    CHECK(fixture.watcher.calls < 6);
    fixture.watcher.rejectedName = {};
    fixture.advance(Duration { 1000 });
    CHECK(fixture.watcher.objects.contains("engine-1"));
}

TEST_CASE(
    "StoreFeed does not return to an older state when its own watch is answered after later news", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "draining", false } });
    fixture.advance(Duration { 1000 });
    fixture.follower.answerDelay = Duration { 500 };
    fixture.advance(kWatchTimeout + Duration { 1000 });
    fixture.write("engine-1", { { "draining", false }, { "sequence", 2 } });
    fixture.advance(Duration { 50 });
    fixture.write("engine-1", { { "draining", true } });
    fixture.advance(Duration { 300 });
    CHECK(fixture.follower.objects.at("engine-1").at("draining") == true);
    fixture.advance(Duration { 3000 });
    CHECK(fixture.follower.objects.at("engine-1").at("draining") == true);
}

TEST_CASE(
    "StoreFeed lists the objects of a restored store although its watch from before succeeds", "[gateway][restore]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    const auto copy = fixture.platform.store;
    for (int number = 2; number <= 5; ++number)
        fixture.write("engine-" + std::to_string(number), { { "slots", number } });
    fixture.advance(Duration { 1000 });
    CHECK(fixture.watcher.objects.size() == 5);
    fixture.platform.failureMode = PlatformFailureMode::Down;
    fixture.advance(Duration { 200 });
    fixture.platform.store.restore(copy);
    for (int number = 6; number <= 12; ++number)
        fixture.write("engine-" + std::to_string(number), { { "slots", number } });
    fixture.platform.failureMode = PlatformFailureMode::None;
    fixture.advance(Duration { 1500 });
    CHECK(fixture.watcher.objects.size() == 8);
    CHECK(fixture.watcher.objects.contains("engine-6"));
    CHECK_FALSE(fixture.watcher.objects.contains("engine-2"));
    CHECK(fixture.watcher.feed.listedEra() == 2);
}

TEST_CASE("StoreFeed takes no confirmation and no change from news of another era", "[gateway][restore]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.follower.hasWatcher = true;
    fixture.advance(Duration { 4000 });
    const auto copy = fixture.platform.store;
    fixture.write("engine-2", { { "slots", 2 } });
    fixture.advance(Duration { 1000 });
    // The host that is cut off from the store stays in the era that the other one leaves, or the other way round.
    const bool isFollowerLate = GENERATE(true, false);
    CAPTURE(isFollowerLate);
    fixture.platform.unreachableHosts.insert(isFollowerLate ? "follower" : "watcher");
    fixture.platform.store.restore(copy);
    const auto restoredAt = fixture.time;
    if (!isFollowerLate)
        fixture.follower.era.observe(2, "other");
    for (int number = 0; number < 3; ++number) {
        fixture.write("engine-3", { { "slots", number } });
        fixture.advance(Duration { 1500 });
    }
    if (isFollowerLate) {
        CHECK(fixture.follower.confirmedAt <= restoredAt);
        CHECK_FALSE(fixture.follower.objects.contains("engine-3"));
        CHECK_FALSE(fixture.watcher.feed.makeNewsAfter(1, 0));
        fixture.platform.unreachableHosts.clear();
        fixture.advance(Duration { 4000 });
    }
    CHECK(fixture.follower.feed.listedEra() == 2);
    CHECK_FALSE(fixture.follower.objects.contains("engine-2"));
    CHECK(fixture.follower.objects.at("engine-3").at("slots") == 2);
    CHECK(fixture.follower.confirmedAt + Duration { 3500 } > fixture.time);
}

TEST_CASE("StoreFeed takes no list that was answered before a restore of the store", "[gateway][restore]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 4000 });
    const auto copy = fixture.platform.store;
    fixture.write("engine-2", { { "slots", 2 } });
    fixture.follower.answerDelay = Duration { 400 };
    fixture.follower.feed.requireList();
    fixture.advance(Duration { 100 });
    fixture.platform.store.restore(copy);
    const auto restoredAt = fixture.time;
    fixture.follower.era.observe(2, "other");
    fixture.follower.answerDelay = {};
    while (!fixture.follower.feed.isCurrent() && fixture.time < restoredAt + Duration { 2000 })
        fixture.advance(Duration { 5 });
    CHECK(fixture.follower.feed.listedEra() == 2);
    CHECK_FALSE(fixture.follower.objects.contains("engine-2"));
}
