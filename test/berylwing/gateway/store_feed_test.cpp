#include "berylwing/gateway/store_feed.hpp"

#include "berylwing/telemetry/metrics.hpp"
#include "support/fake_platform.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <map>

namespace {

using namespace berylwing;
using namespace berylwing::test;

constexpr Duration kStep { 5 };
constexpr Duration kWait { 2500 };

/** Two hosts that follow the same objects; the second may rely on the first. */
class FeedFixture {
public:
    struct Host {
        Host(FeedFixture& fixture, const std::string& name)
            : log { fixture.clock, [](std::string_view lines) { return lines.size(); }, "" }
            , client { this->counting(fixture.platform.exchangeOf(name, fixture.clock)), this->metrics }
            , feed { fixture.clock, this->client, ObjectKind::Endpoint, { kWait, {}, false, {} }, this->hooks(fixture),
                this->log }
        {
            spawn(fixture.context.get_executor(), "feed", this->feed.run());
        }

        PlatformClient::Exchange counting(PlatformClient::Exchange exchange)
        {
            return [this, exchange = std::move(exchange)](const PlatformCall& call) {
                ++this->calls;
                return exchange(call);
            };
        }

        StoreFeedHooks hooks(FeedFixture& fixture)
        {
            StoreFeedHooks result;
            result.replaceAll = [this](const std::vector<VersionedObject>& objects) {
                this->objects.clear();
                for (const auto& object : objects)
                    this->take(object);
            };
            result.change = [this](const VersionedObject& object) { this->take(object); };
            result.confirm = [this](TimePoint when) { this->confirmedAt = std::max(this->confirmedAt, when); };
            result.lose = [this] { this->isLost = true; };
            result.noteOutage = [this](TimePoint endedAt) { this->outageEndedAt = endedAt; };
            result.isWatchedElsewhere = [this] { return this->relies; };
            result.isProbedElsewhere = [this, &fixture](TimePoint triedAt) {
                return this->relies && fixture.time < triedAt + Duration { 3000 };
            };
            return result;
        }

        void take(const VersionedObject& object)
        {
            if (object.value.is_null())
                this->objects.erase(object.name);
            else
                this->objects[object.name] = object.value;
        }

        Metrics metrics;
        DecisionLog log;
        int calls = 0;
        bool relies = false;
        bool isLost = false;
        TimePoint confirmedAt {};
        TimePoint outageEndedAt {};
        std::map<std::string, nlohmann::json> objects;
        PlatformClient client;
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
                this->there.feed.takeNews(this->here.feed.describeNews(), this->time);
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
    Host here { *this, "here" };
    Host there { *this, "there" };
};

} // namespace

TEST_CASE("StoreFeed learns of changes and removals from news and makes no calls meanwhile", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    fixture.there.relies = true;
    fixture.advance(Duration { 3000 });
    const auto calls = fixture.there.calls;
    for (int round = 0; round < 10; ++round) {
        fixture.write("engine-2", { { "slots", round } });
        // Objects of other kinds raise the store's revision, too.
        fixture.platform.store.write(ObjectKind::Host, "host", { { "round", round } });
        fixture.advance(Duration { 600 });
        CHECK(fixture.there.objects.at("engine-2").at("slots") == round);
    }
    fixture.remove("engine-1");
    fixture.advance(Duration { 600 });
    CHECK_FALSE(fixture.there.objects.contains("engine-1"));
    CHECK(fixture.there.calls == calls);
    CHECK(fixture.here.calls > 10);
}

TEST_CASE("StoreFeed asks by itself soon after the news have ended", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.advance(Duration { 4000 });
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 1700 }, Duration {});
    CHECK(fixture.there.objects.contains("engine-1"));
}

TEST_CASE("StoreFeed fetches what news tell of without its document", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.advance(Duration { 4000 });
    const auto calls = fixture.there.calls;
    fixture.write("engine-1", { { "text", std::string(5000, 'x') } });
    fixture.advance(Duration { 400 });
    CHECK(fixture.there.objects.contains("engine-1"));
    CHECK(fixture.there.calls == calls + 1);
}

TEST_CASE("StoreFeed fetches what it has missed while news were lost", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.advance(Duration { 4000 });
    fixture.platform.cutOff.insert("there");
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.advance(Duration { 2500 }, Duration {});
    CHECK_FALSE(fixture.there.objects.contains("engine-1"));
    fixture.platform.cutOff.clear();
    fixture.advance(Duration { 800 });
    CHECK(fixture.there.objects.contains("engine-1"));
}

TEST_CASE("StoreFeed is confirmed by news only as far as their sender's own call reaches", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.advance(Duration { 8000 });
    CHECK(fixture.there.confirmedAt <= fixture.here.confirmedAt);
    CHECK(fixture.there.confirmedAt + Duration { 3000 } > fixture.time);
    fixture.platform.trouble = PlatformTrouble::Down;
    fixture.advance(Duration { 6000 });
    CHECK(fixture.there.confirmedAt + Duration { 5500 } < fixture.time);
}

TEST_CASE("StoreFeed tells others of an outage that it saw", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.advance(Duration { 4000 });
    fixture.platform.cutOff.insert("here");
    fixture.advance(Duration { 1000 });
    fixture.platform.cutOff.clear();
    const auto returned = fixture.time;
    fixture.advance(Duration { 1500 });
    CHECK(fixture.there.outageEndedAt >= returned);
    CHECK(fixture.there.outageEndedAt <= returned + Duration { 700 });
}

TEST_CASE("StoreFeed that cannot reach the store tries seldom while another host can", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.there.relies = true;
    fixture.platform.cutOff.insert("there");
    fixture.advance(Duration { 200 });
    // Without a first list it has to go on trying.
    CHECK(fixture.there.calls > 1);
    fixture.platform.cutOff.clear();
    fixture.advance(Duration { 4000 });
    fixture.platform.cutOff.insert("there");
    fixture.there.relies = false;
    fixture.advance(Duration { 500 });
    fixture.there.relies = true;
    const auto calls = fixture.there.calls;
    fixture.advance(Duration { 9000 });
    CHECK(fixture.there.calls <= calls + 4);
    CHECK_FALSE(fixture.there.feed.reachesStore());
    fixture.platform.cutOff.clear();
    fixture.advance(Duration { 4000 });
    CHECK(fixture.there.feed.reachesStore());
}

TEST_CASE("StoreFeed hands over changes that were asked for, whatever their size", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-0", { { "slots", 1 } });
    fixture.there.relies = true;
    fixture.advance(Duration { 4000 });
    const auto calls = fixture.there.calls;
    fixture.platform.cutOff.insert("there");
    fixture.write("engine-1", { { "text", std::string(5000, 'x') } });
    // Until the news tell of the change without its document.
    while (!fixture.there.feed.missesAfter() && fixture.time < TimePoint { Duration { 1'010'000 } })
        fixture.advance(Duration { 5 }, Duration { 5 });
    REQUIRE(fixture.there.feed.missesAfter());
    const auto news = fixture.here.feed.newsAfter(*fixture.there.feed.missesAfter());
    REQUIRE(news);
    fixture.there.feed.takeNews(*news, std::nullopt);
    CHECK(fixture.there.objects.contains("engine-1"));
    CHECK_FALSE(fixture.there.feed.missesAfter());
    CHECK(fixture.there.calls <= calls + 1);
    CHECK_FALSE(fixture.here.feed.newsAfter(0));
    fixture.advance(Duration { 15'000 });
    CHECK_FALSE(fixture.here.feed.newsAfter(news->after()));
}

TEST_CASE("StoreFeed hands over the last of many versions that together are too large", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.write("engine-0", { { "slots", 1 } });
    fixture.advance(Duration { 1000 });
    const auto before = fixture.here.feed.describeNews().through();
    for (int version = 1; version <= 12; ++version) {
        fixture.write("engine-1", { { "text", std::string(20'000, 'x') }, { "version", version } });
        fixture.advance(Duration { 250 });
    }
    const auto news = fixture.here.feed.newsAfter(before);
    REQUIRE(news);
    REQUIRE(news->changes_size() == 1);
    CHECK(news->changes(0).value().find("\"version\":12") != std::string::npos);
}

TEST_CASE("StoreFeed lists at once when the store answers that history is gone", "[gateway][feed]")
{
    FeedFixture fixture;
    fixture.advance(Duration { 1000 });
    fixture.there.relies = true;
    fixture.platform.trouble = PlatformTrouble::Down;
    fixture.advance(Duration { 300 }, Duration {});
    fixture.write("engine-1", { { "slots", 1 } });
    fixture.platform.store.dropHistory();
    fixture.platform.trouble = PlatformTrouble::None;
    fixture.advance(Duration { 4000 }, Duration {});
    CHECK(fixture.there.objects.contains("engine-1"));
    CHECK(fixture.there.feed.reachesStore());
}
